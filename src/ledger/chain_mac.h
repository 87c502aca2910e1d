// The keyed MAC that chains the log's records: HMAC-SHA256 over the previous record's MAC and the
// payload, truncated to kFrameMacBytes.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace reedchute::ledger {

class ChainMac {
 public:
  // Throws std::runtime_error if the key can't be used.
  explicit ChainMac(const std::string& key);
  ~ChainMac();
  ChainMac(const ChainMac&) = delete;
  ChainMac& operator=(const ChainMac&) = delete;

  // Returns the MAC of the record that follows the one with the MAC `previous`.
  std::string next(std::string_view previous, std::string_view payload) const;
  // The value that precedes the MAC of a log's first record.
  static std::string initial();

 private:
  struct KeyedContext;  // OpenSSL's HMAC state, initialized with the key
  std::unique_ptr<KeyedContext> context_;
};

}  // namespace reedchute::ledger
