// A machine whose system calls fail under a test's hand: tests/soak/faulty_machine.cpp, loaded into
// the fronts.
#pragma once

#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>
#include <new>
#include <stdexcept>
#include <string>

#include "drive.h"
#include "soak/faults.h"

namespace reedchute::test {

inline const char* faultLibrary = nullptr;

// To be made before the front is; the fronts that are started from then on have it.
class FaultyMachine {
 public:
  FaultyMachine() {
    int file = mkstemp(path_);
    if (file < 0 || ftruncate(file, sizeof(soak::FrontControl)) < 0)
      throw std::runtime_error("no temporary file");
    void* map = mmap(nullptr, sizeof(soak::FrontControl), PROT_READ | PROT_WRITE, MAP_SHARED, file,
                     0);
    close(file);
    if (map == MAP_FAILED) throw std::runtime_error("the file can't be mapped");
    control_ = new (map) soak::FrontControl{};
    setenv("SOAK_FAULTS", path_, 1);
    setenv("LD_PRELOAD", faultLibrary, 1);
    // ASan asks to be the first that is loaded; nothing of its own is replaced here.
    const char* had = std::getenv("ASAN_OPTIONS");
    setenv("ASAN_OPTIONS",
           ((had ? std::string(had) + ":" : "") + "verify_asan_link_order=0").c_str(), 1);
  }
  ~FaultyMachine() {
    unsetenv("LD_PRELOAD"), unsetenv("SOAK_FAULTS");
    munmap(control_, sizeof(soak::FrontControl));
    unlink(path_);
  }
  FaultyMachine(const FaultyMachine&) = delete;
  FaultyMachine& operator=(const FaultyMachine&) = delete;

  // The next `times` calls of this kind fail with `error`.
  void fails(soak::Call call, int error, int times = 1) {
    soak::CallFaults& f = control_->of(call);
    f.error = error, f.failed = 0, f.next = times;
  }
  // Of `out of 1,024` calls of this kind so many fail, with `error`.
  void failsOften(soak::Call call, int error, int rate) {
    soak::CallFaults& f = control_->of(call);
    f.error = error, f.failed = 0, f.rate = rate;
  }
  // The process stops itself before its next call of this kind.
  void stopsAt(soak::Call call) { control_->of(call).stops = 1; }
  int failed(soak::Call call) const { return control_->of(call).failed; }
  // The front's wall clock, by how much it stands ahead of ours.
  void shiftClock(Duration ahead) { control_->clockShiftUs = ahead.us; }
  // Bytes of clients that the front has read after it had shut their connections.
  long readAndDropped() const { return static_cast<long>(control_->readAndDropped); }

 private:
  char path_[32] = "/tmp/reedchute-faults-XXXXXX";
  soak::FrontControl* control_ = nullptr;
};

// main of a program of tests on such fronts: PROGRAM LIBRARY CASE.
template <std::size_t N>
int runOnFaultyFront(const Case (&cases)[N], int argc, char** argv) {
  if (argc < 3) return 2;
  faultLibrary = argv[2];
  argv[2] = argv[1];
  return runOnFront(cases, argc - 1, argv + 1);
}

}  // namespace reedchute::test
