// The folder that a ledger lives in, behind a seam, so that its failures can be caused one by one.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace reedchute::ledger {

// A write or read that the disk refused.
struct DiskError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Files by plain names. What append() took survives this process; what sync() was asked for since,
// the machine.
class Files {
 public:
  virtual ~Files() = default;
  virtual std::vector<std::string> list() = 0;  // sorted
  virtual std::string read(const std::string& name) = 0;
  virtual void append(const std::string& name,
                      std::string_view bytes) = 0;                  // makes it where it isn't there
  virtual void cut(const std::string& name, std::size_t size) = 0;  // and syncs it
  virtual void sync(const std::string& name) = 0;  // its bytes, and its name in the folder
};

// A folder of the system's, which is made where it isn't there. One process at a time: throws
// DiskError where another holds it.
std::unique_ptr<Files> filesIn(const std::string& folder);

// The same to look at, while another may be writing.
std::unique_ptr<Files> filesToRead(const std::string& folder);

}  // namespace reedchute::ledger
