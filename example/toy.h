// A toy to try the front with, and what its tests talk to: stores and the list of stores on loopback, written
// from the public protocol pages. It holds no data; what it does with a statement stands in the statement.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sched/socket.h"

namespace reedchute::toy {

class Toy {
 public:
  explicit Toy(sched::Scheduler& s) : scheduler_(s) {}
  ~Toy();

  // A store at an address of the system's choice on 127.0.0.1, or at the given port; its number.
  int addStore(bool primary, int group, std::uint16_t port = 0);
  // The list of stores; returns its port.
  std::uint16_t serveList(std::uint16_t port = 0);

  // Changes a store's state in the list ("up", "draining" or "removed") and tells the watchers.
  void setState(int store, const std::string& state);
  // The process dies: connections break, new ones are refused. revive() brings it back, lately started.
  void kill(int store);
  void revive(int store);
  // Closes idle connections to a store.
  void closeIdle(int store);
  // While held, a store accepts connections but does not greet them.
  void hold(int store, bool held);
  // What every answer of the list service becomes, once; empty: a proper one.
  void spoilList(std::string raw) { spoiled_ = std::move(raw); }

  std::string roster() const;  // the whole list
  std::string idOf(int store) const { return "toy-" + std::to_string(store); }
  int executions(int store) const;

  // Called for each statement that has arrived whole, before anything is done with it.
  std::function<void(int store, const std::string& text)> seen = [](int, const std::string&) {};

 private:
  struct Store {
    std::uint16_t port = 0;
    int group = 0;
    bool primary = false, held = false;
    std::string state = "up";
    std::int64_t startedMs = 0;
    int executions = 0;
    std::unique_ptr<sched::Descriptor> listener;
    std::vector<sched::Socket*> connections;
    std::vector<sched::Socket*> idle;
  };

  std::string member(int store) const;
  std::string listing(bool full, const std::string& entries) const;
  void changed(int store);
  using Server = std::function<sched::Task<>(std::unique_ptr<sched::Socket>)>;
  sched::Task<> accept(sched::Descriptor& listener, Server server);
  void acceptStore(int store);
  sched::Task<> serveStore(int store, std::unique_ptr<sched::Socket> s);
  sched::Task<bool> doStatement(int store, sched::Socket& s, std::string text);
  sched::Task<> serveListCall(std::unique_ptr<sched::Socket> s);

  sched::Scheduler& scheduler_;
  std::vector<std::unique_ptr<Store>> stores_;
  std::unique_ptr<sched::Descriptor> list_;
  std::vector<std::pair<std::int64_t, int>> changes_;  // version and store
  std::int64_t version_ = 1;
  std::vector<sched::Event*> watchers_;
  std::map<std::string, int> tries_;  // executions of a statement, by its id
  std::string spoiled_;
};

}  // namespace reedchute::toy
