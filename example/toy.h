// Simulated stores and their endpoint list service on loopback, for trying out the proxy and for
// its tests. The stores implement PostgreSQL's protocol and, on a separate port, Cassandra's, both
// from the public specifications. They hold no data: the key of a statement says how the store
// handles it, with the same words in both protocols.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runtime/socket.h"

namespace reedchute::toy {

class Toy {
 public:
  // The stores listen on `host`, which must be the wildcard address if they have aliases.
  explicit Toy(runtime::Scheduler& s, const char* host = "127.0.0.1")
      : scheduler_(s), host_(host) {}
  ~Toy();

  // Adds a store that listens on `port`, or on a port chosen by the system if `port` is 0. Returns
  // the number of the store.
  int addStore(bool primary, int group, std::uint16_t port = 0);
  // Adds another entry to the endpoint list, with a long id, for store `target` at another address
  // of this machine. Returns the number of the entry.
  int addAlias(int target);
  // Listens for Cassandra's protocol on `port` (0: chosen by the system) and adds the address to
  // the store's entry in the endpoint list.
  void enableCql(int store, std::uint16_t port = 0);
  std::uint16_t port(int store) const { return stores_[static_cast<std::size_t>(store)]->port; }
  std::uint16_t cqlPort(int store) const {
    return stores_[static_cast<std::size_t>(store)]->cqlPort;
  }
  // Discards all statements prepared on the store.
  void forgetPrepared(int store) { stores_[static_cast<std::size_t>(store)]->prepared.clear(); }
  // The number of PREPARE requests the store has handled.
  int prepareCount(int store) const {
    return stores_[static_cast<std::size_t>(store)]->prepareCount;
  }
  // How often a write took effect, by its idempotency key or, if it has none, its id.
  int effects(const std::string& keyOrId) const {
    return effects_.contains(keyOrId) ? effects_.at(keyOrId) : 0;
  }
  // Number of executions that began while an earlier one of the same statement was out: not
  // answered, and its connection open.
  int overlappingExecutions() const { return overlappingExecutions_; }
  // Starts the endpoint list service on `port` (0: chosen by the system) and returns the port.
  std::uint16_t serveList(std::uint16_t port = 0);

  // Changes a store's state in the endpoint list ("up", "draining" or "removed") and notifies the
  // watchers.
  void setState(int store, const std::string& state);
  // Simulates a process failure: closes all connections and refuses new ones.
  void kill(int store);
  // Restarts a killed store, with the present time as its start time.
  void restart(int store);
  // Closes the idle connections to a store, after sending `last` on them.
  void closeIdle(int store, std::string_view last = {});
  // Closes the connections to a store that have a statement in flight.
  void closeBusy(int store);
  // While held, a store accepts connections but doesn't answer their startup messages.
  void hold(int store, bool held);
  // An unresponsive store never answers the statements that it receives.
  void setUnresponsive(int store, bool isUnresponsive) {
    stores_[static_cast<std::size_t>(store)]->isUnresponsive = isUnresponsive;
  }
  // Whether a held store has received a startup message.
  bool holdsGreeting(int store) const {
    return stores_[static_cast<std::size_t>(store)]->holdsGreeting;
  }
  // Replaces the next HTTP response of the list service by `raw`, once. No effect if `raw` is
  // empty.
  void overrideListResponse(std::string raw) { nextListResponse_ = std::move(raw); }

  // Stops the list service: resets its connections and refuses new ones until serveList() is called
  // with its port.
  void closeList();
  // Resets the connections of the list service; it continues to accept new ones.
  void resetList();
  // Whether a request of the list is waiting for a change.
  bool hasWatchers() const { return !watchers_.empty(); }
  // While unresponsive, requests of the list that are pending or arrive are never answered.
  void setListUnresponsive(bool isUnresponsive) { isListUnresponsive_ = isUnresponsive; }
  // Delays each response of the list service by `by`.
  void delayList(Duration by) { listDelay_ = by; }
  // Sends lists with line breaks and whitespace around all JSON delimiters.
  void indentList(bool isIndented) { isListIndented_ = isIndented; }

  // The complete endpoint list, as the list service sends it.
  std::string endpointListJson() const;
  std::string idOf(int store) const {
    const std::string& id = stores_[static_cast<std::size_t>(store)]->id;
    return id.empty() ? "toy-" + std::to_string(store) : id;
  }
  // The number of statements the store has received.
  int executions(int store) const;
  std::size_t connections(int store) const {
    return stores_[static_cast<std::size_t>(store)]->connections.size();
  }

  // Sets the lag of a replica's data, as shown in its reports and answers.
  void setLag(int store, Duration by) { stores_[static_cast<std::size_t>(store)]->lag = by; }
  // From now on, as a replica, the store's data is as of `position` and advances by `rate` seconds
  // a second, up to the primary's.
  void setPosition(int store, WallTime position, double rate);
  // The time up to which the store has all commits.
  WallTime position(int store) const {
    return positionOf(*stores_[static_cast<std::size_t>(store)]);
  }
  bool isPrimary(int store) const { return stores_[static_cast<std::size_t>(store)]->primary; }
  // Whether a store states its position in answers of Cassandra's protocol; reports always have it.
  void setStatesPosition(int store, bool states) {
    stores_[static_cast<std::size_t>(store)]->statesPosition = states;
  }
  // Makes `store` the only primary, with immediate effect.
  void promote(int store);

  // Called for each complete statement, before it is executed.
  std::function<void(int store, const std::string& text)> onStatement = [](int,
                                                                           const std::string&) {};
  // Called as a store reads its data for a statement in Cassandra's protocol. `id`: as in the
  // statement's payload.
  std::function<void(int store, const std::string& id)> onCqlRead = [](int, const std::string&) {};

 private:
  // The progress of a replica's log since `since`.
  struct Progress {
    WallTime position, since;
    double rate = 0;  // seconds of log a second
  };
  struct Store {
    std::uint16_t port = 0, cqlPort = 0;
    std::string host = "127.0.0.1", id;
    int group = 0;
    bool primary = false, held = false, holdsGreeting = false, isUnresponsive = false;
    std::string state = "up";
    std::int64_t startedMs = 0;
    int executions = 0, prepareCount = 0;
    Duration lag;
    bool statesPosition = true;
    std::optional<Progress> progress;             // in place of `lag`
    std::map<std::string, std::string> prepared;  // texts, by the ids of this store
    std::unique_ptr<runtime::Descriptor> cqlListener;
    std::unique_ptr<runtime::Descriptor> listener;
    std::unique_ptr<runtime::Descriptor> reservedPort, reservedCqlPort;  // while the store is down
    std::vector<runtime::Socket*> connections;
    std::vector<runtime::Socket*> idle;
  };

  std::string entryJson(int store) const;
  std::string listResponse(bool full, const std::string& entries) const;
  void notifyChange(int store);
  using Server = std::function<runtime::Task<>(std::unique_ptr<runtime::Socket>)>;
  runtime::Task<> accept(runtime::Descriptor& listener, Server server);
  void startAccepting(int store);
  runtime::Task<> serveStore(int store, std::unique_ptr<runtime::Socket> s);
  runtime::Task<bool> executeStatement(int store, runtime::Socket& s, std::string text);
  // How to handle one execution of a statement, according to the words of its key.
  // Counts overlaps of an execution that begins now with silent ones of the same statement.
  void countOverlaps(const std::string& id);
  // The execution is never answered.
  void addSilentExecution(const std::string& id, const runtime::Socket& connection);
  void removeSilentExecutions(const runtime::Socket& connection);

  struct Execution {
    std::string behavior, key;
    std::int64_t argument = 0;                       // number after the word
    bool write = false, isMisdirectedWrite = false;  // a write at a store that is not a primary
  };
  // Counts an execution and, for a write, its effect.
  Execution beginExecution(int store, const std::string& id, std::string_view key, bool write,
                           const std::string& idempotencyKey, const std::string& text);
  WallTime wallNow() const { return scheduler_.wallClock().toWall(scheduler_.now()); }
  WallTime positionOf(const Store& s) const;

  struct CqlConnection;
  struct CqlRequest;
  void startAcceptingCql(int store);
  runtime::Task<> serveCql(int store, std::unique_ptr<runtime::Socket> s);
  runtime::Task<> respondCql(int store, std::shared_ptr<CqlConnection> connection,
                             CqlRequest request);
  runtime::Task<> writeCql(std::shared_ptr<CqlConnection> connection);
  bool handleCqlFrame(int store, const std::shared_ptr<CqlConnection>& connection,
                      std::size_t& used);

  runtime::Task<> serveListConnection(std::unique_ptr<runtime::Socket> s);
  runtime::Task<> answerListRequests(runtime::Socket& s);

  runtime::Scheduler& scheduler_;
  const char* host_;
  std::vector<std::unique_ptr<Store>> stores_;
  std::unique_ptr<runtime::Descriptor> listListener_;
  std::vector<std::pair<std::int64_t, int>> changes_;  // version and store of each change
  std::int64_t version_ = 1;
  std::vector<runtime::Event*> watchers_;
  std::vector<runtime::Socket*> listConnections_;
  std::map<std::string, std::vector<const runtime::Socket*>>
      silentExecutions_;  // connections, by id
  int overlappingExecutions_ = 0;
  std::map<std::string, int> executionCounts_;    // by the id of the statement
  std::map<std::string, int> effects_;            // by idempotency key or id of the write
  std::map<std::string, TimePoint> effectTimes_;  // time of the last effect, by idempotency key
  std::string nextListResponse_;
  bool isListUnresponsive_ = false, isListIndented_ = false;
  Duration listDelay_;
};

}  // namespace reedchute::toy
