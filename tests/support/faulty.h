// Lets a test inject failures into the system calls of fronts, by preloading
// tests/soak/faulty_machine.cpp into them.
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

// Applies to all fronts that are started during its lifetime, so it is constructed before the
// Drive.
class FaultyMachine {
 public:
  FaultyMachine() {
    int file = mkstemp(path_);
    if (file < 0 || ftruncate(file, sizeof(soak::FrontControl)) < 0)
      throw std::runtime_error("cannot create a temporary file");
    void* map = mmap(nullptr, sizeof(soak::FrontControl), PROT_READ | PROT_WRITE, MAP_SHARED, file,
                     0);
    close(file);
    if (map == MAP_FAILED) throw std::runtime_error("mmap of the fault file failed");
    control_ = new (map) soak::FrontControl{};
    setenv("SOAK_FAULTS", path_, 1);
    setenv("LD_PRELOAD", faultLibrary, 1);
    // ASan requires its runtime to be the first library loaded. The check is disabled, as the fault
    // library replaces no function of ASan.
    const char* inheritedOptions = std::getenv("ASAN_OPTIONS");
    setenv(
        "ASAN_OPTIONS",
        ((inheritedOptions ? std::string(inheritedOptions) + ":" : "") + "verify_asan_link_order=0")
            .c_str(),
        1);
  }
  ~FaultyMachine() {
    unsetenv("LD_PRELOAD"), unsetenv("SOAK_FAULTS");
    munmap(control_, sizeof(soak::FrontControl));
    unlink(path_);
  }
  FaultyMachine(const FaultyMachine&) = delete;
  FaultyMachine& operator=(const FaultyMachine&) = delete;

  // Makes the next `times` calls of this kind fail with `error`.
  void fails(soak::Call call, int error, int times = 1) {
    soak::CallFaults& f = control_->of(call);
    f.error = error, f.failed = 0, f.next = times;
  }
  // Makes `rate` of 1,024 calls of this kind fail with `error`.
  void failsOften(soak::Call call, int error, int rate) {
    soak::CallFaults& f = control_->of(call);
    f.error = error, f.failed = 0, f.rate = rate;
  }
  // Makes the process stop itself (SIGSTOP) before its next call of this kind.
  void stopsAt(soak::Call call) { control_->of(call).stops = 1; }
  // Number of calls of this kind that failed since the last fails() or failsOften().
  int failed(soak::Call call) const { return control_->of(call).failed; }
  // Sets how far the wall clock of the fronts is ahead of the test's.
  void shiftClock(Duration ahead) { control_->clockShiftUs = ahead.us; }
  // Bytes that the front read from clients after it had called shutdown() on their connections.
  long readAndDropped() const { return static_cast<long>(control_->readAndDropped); }

 private:
  char path_[32] = "/tmp/reedchute-faults-XXXXXX";
  soak::FrontControl* control_ = nullptr;
};

// main() of a test program that runs such fronts. Arguments: PROGRAM LIBRARY CASE.
template <std::size_t N>
int runOnFaultyFront(const Case (&cases)[N], int argc, char** argv) {
  if (argc < 3) return 2;
  faultLibrary = argv[2];
  argv[2] = argv[1];
  return runOnFront(cases, argc - 1, argv + 1);
}

}  // namespace reedchute::test
