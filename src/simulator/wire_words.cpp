#include "simulator/wire_words.h"

#include <string>

#include "config/engine_settings.h"

namespace reedchute::simulator {
namespace {

const WordTable<EndpointStatus> kEndpointStatuses = {
    {"U", EndpointStatus::up}, {"L", EndpointStatus::draining}, {"D", EndpointStatus::gone}};

const WordTable<ListKind> kListKinds = {{"broken", ListKind::failed},
                                        {"patch", ListKind::partial},
                                        {"whole", ListKind::full},
                                        {"stale_copy", ListKind::cachedFull}};

}  // namespace

AttemptOutcome outcomeFrom(std::int64_t code) {
  switch (code) {
    case 200:
      return AttemptOutcome::ok;
    case 404:
      return AttemptOutcome::notServedHere;
    case 410:
      return AttemptOutcome::neverSent;
    case 499:
      return AttemptOutcome::cancelled;
    case 500:
      return AttemptOutcome::error;
    case 502:
      return AttemptOutcome::connectFailed;
    case 503:
      return AttemptOutcome::overloaded;
    case 504:
      return AttemptOutcome::timeout;
    case 598:
      return AttemptOutcome::reset;
    default:
      throw InvalidInput("unknown ending: " + std::to_string(code));
  }
}

EndpointStatus endpointStatusFrom(std::string_view letter) {
  return parseWord(kEndpointStatuses, letter, "status");
}

ListKind listKindFrom(std::string_view word) {
  for (const auto& [name, kind] : kListKinds)
    if (name == word) return kind;
  throw InvalidInput("unknown list kind '" + std::string(word) + "'");
}

StoreMark storeMarkFrom(std::int64_t mark) {
  StoreMark result;
  if (mark % 4 == 1) result.role = Role::primary;
  if (mark % 4 == 2) result.role = Role::replica;
  if (mark / 4 > 0) result.position = Duration{mark / 4 * 1000};
  return result;
}

}  // namespace reedchute::simulator
