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
constexpr std::size_t kLineBytes = 12;  // the number and its checksum
constexpr std::size_t kMaxFileBytes = 64 * 1024;

}  // namespace

std::uint64_t SyncAnchor::read() {
  std::vector<std::string> names = files_.list();
  if (std::find(names.begin(), names.end(), kFileName) == names.end()) return 0;
  std::string bytes = files_.read(kFileName);
  size_ = bytes.size();
  std::uint64_t newest = 0;
  for (std::size_t at = 0; at + kLineBytes <= bytes.size(); at += kLineBytes) {
    std::string_view line = std::string_view(bytes).substr(at, kLineBytes);
    std::string_view number = line.substr(0, kNumberBytes);
    if (readUint(line.substr(kNumberBytes)) == checksumOf(number))
      newest = std::max(newest, readUint(number));
  }
  return newest;
}

void SyncAnchor::append(std::uint64_t durable) {
  if (size_ >= kMaxFileBytes) {
    files_.cut(kFileName, 0);
    size_ = 0;
  }
  std::string line;
  appendUint64(line, durable);
  appendUint32(line, checksumOf(line));
  files_.append(kFileName, line);
  size_ += line.size();
}

}  // namespace reedchute::ledger
