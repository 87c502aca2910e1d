// Stage 2, admit: gives a statement its index and tells the module of it.
#pragma once

#include "stages/book.h"

namespace reedchute::stages {

class Admit {
 public:
  Admit(Rules& rules, Book& book) : rules_(rules), book_(book) {}

  int admit(exchange::Taken taken, exchange::Asker& asker, int ticket, TimePoint now);
  // Its client has left: nothing is sent or answered for it any more.
  void withdraw(int stmt, TimePoint now);

 private:
  Rules& rules_;
  Book& book_;
};

}  // namespace reedchute::stages
