// Access to the files of a ledger's folder, as an interface so that tests can inject failures at
// each operation. For use by one thread.
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

// The files of one folder, by name without path. Appended bytes survive the process once append()
// returns, and a crash of the machine once sync() returns. All functions throw DiskError.
class Files {
 public:
  virtual ~Files() = default;
  virtual std::vector<std::string> list() = 0;  // sorted
  virtual std::string read(const std::string& name) = 0;
  // Creates the file if it doesn't exist. The bytes of a failed append are removed again.
  virtual void append(const std::string& name, std::string_view bytes) = 0;
  // Truncates the file to `size` bytes and syncs it.
  virtual void truncate(const std::string& name, std::size_t size) = 0;
  // Syncs the file's content and its directory entry.
  virtual void sync(const std::string& name) = 0;
};

// Opens a folder on the disk for reading and writing, and creates it if it doesn't exist. The
// folder is locked: throws DiskError if another process has locked it.
std::unique_ptr<Files> openFolder(const std::string& folder);

// Opens an existing folder for reading only, without a lock; another process may be writing to it.
std::unique_ptr<Files> openFolderReadOnly(const std::string& folder);

}  // namespace reedchute::ledger
