// The ledger's log: records in segments, each chained to the one before by a keyed MAC. Appending
// only; a record is never changed.
//
// On disk a record is a frame: "RLG1", the length of its payload, a CRC-32 of all that follows, the
// number of the newest record that was synced when it was written, the payload (a wire::Record) and
// 16 bytes of HMAC-SHA256(key, MAC of the record before it + payload). A segment's first frame
// holds a Head instead.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ledger/files.h"
#include "ledger/ledger.pb.h"

namespace reedchute::ledger {

// What was found wrong, by name and place.
struct Finding {
  enum class What {
    tornTail,
    damaged,
    lostEnd,
    missingSegment,
    chainBroken,
    sequenceBroken,
    unreadable
  };
  What what = What::damaged;
  std::string segment;
  std::size_t at = 0;     // byte
  std::uint64_t seq = 0;  // the record that was expected there
};
const char* nameOf(Finding::What w);

class Log {
 public:
  struct Shape {
    std::string key;                      // for the chain
    std::size_t segmentBytes = 16 << 20;  // after which another is begun
  };
  using Each = std::function<void(const wire::Record&)>;

  Log(Files& files, Shape shape);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // Reads all that is there, cuts off a torn tail, and makes ready to append. Nothing is guessed:
  // with any other finding it stays closed, and they are returned.
  std::vector<Finding> open(const Each& each);
  // Reads all and changes nothing; every finding there is.
  std::vector<Finding> verify(const Each& each);

  // Gives it its number. In memory until write().
  std::uint64_t append(wire::Record& r);
  // From here on it survives the process. Throws DiskError; what is pending stays pending.
  void write();
  // And from here on the machine's death.
  void sync();

  std::uint64_t newest() const { return newest_; }
  std::uint64_t written() const { return written_; }
  std::uint64_t durable() const { return durable_; }
  std::size_t pendingBytes() const { return pending_.size(); }
  bool isOpen() const { return open_; }

  // The digest of a run of records, over their payloads: what a batch is known by.
  static std::string digestOf(const std::vector<std::string>& payloads);

 private:
  struct Scan {
    std::vector<Finding> findings;
    std::uint64_t newest = 0;
    std::string mac;
    std::string segment;   // the newest
    std::size_t good = 0;  // bytes of it that can be read
    std::size_t size = 0;
  };
  // What the anchor says was synced at least. It is a file beside the segments that each sync adds
  // a line to; never synced itself, it may be behind after a machine's death, and is never ahead.
  std::uint64_t anchored();
  void anchor();
  Scan scan(const Each& each, bool goOn);
  std::string frame(std::string_view payload);
  std::string macOf(std::string_view payload);
  static std::string nameOf(std::uint64_t number);

  Files& files_;
  Shape shape_;
  struct Keyed;  // OpenSSL's state with the key in it
  std::unique_ptr<Keyed> keyed_;
  bool open_ = false, needsHead_ = true;
  std::uint64_t newest_ = 0, written_ = 0, durable_ = 0;
  std::uint64_t number_ = 0;  // of the newest segment
  std::size_t anchorSize_ = 0;
  std::size_t size_ = 0;  // of it, with what is pending
  std::string mac_, pending_, lastWrittenMac_;
  std::string toSync_;  // the segment that has bytes which are not synced
};

}  // namespace reedchute::ledger
