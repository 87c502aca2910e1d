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
  enum class Access { readWrite, readOnly };

  Folder(std::string path, Access access) : path_(std::move(path)) {
    if (access == Access::readWrite) mkdir(path_.c_str(), 0700);
    folderFd_ = open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folderFd_ < 0) fail(path_);
    if (access == Access::readWrite) lock();
  }
  ~Folder() override {
    for (const auto& [name, fd] : openFiles_) close(fd);
    if (lockFd_ >= 0) close(lockFd_);
    close(folderFd_);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::vector<std::string> list() override {
    std::vector<std::string> names;
    DIR* directory = opendir(path_.c_str());
    if (!directory) fail(path_);
    while (const dirent* entry = readdir(directory)) {
      bool isFile = entry->d_name[0] != '.' && std::strcmp(entry->d_name, kLockName) != 0;
      if (isFile) names.emplace_back(entry->d_name);
    }
    closedir(directory);
    std::sort(names.begin(), names.end());
    return names;
  }

  std::string read(const std::string& name) override {
    int fd = openat(folderFd_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) fail(name);
    struct stat status {};
    fstat(fd, &status);
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t bytesRead = 0;
    while (bytesRead < bytes.size()) {
      ssize_t count = ::read(fd, bytes.data() + bytesRead, bytes.size() - bytesRead);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) break;
      bytesRead += static_cast<std::size_t>(count);
    }
    close(fd);
    bytes.resize(bytesRead);
    return bytes;
  }

  void append(const std::string& name, std::string_view bytes) override {
    int fd = openForAppend(name);
    off_t before = lseek(fd, 0, SEEK_END);
    while (!bytes.empty()) {
      ssize_t count = write(fd, bytes.data(), bytes.size());
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) {
        undoPartialAppend(fd, before);
        fail(name);
      }
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
  }

  void truncate(const std::string& name, std::size_t size) override {
    int fd = openForAppend(name);
    if (ftruncate(fd, static_cast<off_t>(size)) < 0) fail(name);
    sync(name);
  }

  void sync(const std::string& name) override {
    if (fdatasync(openForAppend(name)) < 0) fail(name);
    if (unsyncedName_.empty()) return;
    if (fsync(folderFd_) < 0) fail(path_);
    unsyncedName_.clear();
  }

 private:
  static constexpr const char* kLockName = "lock";

  // Two processes that append to one log would each continue the MAC chain, which breaks it.
  void lock() {
    lockFd_ = openat(folderFd_, kLockName, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (lockFd_ >= 0 && flock(lockFd_, LOCK_EX | LOCK_NB) == 0) return;
    int error = errno;
    if (lockFd_ >= 0) close(lockFd_);
    close(folderFd_);
    errno = error;
    fail(path_ + " is locked by another process");
  }

  // Truncates the file to its size before a failed append. Otherwise a partial record would precede
  // the records that are written once the disk has room again. Keeps errno unless ftruncate()
  // fails.
  static void undoPartialAppend(int fd, off_t size) {
    int error = errno;
    if (ftruncate(fd, size) < 0) error = errno;
    errno = error;
  }

  int openForAppend(const std::string& name) {
    auto known = openFiles_.find(name);
    if (known != openFiles_.end()) return known->second;
    int fd = openat(folderFd_, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (fd < 0) {
      fd = openat(folderFd_, name.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
      unsyncedName_ = name;
    }
    if (fd < 0) fail(name);
    // One segment is written at a time; older ones are closed.
    for (const auto& [other, old] : openFiles_) close(old);
    openFiles_.clear();
    openFiles_[name] = fd;
    return fd;
  }

  std::string path_;
  std::string unsyncedName_;  // a file that was created after the folder was last synced
  int folderFd_ = -1;
  int lockFd_ = -1;
  std::map<std::string, int> openFiles_;  // by name
};

}  // namespace

std::unique_ptr<Files> openFolder(const std::string& folder) {
  return std::make_unique<Folder>(folder, Folder::Access::readWrite);
}
std::unique_ptr<Files> openFolderReadOnly(const std::string& folder) {
  return std::make_unique<Folder>(folder, Folder::Access::readOnly);
}

}  // namespace reedchute::ledger
