#include "stages/relay.h"

#include <utility>

#include "pg/messages.h"

namespace reedchute::stages {

void Relay::completed(Asker& asker, std::string row) {
  row += pg::ready();
  asker.answer(std::move(row));
}

void Relay::rejected(Asker& asker, Span comeBack) {
  std::string back = comeBack > Span{} ? std::to_string(comeBack.us / 1000) : std::string();
  asker.answer(pg::error(false, "53300", "rejected: trying again does no harm", back) + pg::ready());
}

// Danger: 53300 and 57P03 tell a client that trying again is harmless, and here it may not be.
void Relay::aborted(Asker& asker) {
  asker.answer(pg::error(false, "57014", "aborted: it may have run") + pg::ready());
}

}  // namespace reedchute::stages
