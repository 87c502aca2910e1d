#include "ledger/mapped_memory.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include "ledger/files.h"

namespace reedchute::ledger {

MappedMemory::MappedMemory(const std::string& path, std::size_t size) : size_(size) {
  int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0 || ftruncate(fd, static_cast<off_t>(size)) < 0) {
    if (fd >= 0) close(fd);
    throw DiskError(path + " can't be created");
  }
  // Allocates all blocks in advance: writing to a mapped page without a block raises SIGBUS when
  // the disk is full, which ends the process.
  bool isAllocated = posix_fallocate(fd, 0, static_cast<off_t>(size)) == 0;
  start_ = isAllocated
               ? mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_POPULATE, fd, 0)
               : MAP_FAILED;
  close(fd);
  if (start_ == MAP_FAILED) throw DiskError(path + " can't be mapped");
}

MappedMemory::~MappedMemory() {
  munmap(start_, size_);
}

}  // namespace reedchute::ledger
