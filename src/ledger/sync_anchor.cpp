#include "ledger/sync_anchor.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/log_frame.h"

namespace reedchute::ledger {
namespace {

constexpr const char* kFileName = "anchor";
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kEntryBytes = 12;  // the number and its checksum
constexpr std::size_t kMaxFileBytes = 64 * 1024;

}  // namespace

std::uint64_t SyncAnchor::read() {
  std::vector<std::string> names = files_.list();
  if (std::find(names.begin(), names.end(), kFileName) == names.end()) return 0;
  std::string bytes = files_.read(kFileName);
  size_ = bytes.size();
  std::uint64_t newest = 0;
  for (std::size_t at = 0; at + kEntryBytes <= bytes.size(); at += kEntryBytes) {
    std::string_view entry = std::string_view(bytes).substr(at, kEntryBytes);
    std::string_view number = entry.substr(0, kNumberBytes);
    if (readUint(entry.substr(kNumberBytes)) == checksumOf(number))
      newest = std::max(newest, readUint(number));
  }
  return newest;
}

void SyncAnchor::append(std::uint64_t durable) {
  if (size_ >= kMaxFileBytes) {
    files_.truncate(kFileName, 0);
    size_ = 0;
  }
  std::string entry;
  appendUint64(entry, durable);
  appendUint32(entry, checksumOf(entry));
  files_.append(kFileName, entry);
  size_ += entry.size();
}

}  // namespace reedchute::ledger
