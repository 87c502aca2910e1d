// The commands of reedchutectl, a function each. They throw what keeps them from being done.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ctl/ledger_reader.h"

namespace reedchute::ctl {

// The program's exit codes.
enum ExitCode : int {
  done = 0,
  unsound = 1,  // something is wrong with what was looked at
  failed = 2    // it could not be looked at, or the command makes no sense
};

struct CorrectionArguments {
  std::string folder;
  std::string id;
  std::string tenant;
  std::string period;
  std::string corrects;
  std::string reason;
  std::string by;
  std::int64_t statements = 0;
  std::int64_t bytesIn = 0;
  std::int64_t bytesOut = 0;
};

// Throws InvalidInput where there is no key in the file.
std::string readKeyFile(const std::string& path);

// `key`: of the ledger's chain.
ExitCode showLedger(const std::string& folder, const std::string& key, Format format);
ExitCode verifyLedger(const std::string& folder, const std::string& key, Format format);
ExitCode exportLedger(const std::string& folder, const std::string& key, const std::string& file,
                      Format format);
// With a signing key file the missing corrections are written.
ExitCode reconcileLedgers(const std::vector<std::string>& folders, const std::string& key,
                          const std::string& signingKeyFile, Format format);
ExitCode correctLedger(const CorrectionArguments& arguments, const std::string& key,
                       const std::string& signingKeyFile);
ExitCode checkSettings(const std::string& file);

}  // namespace reedchute::ctl
