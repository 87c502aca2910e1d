// reedchutectl, the command line tool for operators. Results go to standard output, the log to
// standard error. See commands.h for the exit codes.
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <exception>
#include <functional>
#include <string>
#include <vector>

#include "ctl/commands.h"

using namespace reedchute;

namespace {

struct Arguments {
  bool isJson = false;
  std::string keyFile;
  std::string signingKeyFile;
  std::string folder;
  std::vector<std::string> folders;
  std::string file;
  std::string exportFormat = "csv";
  ctl::CorrectionArguments correction;

  ctl::Format format() const { return isJson ? ctl::Format::json : ctl::Format::csv; }
  std::string key() const { return ctl::readKeyFile(keyFile); }
};

using Command = std::function<ctl::ExitCode()>;

// The commands and their options. parse() selects the command that run() executes.
class CommandLine {
 public:
  CommandLine() {
    app_.require_subcommand(1);
    app_.add_flag("--json", arguments_.isJson, "print results as JSON");
    CLI::App* ledger = app_.add_subcommand("ledger", "inspect and correct the billing ledger");
    ledger->require_subcommand(1);
    addShow(*ledger);
    addVerify(*ledger);
    addExport(*ledger);
    addReconcile(*ledger);
    addCorrect(*ledger);
    CLI::App* config = app_.add_subcommand("config", "check settings files");
    config->require_subcommand(1);
    addCheck(*config);
  }

  // Throws CLI::ParseError.
  void parse(int argc, char** argv) { app_.parse(argc, argv); }
  int exit(const CLI::ParseError& error) { return app_.exit(error); }
  ctl::ExitCode run() { return selectedCommand_(); }

 private:
  CLI::App* addLedgerCommand(CLI::App& ledger, const char* name, const char* description,
                             Command command) {
    CLI::App* sub = ledger.add_subcommand(name, description);
    sub->add_option("--key-file", arguments_.keyFile, "file with the key of the ledger's MAC chain")
        ->required();
    sub->callback([this, command = std::move(command)] { selectedCommand_ = command; });
    return sub;
  }

  void addShow(CLI::App& ledger) {
    CLI::App* sub = addLedgerCommand(
        ledger, "show", "print the totals by period and tenant", [this] {
          return ctl::showLedger(arguments_.folder, arguments_.key(), arguments_.format());
        });
    sub->add_option("folder", arguments_.folder)->required();
  }

  void addVerify(CLI::App& ledger) {
    CLI::App* sub = addLedgerCommand(
        ledger, "verify", "check the MAC chain and the sequence of all records", [this] {
          return ctl::verifyLedger(arguments_.folder, arguments_.key(), arguments_.format());
        });
    sub->add_option("folder", arguments_.folder)->required();
  }

  void addExport(CLI::App& ledger) {
    CLI::App* sub = addLedgerCommand(
        ledger, "export", "write entries and corrections to a file", [this] {
          bool isJson = arguments_.exportFormat == "json";
          return ctl::exportLedger(arguments_.folder, arguments_.key(), arguments_.file,
                                   isJson ? ctl::Format::json : ctl::Format::csv);
        });
    sub->add_option("folder", arguments_.folder)->required();
    sub->add_option("file", arguments_.file)->required();
    sub->add_option("--format", arguments_.exportFormat, "csv or json")
        ->check(CLI::IsMember({"csv", "json"}));
  }

  void addReconcile(CLI::App& ledger) {
    CLI::App* sub = addLedgerCommand(
        ledger, "reconcile", "merge several ledgers and list the missing corrections", [this] {
          return ctl::reconcileLedgers(arguments_.folders, arguments_.key(),
                                       arguments_.signingKeyFile, arguments_.format());
        });
    sub->add_option("folders", arguments_.folders)->required();
    sub->add_option("--write", arguments_.signingKeyFile,
                    "write the missing corrections, signed with the key in this file");
  }

  void addCorrect(CLI::App& ledger) {
    CLI::App* sub = addLedgerCommand(ledger, "correct", "append a correction to a ledger", [this] {
      return ctl::correctLedger(arguments_.correction, arguments_.key(), arguments_.signingKeyFile);
    });
    ctl::CorrectionArguments& correction = arguments_.correction;
    sub->add_option("folder", correction.folder)->required();
    sub->add_option("--signing-key-file", arguments_.signingKeyFile)->required();
    sub->add_option("--id", correction.id, "unique id; corrections with the same id count once")
        ->required();
    sub->add_option("--tenant", correction.tenant)->required();
    sub->add_option("--period", correction.period,
                    "beginning of the period as printed by `ledger show`: 2026-12-01T00:00Z")
        ->required();
    sub->add_option("--corrects", correction.corrects,
                    "the corrected entry (instance:sequence number) or period")
        ->required();
    sub->add_option("--reason", correction.reason)->required();
    sub->add_option("--by", correction.by)->required();
    sub->add_option("--statements", correction.statements);
    sub->add_option("--bytes-in", correction.bytesIn);
    sub->add_option("--bytes-out", correction.bytesOut);
  }

  void addCheck(CLI::App& config) {
    CLI::App* sub = config.add_subcommand(
        "check", "check the blocks `cassandra` and `ledger` of a settings file");
    sub->add_option("file", arguments_.file)->required();
    sub->callback(
        [this] { selectedCommand_ = [this] { return ctl::checkSettings(arguments_.file); }; });
  }

  CLI::App app_{"Inspects and corrects the ledger of reedchute, and checks its settings.",
                "reedchutectl"};
  Arguments arguments_;
  Command selectedCommand_;
};

void logToStandardError() {
  auto log = spdlog::stderr_color_st("reedchutectl");
  log->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(log);
}

int run(int argc, char** argv) {
  logToStandardError();
  CommandLine commandLine;
  try {
    commandLine.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return commandLine.exit(error) == 0 ? ctl::done : ctl::failed;
  }
  try {
    return commandLine.run();
  } catch (const std::exception& error) {
    spdlog::error("{}", error.what());
    return ctl::failed;
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (...) {
    return ctl::failed;  // the log could not be set up
  }
}
