// In-memory folder for tests of the ledger. The process can be killed at each single write or sync,
// the disk can be full, and the machine can crash.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "ledger/files.h"

namespace reedchute::test {

// Thrown at the step at which the process is killed.
struct Killed {};

class SimFiles : public ledger::Files {
 public:
  // The step at which the process is killed; -1: none. An append may have been applied in part by
  // then.
  int killAt = -1;
  enum class Taken { none, some, all } taken = Taken::some;  // how much of that append is applied
  int fullFrom = -1, fullTo = -1;  // the disk is full from step fullFrom until before fullTo
  int steps = 0;
  unsigned seed = 1;

  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& [name, file] : files_) names.push_back(name);
    return names;
  }
  std::string read(const std::string& name) override { return files_.at(name).data; }
  void append(const std::string& name, std::string_view bytes) override {
    bool last = step();
    File& f = files_[name];
    if (last) {
      std::size_t part = std::minstd_rand(seed + static_cast<unsigned>(steps))() %
                         (bytes.size() + 1);
      f.data += bytes.substr(0, taken == Taken::none  ? 0
                                : taken == Taken::all ? bytes.size()
                                                      : part);
      throw Killed{};
    }
    f.data += bytes;
  }
  void truncate(const std::string& name, std::size_t size) override {
    if (step()) throw Killed{};
    File& f = files_[name];
    f.data.resize(size);
    f.synced = std::min(f.synced, size);
    f.synced = size, f.named = true;
  }
  void sync(const std::string& name) override {
    if (step()) throw Killed{};
    File& f = files_[name];
    f.synced = f.data.size(), f.named = true;
  }

  // Crashes the machine: data that was never synced is lost, torn or kept, sector by sector in any
  // order. `by` seeds the random choice.
  void crashMachine(unsigned by) {
    std::minstd_rand random(by);
    for (auto it = files_.begin(); it != files_.end();) {
      File& f = it->second;
      if (!f.named && random() % 2) {
        it = files_.erase(it);
        continue;
      }
      std::size_t length = f.synced + random() % (f.data.size() - f.synced + 1);
      if (random() % 2) length = f.data.size();
      f.data.resize(length);
      for (std::size_t at = f.synced; at < length; at += kSector)
        if (random() % 3 == 0)
          for (std::size_t k = at; k < std::min(length, at + kSector); ++k) f.data[k] = '\0';
      f.synced = length, f.named = true;
      ++it;
    }
  }

  std::string& bytesOf(const std::string& name) { return files_.at(name).data; }
  void remove(const std::string& name) { files_.erase(name); }
  void rename(const std::string& from, const std::string& to) {
    files_[to] = files_.at(from), files_.erase(from);
  }

 private:
  struct File {
    std::string data;
    std::size_t synced = 0;
    bool named = false;  // the directory entry was synced, so it survives a crash
  };
  // Small, so that even a few records span several sectors.
  static constexpr std::size_t kSector = 64;

  bool step() {
    ++steps;
    if (steps >= fullFrom && steps < fullTo) throw ledger::DiskError("no space left");
    return steps == killAt;
  }

  std::map<std::string, File> files_;
};

}  // namespace reedchute::test
