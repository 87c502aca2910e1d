// The replies that one client is waiting for, in the order of its messages. A reply that is
// complete waits here until all before it have been sent. No I/O: replies whose turn has come go to
// the client's channel.
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
  // `totalBytes` counts the bytes of waiting replies over all clients.
  OrderedReplies(client::ClientChannel& channel, std::size_t& totalBytes)
      : channel_(channel), totalBytes_(totalBytes) {}
  ~OrderedReplies() { setBufferedBytes(0); }
  OrderedReplies(const OrderedReplies&) = delete;
  OrderedReplies& operator=(const OrderedReplies&) = delete;

  // Adds the reply to a statement that is about to be admitted; returns its request id.
  int addPending(bool isWrite, TimePoint deadline);
  // Names the statement of the newest pending reply.
  void setStatement(int statement) { replies_.back().statement = statement; }
  // The reply to a pending statement is whole.
  void complete(int requestId, std::string bytes);
  // Adds a reply that is whole.
  void addComplete(std::string bytes, AfterReply after);

  bool empty() const { return replies_.empty(); }
  std::size_t size() const { return replies_.size(); }
  // Nothing that comes behind the newest reply is answered.
  bool endsConnection() const { return replies_.back().after != AfterReply::keepOpen; }
  // Must the next statement wait for replies to those before it? A read that overtakes a write
  // would not see it, and writes keep their order. If so, isBlocked() is true until a reply is
  // sent.
  bool blockIfOrdered(bool isWrite);
  bool isBlocked() const { return isBlocked_; }
  // Complete replies to statements that wait for their turn.
  std::size_t bufferedResponses() const;

  // Drops all replies and calls `onStatement` with each statement that is still open.
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
    int statement = -1;  // -1: none, or no longer open
    bool isWrite = false;
    bool isComplete = false;  // `bytes` are the whole of it
    AfterReply after = AfterReply::keepOpen;
    TimePoint deadline = kNever;  // of the client; kNever: it replies to no statement
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
