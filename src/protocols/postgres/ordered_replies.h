// Queue of the replies to one client, in the order of its messages. A complete reply is buffered
// until all earlier replies have been sent. No I/O: replies are passed to the client's channel.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "base/time.h"
#include "client/client_protocol.h"

namespace reedchute::protocols::postgres {

// What happens to the connection once a reply is sent.
enum class AfterReply { keepOpen, close, closeForDrain };

class OrderedReplies {
 public:
  // `totalBytes` counts the bytes of buffered replies of all clients. Both references must outlive
  // this object.
  OrderedReplies(client::ClientChannel& channel, std::size_t& totalBytes)
      : channel_(channel), totalBytes_(totalBytes) {}
  ~OrderedReplies() { setBufferedBytes(0); }
  OrderedReplies(const OrderedReplies&) = delete;
  OrderedReplies& operator=(const OrderedReplies&) = delete;

  // Adds a pending reply to a statement that is about to be admitted; returns its request id.
  // `deadline` is the client's.
  int addPending(bool isWrite, TimePoint deadline);
  // Sets the statement index of the newest reply, which is pending.
  void setStatement(int statement) { replies_.back().statement = statement; }
  // Completes a pending reply with its bytes.
  void complete(int requestId, std::string bytes);
  // Adds a complete reply.
  void addComplete(std::string bytes, AfterReply after);

  bool empty() const { return replies_.empty(); }
  std::size_t size() const { return replies_.size(); }
  // Whether the connection closes after the newest reply, so that later messages get no reply.
  // There must be a reply.
  bool endsConnection() const { return replies_.back().after != AfterReply::keepOpen; }
  // Returns whether the next statement has to wait for the replies to earlier statements: a read
  // that overtakes a write would not see it, and writes keep their order. If so, isBlocked() is
  // true until a reply is sent.
  bool blockIfOrdered(bool isWrite);
  bool isBlocked() const { return isBlocked_; }
  // Number of complete replies to statements that wait for an earlier reply.
  std::size_t bufferedResponses() const;

  // Drops all replies and calls `onStatement` with the index of each statement that is still open.
  template <class OnStatement>
  void clear(OnStatement onStatement) {
    std::deque<Reply> dropped;
    dropped.swap(replies_);
    for (const Reply& reply : dropped)
      if (reply.statement >= 0) onStatement(reply.statement);
    setBufferedBytes(0);
  }

 private:
  struct Reply {
    int statement = -1;  // index of the statement; -1: none, or no longer open
    bool isWrite = false;
    bool isComplete = false;  // `bytes` holds the whole reply
    AfterReply after = AfterReply::keepOpen;
    TimePoint deadline = kNever;  // of the client; kNever: not a reply to a statement
    std::string bytes;
  };

  void setBufferedBytes(std::size_t bytes);
  void sendComplete();
  void send(Reply reply);

  client::ClientChannel& channel_;
  std::size_t& totalBytes_;
  std::deque<Reply> replies_;
  int firstRequestId_ = 0;  // of the oldest reply
  std::size_t bufferedBytes_ = 0;
  bool isBlocked_ = false;
};

}  // namespace reedchute::protocols::postgres
