#include "ledger/files.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <map>

namespace reedchute::ledger {
namespace {

[[noreturn]] void fail(const std::string& what) {
  throw DiskError(what + ": " + std::strerror(errno));
}

class Folder : public Files {
 public:
  Folder(std::string path, bool writes) : path_(std::move(path)), writes_(writes) {
    if (writes_) mkdir(path_.c_str(), 0700);
    folder_ = open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder_ < 0) fail(path_);
    if (!writes_) return;
    lock_ = openat(folder_, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    // Danger: two writers on one log would each continue the chain.
    if (lock_ < 0 || flock(lock_, LOCK_EX | LOCK_NB) < 0) {
      int why = errno;
      if (lock_ >= 0) close(lock_);
      close(folder_);
      errno = why;
      fail(path_ + " is held by another process");
    }
  }
  ~Folder() override {
    for (auto& [name, fd] : open_) close(fd);
    if (lock_ >= 0) close(lock_);
    close(folder_);
  }

  std::vector<std::string> list() override {
    std::vector<std::string> names;
    DIR* dir = opendir(path_.c_str());
    if (!dir) fail(path_);
    while (dirent* entry = readdir(dir))
      if (entry->d_name[0] != '.' && std::strcmp(entry->d_name, "lock") != 0)
        names.emplace_back(entry->d_name);
    closedir(dir);
    std::sort(names.begin(), names.end());
    return names;
  }

  std::string read(const std::string& name) override {
    int fd = openat(folder_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) fail(name);
    struct stat s {};
    fstat(fd, &s);
    std::string bytes(static_cast<std::size_t>(s.st_size), '\0');
    std::size_t got = 0;
    while (got < bytes.size()) {
      ssize_t n = ::read(fd, bytes.data() + got, bytes.size() - got);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) break;
      got += static_cast<std::size_t>(n);
    }
    close(fd);
    bytes.resize(got);
    return bytes;
  }

  void append(const std::string& name, std::string_view bytes) override {
    int fd = fdOf(name);
    off_t before = lseek(fd, 0, SEEK_END);
    while (!bytes.empty()) {
      ssize_t n = write(fd, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) {
        int why = errno;
        // Danger: half a record would stand in front of whatever is written once there is room
        // again.
        if (ftruncate(fd, before) < 0) why = errno;
        errno = why;
        fail(name);
      }
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  void cut(const std::string& name, std::size_t size) override {
    int fd = fdOf(name);
    if (ftruncate(fd, static_cast<off_t>(size)) < 0) fail(name);
    sync(name);
  }

  void sync(const std::string& name) override {
    if (fdatasync(fdOf(name)) < 0) fail(name);
    if (made_.empty()) return;
    if (fsync(folder_) < 0) fail(path_);
    made_.clear();
  }

 private:
  int fdOf(const std::string& name) {
    auto it = open_.find(name);
    if (it != open_.end()) return it->second;
    int fd = openat(folder_, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (fd < 0) {
      fd = openat(folder_, name.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
      made_ = name;
    }
    if (fd < 0) fail(name);
    // One segment is written at a time; older ones are closed.
    for (auto& [other, old] : open_) close(old);
    open_.clear();
    return open_[name] = fd;
  }

  std::string path_, made_;
  bool writes_;
  int folder_ = -1, lock_ = -1;
  std::map<std::string, int> open_;
};

}  // namespace

std::unique_ptr<Files> filesIn(const std::string& folder) {
  return std::make_unique<Folder>(folder, true);
}
std::unique_ptr<Files> filesToRead(const std::string& folder) {
  return std::make_unique<Folder>(folder, false);
}

}  // namespace reedchute::ledger
