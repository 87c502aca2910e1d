#include "membership/update_queue.h"

#include <algorithm>
#include <cmath>

namespace reedchute::membership {
namespace {

constexpr std::size_t kMaxQueued = 256;  // updates
constexpr int kTransmitFactor = 4;       // packets, times the logarithm of the live members

}  // namespace

int transmitLimit(std::size_t liveMembers) {
  double logarithm = std::ceil(std::log10(static_cast<double>(liveMembers) + 1));
  return kTransmitFactor * static_cast<int>(logarithm);
}

void UpdateQueue::push(const MemberUpdate& update) {
  std::erase_if(queue_, [&](const Queued& queued) { return queued.update->name == update.name; });
  if (queue_.size() >= kMaxQueued) queue_.pop_back();
  queue_.insert(queue_.begin(), Queued{std::make_unique<const MemberUpdate>(update), 0});
}

// The entries sent with the last packet are in order, and so are the others. Merging these sorted
// runs costs less than sorting the queue.
void UpdateQueue::sortByTransmits() {
  auto less = [](const Queued& a, const Queued& b) { return a.transmits < b.transmits; };
  auto run = std::is_sorted_until(queue_.begin(), queue_.end(), less);
  while (run != queue_.end()) {
    auto next = std::is_sorted_until(run, queue_.end(), less);
    std::inplace_merge(queue_.begin(), run, next, less);
    run = next;
  }
}

std::vector<MemberUpdate> UpdateQueue::take(std::size_t maxUpdates, int transmitLimit) {
  sortByTransmits();
  std::vector<MemberUpdate> taken;
  for (Queued& queued : queue_) {
    if (taken.size() >= maxUpdates) break;
    taken.push_back(*queued.update);
    ++queued.transmits;
  }
  std::erase_if(queue_, [&](const Queued& queued) { return queued.transmits >= transmitLimit; });
  return taken;
}

}  // namespace reedchute::membership
