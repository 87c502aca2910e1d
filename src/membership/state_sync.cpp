#include "membership/state_sync.h"

#include <utility>

namespace reedchute::membership {
namespace {

constexpr double kIncompleteInterval = 0.5;  // periods between pages while they have new updates
constexpr double kCompleteInterval = 10;     // periods between pages afterwards
constexpr std::size_t kMaxPageBytes = 900;   // of members; leaves space for the other fields
constexpr std::size_t kUpdateOverheadBytes = 32;  // size of an update without its names

}  // namespace

void StateSync::requestPage(TimePoint now) {
  const Member* member = members_.randomAlive(random_);
  if (!member && seeds_.empty()) {
    requestAt_ = now + parameters_.period * kCompleteInterval;
    return;
  }
  Packet request = outbox_.compose(member ? member->latest.name : "", SyncRequest{cursor_});
  Address to = member ? member->latest.address : seeds_[random_() % seeds_.size()];
  outbox_.send(to, std::move(request));
  double interval = isComplete_ ? kCompleteInterval : kIncompleteInterval;
  double jitter = static_cast<double>(random_() % 100) / 200;
  requestAt_ = now + parameters_.period * (interval + jitter);
}

// Updates that don't fit into the datagram are removed from its end, although the cursor would be
// past them. So a page ends before it exceeds the datagram.
void StateSync::onRequest(const SyncRequest& request, const Member& requester) {
  const std::string& name = requester.latest.name;
  Packet page = outbox_.compose(name, SyncPage{});
  page.updates.clear();
  std::string last;
  std::size_t bytes = 0;
  const auto& all = members_.all();
  auto it = request.cursor.empty() ? all.begin() : all.upper_bound(request.cursor);
  while (it != all.end() && page.updates.size() < parameters_.membersPerPage &&
         bytes < kMaxPageBytes) {
    const Member& member = it->second;
    last = it->first;
    ++it;
    if (!member.isVerified || last == name) continue;
    page.updates.push_back(member.latest);
    bytes += last.size() + member.latest.zone.size() + kUpdateOverheadBytes;
  }
  if (it != all.end()) page.message = SyncPage{last};
  outbox_.send(requester, std::move(page));
}

void StateSync::onPage(const SyncPage& page, bool hasNewUpdates) {
  cursor_ = page.cursor;
  hasSeenNewUpdates_ = hasSeenNewUpdates_ || hasNewUpdates;
  if (!cursor_.empty()) return;
  isComplete_ = !hasSeenNewUpdates_;
  hasSeenNewUpdates_ = false;
}

}  // namespace reedchute::membership
