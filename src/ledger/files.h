// The folder of a ledger, behind an interface, so that tests can cause its failures one by one. One
// thread.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace reedchute::ledger {

// A read or write that failed.
struct DiskError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Files by plain names. What append() has taken survives the process; after sync() it survives the
// machine's death. All functions throw DiskError.
class Files {
 public:
  virtual ~Files() = default;
  virtual std::vector<std::string> list() = 0;  // sorted
  virtual std::string read(const std::string& name) = 0;
  // Makes the file where it isn't there. Bytes of an append that failed are taken back.
  virtual void append(const std::string& name, std::string_view bytes) = 0;
  // Truncates the file to that size, and syncs it.
  virtual void cut(const std::string& name, std::size_t size) = 0;
  // The file's bytes, and its name in the folder.
  virtual void sync(const std::string& name) = 0;
};

// A folder on the disk, which is made where it isn't there. One process at a time: throws DiskError
// where another holds it.
std::unique_ptr<Files> filesIn(const std::string& folder);

// The same for reading, while another process may be writing.
std::unique_ptr<Files> filesToRead(const std::string& folder);

}  // namespace reedchute::ledger
