// A file mapped into memory: what is stored there outlives the process.
#pragma once

#include <cstddef>
#include <span>
#include <string>

namespace reedchute::ledger {

class MappedMemory {
 public:
  // Makes the file, with all its blocks. Throws DiskError where that can't be done.
  MappedMemory(const std::string& path, std::size_t size);
  ~MappedMemory();
  MappedMemory(const MappedMemory&) = delete;
  MappedMemory& operator=(const MappedMemory&) = delete;

  std::span<std::byte> bytes() { return {static_cast<std::byte*>(start_), size_}; }

 private:
  std::size_t size_;
  void* start_;
};

}  // namespace reedchute::ledger
