#include "ledger/log.h"

#include <openssl/evp.h>

#include <utility>

#include "ledger/log_frame.h"

namespace reedchute::ledger {
namespace {

std::vector<std::string> payloadsOf(std::string_view frames) {
  std::vector<std::string> payloads;
  while (!frames.empty()) {
    std::optional<Frame> frame = decodeFrame(frames);
    if (!frame) break;
    payloads.emplace_back(frame->payload);
    frames.remove_prefix(frame->size);
  }
  return payloads;
}

bool isTornTail(const Finding& finding) {
  return finding.kind == Finding::Kind::tornTail;
}

}  // namespace

Log::Log(Files& files, Options options)
    : files_(files), options_(std::move(options)), chainMac_(options_.key), anchor_(files) {}

std::string Log::chainedFrame(std::string_view payload) {
  mac_ = chainMac_.next(mac_, payload);
  return encodeFrame(payload, mac_, durable_);
}

ScanResult Log::scan(const RecordHandler& onRecord, LogScanner::Mode mode) {
  std::uint64_t anchor = anchor_.read();
  return LogScanner(files_, chainMac_, anchor, mode, onRecord).run();
}

std::vector<Finding> Log::verify(const RecordHandler& onRecord) {
  return scan(onRecord, LogScanner::Mode::findAll).findings;
}

std::vector<Finding> Log::open(const RecordHandler& onRecord) {
  ScanResult scanned = scan(onRecord, LogScanner::Mode::untilFirstFinding);
  for (const Finding& finding : scanned.findings)
    if (!isTornTail(finding)) return std::move(scanned.findings);
  if (!scanned.findings.empty()) files_.truncate(scanned.segment, scanned.readableBytes);
  newest_ = scanned.newest;
  written_ = scanned.newest;
  mac_ = scanned.mac;
  writtenMac_ = scanned.mac;
  segmentSize_ = scanned.readableBytes;
  segmentNumber_ = scanned.segmentNumber;
  // If nothing is left of the newest segment, its file is written again from the start.
  needsSegment_ = scanned.readableBytes == 0;
  if (needsSegment_ && !scanned.segment.empty()) --segmentNumber_;
  // Records that the previous process wrote may not be synced yet; they must be before any record
  // is appended to them.
  if (!scanned.segment.empty()) files_.sync(scanned.segment);
  durable_ = newest_;
  isOpen_ = true;
  return std::move(scanned.findings);
}

std::uint64_t Log::append(wire::Record& record) {
  record.set_seq(++newest_);
  std::string payload;
  record.SerializeToString(&payload);
  pending_ += chainedFrame(payload);
  return newest_;
}

void Log::write() {
  if (pending_.empty()) return;
  if (needsSegment_ || segmentSize_ >= options_.segmentBytes)
    writeNewSegment();
  else
    files_.append(segmentName(segmentNumber_), pending_);
  unsyncedSegment_ = segmentName(segmentNumber_);
  segmentSize_ += pending_.size();
  pending_.clear();
  written_ = newest_;
  writtenMac_ = mac_;
}

// The segment's header precedes the pending records in the chain, so their MACs are recomputed.
void Log::writeNewSegment() {
  if (!unsyncedSegment_.empty()) sync();
  mac_ = writtenMac_;
  std::string bytes = chainedFrame(segmentHeader(segmentNumber_ + 1));
  for (const std::string& payload : payloadsOf(pending_)) bytes += chainedFrame(payload);
  files_.append(segmentName(segmentNumber_ + 1), bytes);
  pending_ = std::move(bytes);
  ++segmentNumber_;
  segmentSize_ = 0;
  needsSegment_ = false;
}

void Log::sync() {
  if (unsyncedSegment_.empty()) return;
  files_.sync(unsyncedSegment_);
  unsyncedSegment_.clear();
  durable_ = written_;
  anchor_.append(durable_);
}

std::string Log::digestOf(const std::vector<std::string>& payloads) {
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
  for (const std::string& payload : payloads) {
    std::string size;
    appendUint32(size, static_cast<std::uint32_t>(payload.size()));
    EVP_DigestUpdate(context, size.data(), size.size());
    EVP_DigestUpdate(context, payload.data(), payload.size());
  }
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_DigestFinal_ex(context, digest, &size);
  EVP_MD_CTX_free(context);
  return {reinterpret_cast<char*>(digest), size};
}

}  // namespace reedchute::ledger
