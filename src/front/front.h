// The front: one object whose phases lead from the start to the exit. It owns the module, the stages and the
// peers, and ties them together.
#pragma once

#include <csignal>
#include <map>
#include <optional>

#include "base/index.h"
#include "front/given.h"
#include "front/protocols.h"
#include "peers/clients.h"
#include "peers/list.h"
#include "peers/stores.h"
#include "stages/admit.h"
#include "stages/book.h"
#include "stages/relay.h"
#include "stages/route.h"
#include "stages/send.h"

namespace reedchute::front {

enum class Phase {
  starting,  // the known list is told to the module, nothing listens yet
  serving,
  leaving,  // told to end: still serving whoever comes, as clients hear of it late
  closing,  // no new clients; idle ones are sent away, what was taken gets its answer
  ended,
};

const char* nameOf(Phase p);

class Front : public exchange::Desk, public peers::Keeper {
 public:
  explicit Front(Given given);

  // From now on signals wait until run() takes them; to be called before it.
  static void holdSignals();

  // Serves until it is told to end, and returns when all that was taken has its answer.
  void run();
  Phase phase() const { return phase_; }

  int admit(exchange::Taken taken, exchange::Asker& asker, int ticket) override;
  void left(int stmt) override;
  bool roomy() const override;
  bool takes(TimePoint came) const override { return came <= takenUntil_; }
  void listCame(const peers::Roster& roster) override;
  void listFailed() override;

 private:
  void enter(Phase p);
  std::size_t sessions() const;
  void tellList(const peers::Roster& roster, bool asked);
  void forgetGone();
  void clockStepped(Span ahead);
  TimePoint startOf(int store, WallTime told);
  sched::Task<> watchSignals(int fd);
  sched::Task<> open();
  sched::Task<> watchReloads();
  bool reload();
  sched::Task<> leave();
  sched::Task<> tally();
  void tellTally();
  void tellEnds() const;
  void tellMissing(std::size_t owed) const;
  void tellLedger();
  sched::Task<> watchLedger();
  sched::Task<> sweep();

  Given given_;
  Phase phase_ = Phase::starting;
  sched::Scheduler scheduler_;
  Index<std::string> storeIds_;
  std::map<int, TimePoint> gone_;  // stores that the list has dropped, and since when
  struct Start {
    WallTime told;
    TimePoint at = kNever;
  };
  std::map<int, Start> starts_;  // by store: as it was told first, and what it was taken for
  Index<std::int64_t> groups_;
  sched::Event reloads_;  // a signal to read the configuration has come
  Rules rules_;
  std::unique_ptr<ledger::Feed> ledger_;
  stages::Relay relay_;
  stages::Book book_;
  peers::Stores stores_;
  std::vector<std::unique_ptr<Protocol>> protocols_;
  stages::Send send_;
  stages::Route route_;
  stages::Admit admit_;
  std::vector<std::unique_ptr<peers::Clients>> clients_;  // by protocol
  peers::List list_;
  TimePoint takenUntil_ = kForever;  // statements, once it was told to end
  sched::Event told_;    // a signal to end has come
  sched::Event listed_;  // the list has come
  exchange::Account account_;
  ledger::FeedState ledgerWas_;
};

}  // namespace reedchute::front
