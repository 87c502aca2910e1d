#include "config/hcl_settings.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>

namespace reedchute::config {
namespace {

constexpr std::size_t kMaxOutput = 1 << 20;  // bytes

std::string kindName(json::Value::Kind kind) {
  static constexpr const char* kNames[] = {"null",   "a boolean", "a number",
                                           "a text", "a list",    "an object"};
  return kNames[static_cast<std::size_t>(kind)];
}

int lineOf(const json::Value* line) {
  return line ? static_cast<int>(line->number) : 0;
}

std::vector<Attribute> attributesFrom(const json::Value& list) {
  std::vector<Attribute> attributes;
  for (const json::Value& item : list.items) {
    const json::Value* name = item.find("name");
    const json::Value* line = item.find("line");
    const json::Value* value = item.find("value");
    if (name && line && value) attributes.push_back({name->text, lineOf(line), *value});
  }
  return attributes;
}

Block blockFrom(const json::Value& value) {
  Block block;
  if (const json::Value* type = value.find("type")) block.type = type->text;
  block.line = lineOf(value.find("line"));
  const json::Value* body = value.find("body");
  if (!body) body = &value;
  if (const json::Value* list = body->find("attributes")) block.attributes = attributesFrom(*list);
  if (const json::Value* list = body->find("blocks"))
    for (const json::Value& inner : list->items) block.blocks.push_back(blockFrom(inner));
  return block;
}

// The path of reedchute-hcl, which is installed in the folder of the running program.
std::string readerPath() {
  char path[4096];
  ssize_t length = readlink("/proc/self/exe", path, sizeof path);
  std::string self(path, static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
  return self.substr(0, self.rfind('/') + 1) + "reedchute-hcl";
}

// Starts `program` with its stdout and stderr redirected to the pipe, and closes the write end
// here. Returns the process id, or -1.
pid_t startProgram(const std::string& program, const std::string& argument, const int (&pipe)[2]) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], STDERR_FILENO);
  posix_spawn_file_actions_addclose(&actions, pipe[0]);
  posix_spawn_file_actions_addclose(&actions, pipe[1]);
  char* const arguments[] = {const_cast<char*>(program.c_str()),
                             const_cast<char*>(argument.c_str()), nullptr};
  pid_t child = -1;
  int error = posix_spawn(&child, program.c_str(), &actions, nullptr, arguments, environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe[1]);
  return error == 0 ? child : -1;
}

// Reads until the end of the stream; output beyond about kMaxOutput is dropped.
std::string readToEnd(int fd) {
  std::string text;
  char part[4096];
  for (;;) {
    ssize_t length = read(fd, part, sizeof part);
    if (length < 0 && errno == EINTR) continue;
    if (length <= 0) return text;
    if (text.size() < kMaxOutput) text.append(part, static_cast<std::size_t>(length));
  }
}

struct ProgramResult {
  std::string output;  // of stdout and stderr
  bool succeeded = false;
};

ProgramResult runProgram(const std::string& program, const std::string& argument) {
  int pipeEnds[2];
  if (pipe(pipeEnds) < 0) throw InvalidInput("can't create a pipe to read the settings");
  pid_t child = startProgram(program, argument, pipeEnds);
  ProgramResult result;
  if (child >= 0) result.output = readToEnd(pipeEnds[0]);
  close(pipeEnds[0]);
  if (child < 0) throw InvalidInput("can't start the parser of settings: " + program);
  int status = 0;
  while (waitpid(child, &status, 0) < 0 && errno == EINTR) {
  }
  result.succeeded = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  return result;
}

std::string position(const std::string& file, int line) {
  return file + ":" + std::to_string(line) + ": ";
}

}  // namespace

Block parseBlock(const std::string& path, const std::string& text) {
  json::Value value;
  std::string parseError;
  if (!json::parse(text, value, parseError))
    throw InvalidInput(position(path, 0) +
                       "the output of reedchute-hcl is not valid JSON: " + parseError);
  return blockFrom(value);
}

Block readBlockFile(const std::string& path) {
  ProgramResult result = runProgram(readerPath(), path);
  if (result.succeeded) return parseBlock(path, result.output);
  // Only the first error is reported; it is one line.
  std::string error = result.output.substr(0, result.output.find('\n'));
  throw InvalidInput(
      error.empty() ? position(path, 0) + "reedchute-hcl failed without an error message" : error);
}

const Attribute* Section::find(std::string_view name) const {
  for (const Attribute& attribute : block_.attributes)
    if (attribute.name == name) return &attribute;
  return nullptr;
}

void Section::fail(std::string_view name, std::string_view problem) const {
  const Attribute* attribute = find(name);
  int line = attribute ? attribute->line : block_.line;
  throw InvalidInput(position(file_, line) + "'" + std::string(name) + "' " + std::string(problem));
}

const Attribute* Section::lookUp(std::string_view name) {
  read_.emplace(name);
  return find(name);
}

const Attribute& Section::require(std::string_view name) {
  const Attribute* attribute = lookUp(name);
  if (!attribute) fail(name, "is missing");
  return *attribute;
}

std::string Section::text(std::string_view name) {
  const Attribute& attribute = require(name);
  if (!attribute.value.isString())
    fail(name, "must be a text and is " + kindName(attribute.value.kind));
  return attribute.value.text;
}

std::string Section::text(std::string_view name, std::string defaultValue) {
  return lookUp(name) ? text(name) : std::move(defaultValue);
}

std::int64_t Section::number(std::string_view name, std::int64_t min, std::int64_t max) {
  const Attribute& attribute = require(name);
  if (!attribute.value.isNumber())
    fail(name, "must be a number and is " + kindName(attribute.value.kind));
  double value = attribute.value.number;
  bool isWhole = value == std::floor(value);
  if (!isWhole || value < static_cast<double>(min) || value > static_cast<double>(max))
    fail(name, "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
  return static_cast<std::int64_t>(value);
}

std::int64_t Section::number(std::string_view name, std::int64_t min, std::int64_t max,
                             std::int64_t defaultValue) {
  return lookUp(name) ? number(name, min, max) : defaultValue;
}

bool Section::boolean(std::string_view name, bool defaultValue) {
  const Attribute* attribute = lookUp(name);
  if (!attribute) return defaultValue;
  if (attribute->value.kind != json::Value::Kind::boolean)
    fail(name, "must be true or false and is " + kindName(attribute->value.kind));
  return attribute->value.boolean;
}

const std::vector<json::Value>& Section::items(std::string_view name) {
  static const std::vector<json::Value> kNone;
  const Attribute* attribute = lookUp(name);
  if (!attribute) return kNone;
  if (attribute->value.kind != json::Value::Kind::array)
    fail(name, "must be a list and is " + kindName(attribute->value.kind));
  return attribute->value.items;
}

std::vector<std::string> Section::texts(std::string_view name) {
  std::vector<std::string> texts;
  for (const json::Value& item : items(name)) {
    if (!item.isString()) fail(name, "must be a list of texts and contains " + kindName(item.kind));
    texts.push_back(item.text);
  }
  return texts;
}

std::vector<std::int64_t> Section::numbers(std::string_view name) {
  std::vector<std::int64_t> numbers;
  for (const json::Value& item : items(name)) {
    if (!item.isNumber() || item.number != std::floor(item.number))
      fail(name, "must be a list of whole numbers");
    numbers.push_back(static_cast<std::int64_t>(item.number));
  }
  return numbers;
}

std::vector<Section> Section::blocks(std::string_view type) {
  read_.emplace(type);
  std::vector<Section> sections;
  for (const Block& block : block_.blocks)
    if (block.type == type) sections.emplace_back(file_, block);
  return sections;
}

void Section::requireAllRead() const {
  for (const Attribute& attribute : block_.attributes)
    if (!read_.contains(attribute.name))
      throw InvalidInput(position(file_, attribute.line) + "'" + attribute.name +
                         "' is no setting of this block");
  for (const Block& block : block_.blocks)
    if (!read_.contains(block.type))
      throw InvalidInput(position(file_, block.line) + "'" + block.type +
                         "' is no block that is known here");
}

}  // namespace reedchute::config
