// reedchutectl: what operators do by hand. Results go to standard output, the log to standard
// error; commands.h has the exit codes.
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

// The commands and their options; parsing chooses the command that run() carries out.
class CommandLine {
 public:
  CommandLine() {
    app_.require_subcommand(1);
    app_.add_flag("--json", arguments_.isJson, "results as JSON");
    CLI::App* ledger = app_.add_subcommand("ledger", "use, as it is billed");
    ledger->require_subcommand(1);
    addShow(*ledger);
    addVerify(*ledger);
    addExport(*ledger);
    addReconcile(*ledger);
    addCorrect(*ledger);
    CLI::App* config = app_.add_subcommand("config", "our settings");
    config->require_subcommand(1);
    addCheck(*config);
  }

  // Throws CLI::ParseError.
  void parse(int argc, char** argv) { app_.parse(argc, argv); }
  int exit(const CLI::ParseError& error) { return app_.exit(error); }
  ctl::ExitCode run() { return chosen_(); }

 private:
  CLI::App* addLedgerCommand(CLI::App& ledger, const char* name, const char* description,
                             Command command) {
    CLI::App* sub = ledger.add_subcommand(name, description);
    sub->add_option("--key-file", arguments_.keyFile, "the key of the ledger's chain")->required();
    sub->callback([this, command = std::move(command)] { chosen_ = command; });
    return sub;
  }

  void addShow(CLI::App& ledger) {
    CLI::App* sub = addLedgerCommand(ledger, "show", "totals by period and tenant", [this] {
      return ctl::showLedger(arguments_.folder, arguments_.key(), arguments_.format());
    });
    sub->add_option("folder", arguments_.folder)->required();
  }

  void addVerify(CLI::App& ledger) {
    CLI::App* sub = addLedgerCommand(ledger, "verify", "walks the whole chain", [this] {
      return ctl::verifyLedger(arguments_.folder, arguments_.key(), arguments_.format());
    });
    sub->add_option("folder", arguments_.folder)->required();
  }

  void addExport(CLI::App& ledger) {
    CLI::App* sub = addLedgerCommand(
        ledger, "export", "entries and corrections into a file", [this] {
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
    CLI::App* sub = addLedgerCommand(ledger, "reconcile", "several ledgers together", [this] {
      return ctl::reconcileLedgers(arguments_.folders, arguments_.key(), arguments_.signingKeyFile,
                                   arguments_.format());
    });
    sub->add_option("folders", arguments_.folders)->required();
    sub->add_option("--write", arguments_.signingKeyFile,
                    "write what is missing as corrections, signed by the key in this file");
  }

  void addCorrect(CLI::App& ledger) {
    CLI::App* sub = addLedgerCommand(
        ledger, "correct", "a further entry that puts something right", [this] {
          return ctl::correctLedger(arguments_.correction, arguments_.key(),
                                    arguments_.signingKeyFile);
        });
    ctl::CorrectionArguments& correction = arguments_.correction;
    sub->add_option("folder", correction.folder)->required();
    sub->add_option("--signing-key-file", arguments_.signingKeyFile)->required();
    sub->add_option("--id", correction.id, "the same id counts once")->required();
    sub->add_option("--tenant", correction.tenant)->required();
    sub->add_option("--period", correction.period, "as show tells it")->required();
    sub->add_option("--corrects", correction.corrects, "what it is about")->required();
    sub->add_option("--reason", correction.reason)->required();
    sub->add_option("--by", correction.by)->required();
    sub->add_option("--statements", correction.statements);
    sub->add_option("--bytes-in", correction.bytesIn);
    sub->add_option("--bytes-out", correction.bytesOut);
  }

  void addCheck(CLI::App& config) {
    CLI::App* sub = config.add_subcommand("check", "is a file of settings sound?");
    sub->add_option("file", arguments_.file)->required();
    sub->callback([this] { chosen_ = [this] { return ctl::checkSettings(arguments_.file); }; });
  }

  CLI::App app_{"Operates reedchute: its ledger and its settings.", "reedchutectl"};
  Arguments arguments_;
  Command chosen_;
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
    return ctl::failed;  // not even the log could be set up
  }
}
