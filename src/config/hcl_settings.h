// Settings of our own, in HCL, beside the platform's JSON. The file is read by HashiCorp's library
// in a program of its own, reedchute-hcl, which stands beside the one that runs; here its sections
// are checked against what each part asks for. Every error is a InvalidInput whose text begins with
// file:line.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "codec/json/json.h"
#include "config/platform_settings.h"

namespace reedchute::config {

struct Attribute {
  std::string name;
  int line = 0;
  json::Value value;
};

struct Block {
  std::string type;
  int line = 0;
  std::vector<Attribute> attributes;
  std::vector<Block> blocks;
};

// The whole file as a block without a type. Waits for the reading program.
Block readBlockFile(const std::string& path);
// The same from the reading program's output.
Block parseBlock(const std::string& path, const std::string& text);

// One block as it is taken apart. What was asked for by no one is an error of done().
class Section {
 public:
  Section(std::string file, const Block& block) : file_(std::move(file)), block_(block) {}

  bool has(std::string_view name) const { return find(name) != nullptr; }
  std::string text(std::string_view name);
  std::string text(std::string_view name, std::string otherwise);
  // A whole number from `least` to `most`, both included.
  std::int64_t number(std::string_view name, std::int64_t least, std::int64_t most);
  std::int64_t number(std::string_view name, std::int64_t least, std::int64_t most,
                      std::int64_t otherwise);
  bool boolean(std::string_view name, bool otherwise);
  std::vector<std::string> texts(std::string_view name);  // none where it isn't there
  std::vector<std::int64_t> numbers(std::string_view name);
  std::vector<Section> blocks(std::string_view type);
  void done() const;
  int line() const { return block_.line; }

  [[noreturn]] void fail(std::string_view name, std::string_view why) const;

 private:
  const Attribute* find(std::string_view name) const;
  const Attribute& need(std::string_view name);

  std::string file_;
  const Block& block_;
  std::set<std::string, std::less<>> asked_;
};

}  // namespace reedchute::config
