#include "runtime/descriptor.h"

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace reedchute::runtime {

Descriptor::Descriptor(Scheduler& scheduler, int fd)
    : readable(scheduler), writable(scheduler), scheduler_(scheduler), fd_(fd) {
  if (fd_ < 0 || scheduler_.watch(*this)) return;
  if (errno == ENOMEM || errno == ENOSPC)
    scheduler_.retryLater(*this);
  else
    close();
}

void Descriptor::close() {
  if (fd_ < 0) return;
  scheduler_.retries_.erase(this);
  ::close(std::exchange(fd_, -1));
  readable.set();
  writable.set();
}

}  // namespace reedchute::runtime
