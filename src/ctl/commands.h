// The commands of reedchutectl, one function each. They throw an exception if they can't be carried
// out; the results go to standard output.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ctl/ledger_reader.h"

namespace reedchute::ctl {

// The program's exit codes.
enum ExitCode : int {
  done = 0,
  unsound = 1,  // the checked ledger or settings have defects, or a correction was refused
  failed = 2    // the command could not be carried out, or its arguments are invalid
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

// Throws InvalidInput if the file is empty or can't be read.
std::string readKeyFile(const std::string& path);

// `key`: the key of the ledger's MAC chain.
ExitCode showLedger(const std::string& folder, const std::string& key, Format format);
ExitCode verifyLedger(const std::string& folder, const std::string& key, Format format);
ExitCode exportLedger(const std::string& folder, const std::string& key, const std::string& file,
                      Format format);
// If `signingKeyFile` isn't empty, the missing corrections are written to the ledgers.
ExitCode reconcileLedgers(const std::vector<std::string>& folders, const std::string& key,
                          const std::string& signingKeyFile, Format format);
ExitCode correctLedger(const CorrectionArguments& arguments, const std::string& key,
                       const std::string& signingKeyFile);
ExitCode checkSettings(const std::string& file);

}  // namespace reedchute::ctl
