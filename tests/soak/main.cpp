// The soak: runs some thirty real processes on loopback, injects disruptions ("troubles") drawn
// from a seed, and checks the events that the processes recorded.
//   soak PROGRAM LIBRARY [--seed N] [--runs N] [--seconds N] [--fronts N] [--keep FOLDER]
// Each run prints its disruptions, its counts and the violations found; the exit code is 1 if there
// were any. With --keep the events and the logs of the fronts of a failed run are copied to FOLDER.
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <string>

#include "fleet.h"
#include "oracle.h"
#include "report.h"
#include "stall_watch.h"
#include "troubles.h"

namespace soak {
namespace {

struct Options {
  std::string program, library, keep;
  std::uint64_t seed = 1, runs = 1;
  int seconds = 8, fronts = 0;
};

bool runOnce(const Options& o, std::uint64_t seed) {
  char folder[] = "/tmp/reedchute-soak-XXXXXX";
  if (!mkdtemp(folder)) return false;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  FleetOptions f{.program = o.program, .library = o.library, .folder = folder, .seed = seed};
  f.fronts = o.fronts > 0 ? o.fronts : 2 + static_cast<int>(seed % 5);
  // The settings vary by the seed, as they do between customers.
  f.allowsParallelAttempts = seed % 3 != 0, f.mayCancel = seed % 7 != 0,
  f.subscribesToList = seed % 5 == 0;
  f.descriptors = seed % 4 == 1 ? 96 : 256;
  f.deduplicationWindowMs = seed % 2 ? 1'000 : 300;
  f.maxAttempts = 2 + static_cast<int>(seed % 4);
  // One seed in twelve has many clients on few fronts.
  if (seed % 12 == 7) f.threadsPerProcess = 40, f.thinkUs = 400'000, f.fronts = 2;
  bool passed = true, stepped = false;
  Stalls stalls;
  {
    Fleet fleet(f);
    if (!fleet.start()) {
      std::printf("  the fronts did not start\n");
      passed = false;
    } else {
      StallWatch watch;
      Troubles troubles(fleet, seed);
      troubles.run(o.seconds);
      stepped = troubles.hasSteppedClocks();
      if (!fleet.finish()) std::printf("  clients did not end\n"), passed = false;
      stalls = watch.stop();
    }
  }
  OracleOptions oracleOptions;
  oracleOptions.checksStaleness = !stepped;
  oracleOptions.drainGraceUs = f.drainGraceMs * 1000,
  oracleOptions.deduplicationWindowUs = f.deduplicationWindowMs * 1000;
  oracleOptions.allowsParallelAttempts = f.allowsParallelAttempts;
  oracleOptions.storeTerms = f.storeTerms;
  Verdict verdict = judge(readEvents(folder), oracleOptions);
  printVerdict(verdict);
  std::size_t invariantFailures = printFailedChecks(folder);
  passed = passed && verdict.violations.empty() && invariantFailures == 0 && verdict.served > 0;
  std::printf("  the machine stood still %d times for over 0.1 s, at most %lld ms\n", stalls.count,
              static_cast<long long>(stalls.longestUs / 1000));
  std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), passed ? "kept" : "BROKEN");
  std::fflush(stdout);
  if (!passed && !o.keep.empty()) keepFolder(folder, o.keep, seed);
  std::filesystem::remove_all(folder);
  return passed;
}

bool readOptions(int argc, char** argv, Options& o) {
  if (argc < 3) return false;
  o.program = std::filesystem::absolute(argv[1]), o.library = std::filesystem::absolute(argv[2]);
  for (int k = 3; k + 1 < argc; k += 2) {
    std::string name = argv[k], value = argv[k + 1];
    if (name == "--keep") {
      o.keep = value;
      continue;
    }
    std::uint64_t number = std::strtoull(value.c_str(), nullptr, 10);
    if (name == "--seed")
      o.seed = number;
    else if (name == "--runs")
      o.runs = number;
    else if (name == "--seconds")
      o.seconds = static_cast<int>(number);
    else if (name == "--fronts")
      o.fronts = static_cast<int>(std::min<std::uint64_t>(number, kFronts));
    else
      return false;
  }
  return argc % 2 == 1;
}

}  // namespace
}  // namespace soak

int main(int argc, char** argv) {
  soak::Options options;
  if (!soak::readOptions(argc, argv, options)) {
    std::fprintf(stderr,
                 "usage: soak PROGRAM LIBRARY [--seed N] [--runs N] [--seconds N] [--fronts N] "
                 "[--keep FOLDER]\n");
    return 2;
  }
  std::uint64_t broken = 0;
  for (std::uint64_t k = 0; k < options.runs; ++k)
    broken += !soak::runOnce(options, options.seed + k);
  std::printf("%llu runs, %llu broken\n", static_cast<unsigned long long>(options.runs),
              static_cast<unsigned long long>(broken));
  return broken > 0;
}
