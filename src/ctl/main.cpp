// reedchutectl: what operators do by hand. Exit codes: 0 done, 1 something is wrong with what was
// looked at, 2 it could not be looked at, or the command makes no sense. Results go to standard
// output, the log to standard error.
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>

#include "config/hcl_settings.h"
#include "ledger/ledger_writer.h"
#include "ledger/reconcile.h"
#include "ledger/settings.h"
#include "protocols/cassandra/settings.h"

using namespace reedchute;
using namespace reedchute::ledger;
using json_t = nlohmann::json;

namespace {

constexpr int kDone = 0, kWrong = 1, kCant = 2;
constexpr std::uint64_t kProgressEvery = 1'000'000;

std::string keyFrom(const std::string& path) {
  std::string key = keyInFile(path);
  if (key.empty()) throw InvalidInput(path + ": no key in it");
  return key;
}

std::string dayOf(Period p) {
  std::time_t at = static_cast<std::time_t>(p.beginsS);
  std::tm t{};
  gmtime_r(&at, &t);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%MZ", &t);
  return text;
}

// A ledger as it was read.
struct Looked {
  std::string birth, instance;
  std::vector<Finding> findings;
  std::uint64_t records = 0;
};

Looked look(const std::string& folder, const std::string& key,
            const std::function<void(const wire::Record&)>& each) {
  std::unique_ptr<Files> files = filesToRead(folder);
  Log log(*files, {key});
  Looked l;
  l.findings = log.verify([&](const wire::Record& r) {
    if (++l.records % kProgressEvery == 0) spdlog::info("folder={} records={}", folder, l.records);
    if (r.has_opened()) l.birth = r.opened().birth(), l.instance = r.opened().instance();
    each(r);
  });
  return l;
}

// A cell of CSV, in quotes where it needs them.
std::string cellOf(const std::string& text) {
  if (text.find_first_of(",\"\n") == std::string::npos) return text;
  std::string quoted = "\"";
  for (char ch : text) quoted += ch == '"' ? "\"\"" : std::string(1, ch);
  return quoted + "\"";
}

json_t toJson(const Finding& f) {
  return {
      {"what", ledger::nameOf(f.what)}, {"segment", f.segment}, {"byte", f.at}, {"record", f.seq}};
}

void tellFindings(const std::string& folder, const Looked& l) {
  for (const Finding& f : l.findings)
    spdlog::error("folder={} what=\"{}\" segment={} byte={} record={}", folder,
                  ledger::nameOf(f.what), f.segment, f.at, f.seq);
}

void tellTotals(const UsageTotals& t, bool asJson) {
  json_t all = json_t::array();
  if (!asJson)
    std::printf(
        "period,tenant,statements,bytes_in,bytes_out,executions,repeats,rejected,aborted,"
        "corrections\n");
  for (const auto& [key, u] : t.all()) {
    if (asJson)
      all.push_back({{"period", dayOf(key.first)},
                     {"tenant", key.second},
                     {"statements", u.statements},
                     {"bytes_in", u.bytesIn},
                     {"bytes_out", u.bytesOut},
                     {"executions", u.executions},
                     {"repeats", u.repeats},
                     {"rejected", u.rejected},
                     {"aborted", u.aborted},
                     {"corrections", u.corrections}});
    else
      std::printf("%s,%s,%lld,%lld,%lld,%lld,%lld,%lld,%lld,%lld\n", dayOf(key.first).c_str(),
                  cellOf(key.second).c_str(), static_cast<long long>(u.statements),
                  static_cast<long long>(u.bytesIn), static_cast<long long>(u.bytesOut),
                  static_cast<long long>(u.executions), static_cast<long long>(u.repeats),
                  static_cast<long long>(u.rejected), static_cast<long long>(u.aborted),
                  static_cast<long long>(u.corrections));
  }
  if (asJson) std::printf("%s\n", all.dump(1).c_str());
}

int show(const std::string& folder, const std::string& key, bool asJson) {
  UsageTotals t;
  Looked l = look(folder, key, [&](const wire::Record& r) { t.add(r); });
  tellFindings(folder, l);
  tellTotals(t, asJson);
  return l.findings.empty() ? kDone : kWrong;
}

int verify(const std::string& folder, const std::string& key, bool asJson) {
  Looked l = look(folder, key, [](const wire::Record&) {});
  if (asJson) {
    json_t found = json_t::array();
    for (const Finding& f : l.findings) found.push_back(toJson(f));
    std::printf("%s\n", json_t{{"instance", l.instance},
                               {"birth", l.birth},
                               {"records", l.records},
                               {"findings", found}}
                            .dump(1)
                            .c_str());
  } else {
    std::printf("%s: %llu records, %s\n", l.instance.c_str(),
                static_cast<unsigned long long>(l.records),
                l.findings.empty() ? "all sound" : "not sound");
    for (const Finding& f : l.findings)
      std::printf("  %s in %s at byte %zu, record %llu\n", ledger::nameOf(f.what),
                  f.segment.c_str(), f.at, static_cast<unsigned long long>(f.seq));
  }
  return l.findings.empty() ? kDone : kWrong;
}

int reconcile(const std::vector<std::string>& folders, const std::string& key,
              const std::string& write, bool asJson) {
  Reconciliation rec;
  bool sound = true;
  std::map<std::string, std::string> folderOf;  // by birth
  for (const std::string& folder : folders) {
    std::vector<wire::Record> records;
    Looked l = look(folder, key, [&](const wire::Record& r) { records.push_back(r); });
    tellFindings(folder, l);
    sound = sound && l.findings.empty();
    for (const wire::Record& r : records) rec.add(l.birth, l.instance, r);
    if (auto [it, fresh] = folderOf.try_emplace(l.birth, folder); !fresh)
      spdlog::error("folder={} other={} what=\"one ledger in two folders\" birth={}", folder,
                    it->second, l.birth);
  }
  auto troubles = rec.troubles();
  auto missing = rec.missing();
  for (const auto& t : troubles)
    spdlog::warn("what=\"{}\" ledger={} first={} last={} text=\"{}\"", ledger::nameOf(t.what),
                 t.birth, t.first, t.last, t.text);
  for (const auto& m : missing)
    spdlog::info("missing=\"{}\" tenant={} period={} reason=\"{}\"", m.correction.id(),
                 m.correction.tenant(), dayOf(m.period), m.correction.reason());
  if (!write.empty())
    for (const auto& m : missing) {
      wire::Correction c = m.correction;
      std::string signer = keyFrom(write);
      c.set_signature(LedgerWriter::signatureOf(c, m.period, signer));
      std::unique_ptr<Files> files = filesIn(folderOf.at(m.birth));
      LedgerWriter::Shape shape;
      shape.log.key = key, shape.correctionKey = signer;
      LedgerWriter keeper(*files, shape);
      TimePoint now{std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()};
      keeper.open(now);
      if (keeper.correct(c, m.period, now) != LedgerWriter::Corrected::taken)
        spdlog::error("refused=\"{}\"", c.id());
      keeper.sync();
    }
  tellTotals(rec.totals(true), asJson);
  return sound && troubles.empty() ? kDone : kWrong;
}

struct CorrectionAsked {
  std::string folder, id, tenant, period, corrects, reason, by;
  std::int64_t statements = 0, bytesIn = 0, bytesOut = 0;
};

int correct(const CorrectionAsked& a, const std::string& key, const std::string& signer) {
  std::unique_ptr<Files> files = filesIn(a.folder);
  LedgerWriter::Shape shape;
  shape.log.key = key, shape.correctionKey = keyFrom(signer);
  LedgerWriter keeper(*files, shape);
  TimePoint now{std::chrono::duration_cast<std::chrono::microseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()};
  auto found = keeper.open(now);
  if (!keeper.isOpen()) {
    spdlog::error("folder={} what=\"{}\"", a.folder, ledger::nameOf(found.front().what));
    return kWrong;
  }
  std::tm t{};
  const char* end = strptime(a.period.c_str(), "%Y-%m-%dT%H:%MZ", &t);
  if (!end || *end) throw InvalidInput("--period must be as show tells it: 2026-12-01T00:00Z");
  Period p{timegm(&t)};
  wire::Correction c;
  c.set_id(a.id), c.set_tenant(a.tenant), c.set_statements(a.statements), c.set_bytes_in(a.bytesIn);
  c.set_bytes_out(a.bytesOut), c.set_corrects(a.corrects), c.set_reason(a.reason), c.set_by(a.by);
  c.set_signature(LedgerWriter::signatureOf(c, p, shape.correctionKey));
  LedgerWriter::Corrected came = keeper.correct(c, p, now);
  keeper.sync();
  std::printf("%s\n", came == LedgerWriter::Corrected::taken      ? "taken"
                      : came == LedgerWriter::Corrected::repeated ? "is there already"
                                                                  : "refused");
  return came == LedgerWriter::Corrected::refused ? kWrong : kDone;
}

int exportTo(const std::string& folder, const std::string& key, const std::string& file,
             bool asJson) {
  std::ofstream out(file + ".part");
  if (!asJson)
    out << "seq,at_us,period,tenant,workload,group,outcome,billed,bytes_in,bytes_out,executions,"
           "corrects,reason\n";
  Looked l = look(folder, key, [&](const wire::Record& r) {
    if (!r.has_use() && !r.has_correction()) return;
    const wire::Use& u = r.use();
    const wire::Correction& c = r.correction();
    bool use = r.has_use();
    json_t one = {{"seq", r.seq()},
                  {"at_us", r.at_us()},
                  {"period", dayOf(Period{r.period_s()})},
                  {"tenant", use ? u.tenant() : c.tenant()},
                  {"workload", u.workload()},
                  {"group", u.group()},
                  {"outcome", use ? u.outcome() : 0},
                  {"billed", use ? static_cast<std::int64_t>(u.billed()) : c.statements()},
                  {"bytes_in", use ? static_cast<std::int64_t>(u.bytes_in()) : c.bytes_in()},
                  {"bytes_out", use ? static_cast<std::int64_t>(u.bytes_out()) : c.bytes_out()},
                  {"executions", u.executions()},
                  {"corrects", c.corrects()},
                  {"reason", c.reason()}};
    if (asJson) {
      out << one.dump() << "\n";
      return;
    }
    bool first = true;
    for (const char* name :
         {"seq", "at_us", "period", "tenant", "workload", "group", "outcome", "billed", "bytes_in",
          "bytes_out", "executions", "corrects", "reason"}) {
      if (!std::exchange(first, false)) out << ",";
      out << (one[name].is_string() ? cellOf(one[name].get<std::string>()) : one[name].dump());
    }
    out << "\n";
  });
  tellFindings(folder, l);
  out.close();
  if (!out || std::rename((file + ".part").c_str(), file.c_str()) != 0) {
    spdlog::error("file={} what=\"can't be written\"", file);
    return kCant;
  }
  return l.findings.empty() ? kDone : kWrong;
}

int check(const std::string& path) {
  config::Block file = config::readBlockFile(path);
  config::Section all(path, file);
  for (config::Section s : all.blocks("cassandra")) protocols::cassandra::parseConfig(std::move(s));
  for (config::Section s : all.blocks("ledger")) usageRecorderConfigFrom(std::move(s), "check");
  all.done();
  std::printf("%s: sound\n", path.c_str());
  return kDone;
}

}  // namespace

int main(int argc, char** argv) {
  auto log = spdlog::stderr_color_st("reedchutectl");
  log->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(log);
  CLI::App app("Operates reedchute: its ledger and its settings.", "reedchutectl");
  app.require_subcommand(1);
  bool asJson = false;
  app.add_flag("--json", asJson, "results as JSON");
  std::string folder, key, signer, file, format = "csv";
  std::vector<std::string> folders;
  CorrectionAsked asked;
  CLI::App* ledgerApp = app.add_subcommand("ledger", "use, as it is billed");
  ledgerApp->require_subcommand(1);
  auto with = [&](const char* name, const char* what) {
    CLI::App* sub = ledgerApp->add_subcommand(name, what);
    sub->add_option("--key-file", key, "the key of the ledger's chain")->required();
    return sub;
  };
  CLI::App* showApp = with("show", "totals by period and tenant");
  showApp->add_option("folder", folder)->required();
  CLI::App* verifyApp = with("verify", "walks the whole chain");
  verifyApp->add_option("folder", folder)->required();
  CLI::App* exportApp = with("export", "entries and corrections into a file");
  exportApp->add_option("folder", folder)->required();
  exportApp->add_option("file", file)->required();
  exportApp->add_option("--format", format, "csv or json")->check(CLI::IsMember({"csv", "json"}));
  CLI::App* reconcileApp = with("reconcile", "several ledgers together");
  reconcileApp->add_option("folders", folders)->required();
  reconcileApp->add_option("--write", signer,
                           "write what is missing as corrections, signed by the key in this file");
  CLI::App* correctApp = with("correct", "a further entry that puts something right");
  correctApp->add_option("folder", asked.folder)->required();
  correctApp->add_option("--signing-key-file", signer)->required();
  correctApp->add_option("--id", asked.id, "the same id counts once")->required();
  correctApp->add_option("--tenant", asked.tenant)->required();
  correctApp->add_option("--period", asked.period, "as show tells it")->required();
  correctApp->add_option("--corrects", asked.corrects, "what it is about")->required();
  correctApp->add_option("--reason", asked.reason)->required();
  correctApp->add_option("--by", asked.by)->required();
  correctApp->add_option("--statements", asked.statements);
  correctApp->add_option("--bytes-in", asked.bytesIn);
  correctApp->add_option("--bytes-out", asked.bytesOut);
  CLI::App* configApp = app.add_subcommand("config", "our settings");
  configApp->require_subcommand(1);
  CLI::App* checkApp = configApp->add_subcommand("check", "is a file of settings sound?");
  checkApp->add_option("file", file)->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kDone : kCant;
  }
  try {
    if (checkApp->parsed()) return check(file);
    std::string secret = keyFrom(key);
    if (showApp->parsed()) return show(folder, secret, asJson);
    if (verifyApp->parsed()) return verify(folder, secret, asJson);
    if (exportApp->parsed()) return exportTo(folder, secret, file, format == "json");
    if (reconcileApp->parsed()) return reconcile(folders, secret, signer, asJson);
    return correct(asked, secret, signer);
  } catch (const std::exception& e) {
    spdlog::error("{}", e.what());
    return kCant;
  }
}
