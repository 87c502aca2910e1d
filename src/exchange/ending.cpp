#include "exchange/exchange.h"

namespace reedchute::exchange {

const char* nameOf(Ending ending) {
  switch (ending) {
    case Ending::ok:
      return "ok";
    case Ending::miss:
      return "miss";
    case Ending::full:
      return "full";
    case Ending::error:
      return "error";
    case Ending::spoilt:
      return "spoilt";
    case Ending::invalid:
      return "invalid";
    case Ending::timeout:
      return "timeout";
    case Ending::connectFailed:
      return "connect_failed";
    case Ending::reset:
      return "reset";
    case Ending::cancelled:
      return "cancelled";
    default:
      return "moot";
  }
}

}  // namespace reedchute::exchange
