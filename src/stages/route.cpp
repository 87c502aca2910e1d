#include "stages/route.h"

#include "log/log.h"
#include "peers/list.h"

namespace reedchute::stages {

void Route::round() {
  if (!book_.touched()) return;
  rules_.decide(scheduler_.now(), *this);
  book_.roundEnded();
}

sched::Task<> Route::alarm() {
  for (;;) {
    bool set = co_await wakes_.wait(wakeAt_);
    if (set || wakeAt_ > scheduler_.now()) continue;
    wakeAt_ = kForever;
    rules_.woken();
    book_.touch();
  }
}

void Route::wake(Span after) {
  wakeAt_ = scheduler_.now() + after;
  wakes_.set();
}

void Route::tellGivenUp(const char* event, const Statement& st) const {
  TimePoint now = scheduler_.now();
  log::line(event, "id=%s attempts=%zu last=%s waited_ms=%lld left_ms=%lld", st.id.c_str(), st.attempts.size(),
            st.attempts.empty() ? "none" : exchange::nameOf(st.lastEnding), static_cast<long long>((now - st.came).us / 1000),
            static_cast<long long>((st.giveUpAt - now).us / 1000));
}

void Route::reject(int stmt, Span comeBack) {
  Statement& st = book_.row(stmt);
  if (!st.open) return;
  tellGivenUp("rejected", st);
  relay_.rejected(st, comeBack);
  book_.close(stmt);
}

void Route::abort(int stmt) {
  Statement& st = book_.row(stmt);
  if (!st.open) return;
  tellGivenUp("aborted", st);
  relay_.aborted(st);
  book_.close(stmt);
}

void Route::watchList() { list_->ask(); }

}  // namespace reedchute::stages
