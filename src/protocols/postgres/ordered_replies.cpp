#include "protocols/postgres/ordered_replies.h"

#include <algorithm>
#include <utility>

namespace reedchute::protocols::postgres {

int OrderedReplies::addPending(bool isWrite, TimePoint deadline) {
  int requestId = firstRequestId_ + static_cast<int>(replies_.size());
  Reply& reply = replies_.emplace_back();
  reply.isWrite = isWrite;
  reply.deadline = deadline;
  return requestId;
}

void OrderedReplies::complete(int requestId, std::string bytes) {
  Reply& reply = replies_[static_cast<std::size_t>(requestId - firstRequestId_)];
  reply.statement = -1;
  reply.isComplete = true;
  reply.bytes = std::move(bytes);
  setBufferedBytes(bufferedBytes_ + reply.bytes.size());
  sendComplete();
}

void OrderedReplies::addComplete(std::string bytes, AfterReply after) {
  setBufferedBytes(bufferedBytes_ + bytes.size());
  Reply& reply = replies_.emplace_back();
  reply.isComplete = true;
  reply.after = after;
  reply.bytes = std::move(bytes);
  sendComplete();
}

bool OrderedReplies::blockIfOrdered(bool isWrite) {
  isBlocked_ = std::any_of(replies_.begin(), replies_.end(),
                           [&](const Reply& reply) { return isWrite || reply.isWrite; });
  return isBlocked_;
}

std::size_t OrderedReplies::bufferedResponses() const {
  auto isBuffered = [](const Reply& reply) { return reply.isComplete && reply.deadline > kNever; };
  return static_cast<std::size_t>(std::count_if(replies_.begin(), replies_.end(), isBuffered));
}

void OrderedReplies::setBufferedBytes(std::size_t bytes) {
  totalBytes_ -= bufferedBytes_;
  totalBytes_ += bytes;
  bufferedBytes_ = bytes;
}

void OrderedReplies::sendComplete() {
  while (!replies_.empty() && replies_.front().isComplete) {
    Reply reply = std::move(replies_.front());
    replies_.pop_front();
    ++firstRequestId_;
    isBlocked_ = false;
    setBufferedBytes(bufferedBytes_ - reply.bytes.size());
    send(std::move(reply));
  }
}

void OrderedReplies::send(Reply reply) {
  if (reply.deadline > kNever)
    channel_.sendResponse(std::move(reply.bytes), reply.deadline);
  else if (!reply.bytes.empty())
    channel_.send(std::move(reply.bytes));
  if (reply.after == AfterReply::close) channel_.closeAfterFlush();
  if (reply.after == AfterReply::closeForDrain) channel_.closeForDrain();
}

}  // namespace reedchute::protocols::postgres
