// A file that is mapped into memory, whose content survives the process.
#pragma once

#include <cstddef>
#include <span>
#include <string>

namespace reedchute::ledger {

class MappedMemory {
 public:
  // Creates the file if needed, allocates all its blocks and maps it. Throws DiskError.
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
