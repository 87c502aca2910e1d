// A toy to try the front with, and what its tests talk to: stores and the list of stores on
// loopback, written from the public protocol pages, spoken to in PostgreSQL's protocol and, at a
// port of its own, in Cassandra's. It holds no data; what it does with a statement stands in the
// statement, in the same words for both.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "runtime/socket.h"

namespace reedchute::toy {

class Toy {
 public:
  // `host`: where its stores listen; all of this machine's addresses where they have aliases.
  explicit Toy(runtime::Scheduler& s, const char* host = "127.0.0.1")
      : scheduler_(s), host_(host) {}
  ~Toy();

  // A store at an address of the system's choice on 127.0.0.1, or at the given port; its number.
  int addStore(bool primary, int group, std::uint16_t port = 0);
  // Another entry of the list, with a long id, that is this very store at another address of this
  // machine.
  int addAlias(int of);
  // Opens its port for Cassandra's protocol; the list names it from now on.
  void speakCql(int store, std::uint16_t port = 0);
  std::uint16_t port(int store) const { return stores_[static_cast<std::size_t>(store)]->port; }
  std::uint16_t cqlPort(int store) const {
    return stores_[static_cast<std::size_t>(store)]->cqlPort;
  }
  // It knows none of the texts any more that were prepared there.
  void forgetPrepared(int store) { stores_[static_cast<std::size_t>(store)]->prepared.clear(); }
  int preparedTimes(int store) const {
    return stores_[static_cast<std::size_t>(store)]->preparedTimes;
  }
  // How many effects there were of a write, by its mark or, without one, its id.
  int effects(const std::string& of) const { return effects_.contains(of) ? effects_.at(of) : 0; }
  // The list of stores; returns its port.
  std::uint16_t serveList(std::uint16_t port = 0);

  // Changes a store's state in the list ("up", "draining" or "removed") and tells the watchers.
  void setState(int store, const std::string& state);
  // The process dies: connections break, new ones are refused. revive() brings it back, lately
  // started.
  void kill(int store);
  void revive(int store);
  // Closes idle connections to a store, with some last bytes.
  void closeIdle(int store, std::string_view last = {});
  // Closes the connections on which a statement is out at a store.
  void closeBusy(int store);
  // While held, a store accepts connections but does not greet them.
  void hold(int store, bool held);
  bool holdsBack(int store) const {
    return stores_[static_cast<std::size_t>(store)]->holdsBack;
  }  // a greeting
  // What every answer of the list service becomes, once; empty: a proper one.
  void spoilList(std::string raw) { spoiled_ = std::move(raw); }

  // The list's service is gone: connections to it are reset, new ones refused until serveList()
  // with its port.
  void closeList();
  // Its connections are reset; new ones are taken.
  void resetList();
  bool watched() const { return !watchers_.empty(); }  // does a call wait for a change?
  // Calls of the list that are open, and those that come while it is so, get no answer ever.
  void silenceList(bool silent) { listSilent_ = silent; }
  // So long a call of the list waits for its answer, where that has one at once.
  void delayList(Duration by) { listDelay_ = by; }
  // Lists are written over many lines, with blanks between all parts.
  void indentList(bool so) { indented_ = so; }

  std::string roster() const;  // the whole list
  std::string idOf(int store) const {
    const std::string& id = stores_[static_cast<std::size_t>(store)]->id;
    return id.empty() ? "toy-" + std::to_string(store) : id;
  }
  int executions(int store) const;
  std::size_t connections(int store) const {
    return stores_[static_cast<std::size_t>(store)]->connections.size();
  }

  // How far a replica's data is behind, in its reports and answers.
  void lag(int store, Duration by) { stores_[static_cast<std::size_t>(store)]->lag = by; }
  // Names another member primary, at once.
  void promote(int store);

  // Called for each statement that has arrived whole, before anything is done with it.
  std::function<void(int store, const std::string& text)> seen = [](int, const std::string&) {};

 private:
  struct Store {
    std::uint16_t port = 0, cqlPort = 0;
    std::string host = "127.0.0.1", id;
    int group = 0;
    bool primary = false, held = false, holdsBack = false;
    std::string state = "up";
    std::int64_t startedMs = 0;
    int executions = 0, preparedTimes = 0;
    Duration lag;
    std::map<std::string, std::string> prepared;  // texts, by their ids here
    std::unique_ptr<runtime::Descriptor> cqlListener;
    std::unique_ptr<runtime::Descriptor> listener;
    std::unique_ptr<runtime::Descriptor> kept, cqlKept;  // its ports, while it is dead
    std::vector<runtime::Socket*> connections;
    std::vector<runtime::Socket*> idle;
  };

  std::string member(int store) const;
  std::string listing(bool full, const std::string& entries) const;
  void changed(int store);
  using Server = std::function<runtime::Task<>(std::unique_ptr<runtime::Socket>)>;
  runtime::Task<> accept(runtime::Descriptor& listener, Server server);
  void acceptStore(int store);
  runtime::Task<> serveStore(int store, std::unique_ptr<runtime::Socket> s);
  runtime::Task<bool> doStatement(int store, runtime::Socket& s, std::string text);
  // What becomes of one execution, told by the words of its key.
  struct Deed {
    std::string word, key;
    std::int64_t number = 0;                // behind the word
    bool write = false, misplaced = false;  // `misplaced`: a write, and this is no primary
  };
  Deed begin(int store, const std::string& id, std::string_view key, bool write,
             const std::string& mark, const std::string& text);
  WallTime wallNow() const { return scheduler_.wallClock().toWall(scheduler_.now()); }
  WallTime positionOf(const Store& s) const { return wallNow() - s.lag; }

  struct CqlLink;
  struct CqlAsked;
  void acceptCql(int store);
  runtime::Task<> serveCql(int store, std::unique_ptr<runtime::Socket> s);
  runtime::Task<> answerCql(int store, std::shared_ptr<CqlLink> link, CqlAsked asked);
  runtime::Task<> writeCql(std::shared_ptr<CqlLink> link);
  bool takeCql(int store, const std::shared_ptr<CqlLink>& link, std::size_t& used);

  runtime::Task<> serveListCall(std::unique_ptr<runtime::Socket> s);
  runtime::Task<> answerListCalls(runtime::Socket& s);

  runtime::Scheduler& scheduler_;
  const char* host_;
  std::vector<std::unique_ptr<Store>> stores_;
  std::unique_ptr<runtime::Descriptor> list_;
  std::vector<std::pair<std::int64_t, int>> changes_;  // version and store
  std::int64_t version_ = 1;
  std::vector<runtime::Event*> watchers_;
  std::vector<runtime::Socket*> callers_;
  std::map<std::string, int> tries_;  // executions of a statement, by its id
  std::map<std::string, int> effects_;
  std::map<std::string, TimePoint> marks_;  // when a mark's write took effect
  std::string spoiled_;
  bool listSilent_ = false, indented_ = false;
  Duration listDelay_;
};

}  // namespace reedchute::toy
