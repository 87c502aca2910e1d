#include "stages/route.h"

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

void Route::reject(int stmt, Span comeBack) {
  Statement& st = book_.row(stmt);
  if (!st.open) return;
  relay_.rejected(st, comeBack);
  book_.close(stmt);
}

void Route::abort(int stmt) {
  Statement& st = book_.row(stmt);
  if (!st.open) return;
  relay_.aborted(st);
  book_.close(stmt);
}

void Route::watchList() { list_->ask(); }

}  // namespace reedchute::stages
