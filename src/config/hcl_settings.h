// Reads reedchute's own settings, in HCL. The separate program reedchute-hcl parses the file with
// HashiCorp's library and prints it as JSON; each component of the proxy then reads its blocks with
// the typed readers below. Every error is an InvalidInput whose text begins with file:line.
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

// Reads the file and returns it as a block without a type. Blocks until reedchute-hcl has exited.
Block readBlockFile(const std::string& path);
// Parses the output of reedchute-hcl for the file at `path`.
Block parseBlock(const std::string& path, const std::string& text);

// Typed access to one block, which must outlive the section. It records which names were read, so
// that requireAllRead() can reject the others as unknown. The readers throw InvalidInput if a value
// has the wrong type; those without a default also if it is absent.
class Section {
 public:
  Section(std::string file, const Block& block) : file_(std::move(file)), block_(block) {}

  bool has(std::string_view name) const { return find(name) != nullptr; }
  std::string text(std::string_view name);
  std::string text(std::string_view name, std::string defaultValue);
  // An integer from `min` to `max`, both included.
  std::int64_t number(std::string_view name, std::int64_t min, std::int64_t max);
  std::int64_t number(std::string_view name, std::int64_t min, std::int64_t max,
                      std::int64_t defaultValue);
  bool boolean(std::string_view name, bool defaultValue);
  // Lists; empty if absent.
  std::vector<std::string> texts(std::string_view name);
  std::vector<std::int64_t> numbers(std::string_view name);
  std::vector<Section> blocks(std::string_view type);

  // Throws InvalidInput for the first attribute or block that was not read.
  void requireAllRead() const;
  // Throws InvalidInput "file:line: 'name' problem" with the line of `name`, or of the block if
  // `name` is absent.
  [[noreturn]] void fail(std::string_view name, std::string_view problem) const;
  int line() const { return block_.line; }

 private:
  const Attribute* find(std::string_view name) const;
  // Like find(), and records `name` as read.
  const Attribute* lookUp(std::string_view name);
  const Attribute& require(std::string_view name);
  const std::vector<json::Value>& items(std::string_view name);

  std::string file_;
  const Block& block_;
  std::set<std::string, std::less<>> read_;
};

}  // namespace reedchute::config
