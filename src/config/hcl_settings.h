// Our own settings, in HCL. A program of its own, reedchute-hcl, reads the file with HashiCorp's
// library and writes JSON; here the blocks are checked against what each part of the proxy asks
// for. Every error is an InvalidInput whose text begins with file:line.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
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

// The whole file as a block without a type. Blocks until the reader program has ended.
Block readBlockFile(const std::string& path);
// The same from the reader program's output.
Block parseBlock(const std::string& path, const std::string& text);

// Typed reading of one block, which has to outlive it. It notes which names were read, so that
// requireAllRead() can refuse the others as unknown. The readers throw where a value has the wrong
// form; those without a default also where it is absent.
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
  // Lists; empty where they are absent.
  std::vector<std::string> texts(std::string_view name);
  std::vector<std::int64_t> numbers(std::string_view name);
  std::vector<Section> blocks(std::string_view type);

  // Throws for the first attribute or block that nothing has read.
  void requireAllRead() const;
  // Throws InvalidInput with the line of `name`, or of the block where it is absent.
  [[noreturn]] void fail(std::string_view name, std::string_view why) const;
  int line() const { return block_.line; }

 private:
  const Attribute* find(std::string_view name) const;
  const Attribute* lookUp(std::string_view name);
  const Attribute& need(std::string_view name);
  const std::vector<json::Value>& items(std::string_view name);

  std::string file_;
  const Block& block_;
  std::set<std::string, std::less<>> read_;
};

}  // namespace reedchute::config
