// The keyed MAC that chains the log's records: HMAC-SHA256 over the MAC of the record before and
// the payload, truncated.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace reedchute::ledger {

class ChainMac {
 public:
  // Throws std::runtime_error where the key can't be used.
  explicit ChainMac(const std::string& key);
  ~ChainMac();
  ChainMac(const ChainMac&) = delete;
  ChainMac& operator=(const ChainMac&) = delete;

  std::string next(std::string_view previous, std::string_view payload) const;
  // What stands before the first record of a log.
  static std::string initial();

 private:
  struct KeyedContext;  // OpenSSL's state with the key in it
  std::unique_ptr<KeyedContext> context_;
};

}  // namespace reedchute::ledger
