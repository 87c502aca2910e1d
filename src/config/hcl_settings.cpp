#include "config/hcl_settings.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>

namespace reedchute::config {
namespace {

constexpr std::size_t kMostFile = 1 << 20;

const char* kindName(json::Value::Kind k) {
  static constexpr const char* kNames[] = {"null",   "a boolean", "a number",
                                           "a text", "a list",    "an object"};
  return kNames[static_cast<std::size_t>(k)];
}

Block blockFrom(const json::Value& v) {
  Block b;
  if (const json::Value* type = v.find("type")) b.type = type->text;
  if (const json::Value* line = v.find("line")) b.line = static_cast<int>(line->number);
  const json::Value* body = v.find("body");
  if (!body) body = &v;
  if (const json::Value* list = body->find("attributes"))
    for (const json::Value& a : list->items) {
      const json::Value *name = a.find("name"), *line = a.find("line"), *value = a.find("value");
      if (name && line && value)
        b.attributes.push_back({name->text, static_cast<int>(line->number), *value});
    }
  if (const json::Value* list = body->find("blocks"))
    for (const json::Value& inner : list->items) b.blocks.push_back(blockFrom(inner));
  return b;
}

std::string readerBeside() {
  char path[4096];
  ssize_t n = readlink("/proc/self/exe", path, sizeof path);
  std::string self(path, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
  return self.substr(0, self.rfind('/') + 1) + "reedchute-hcl";
}

// What a program writes to either output, and its exit.
std::string outputOf(const std::string& program, const std::string& argument, int& status) {
  int fds[2];
  if (pipe(fds) < 0) throw InvalidInput("no pipe to read settings by");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, fds[1], 1);
  posix_spawn_file_actions_adddup2(&actions, fds[1], 2);
  posix_spawn_file_actions_addclose(&actions, fds[0]);
  posix_spawn_file_actions_addclose(&actions, fds[1]);
  char* const args[] = {const_cast<char*>(program.c_str()), const_cast<char*>(argument.c_str()),
                        nullptr};
  pid_t child = -1;
  int failed = posix_spawn(&child, program.c_str(), &actions, nullptr, args, environ);
  posix_spawn_file_actions_destroy(&actions);
  close(fds[1]);
  std::string text;
  char part[4096];
  for (ssize_t n;
       failed == 0 && ((n = read(fds[0], part, sizeof part)) > 0 || (n < 0 && errno == EINTR));)
    if (n > 0 && text.size() < kMostFile) text.append(part, static_cast<std::size_t>(n));
  close(fds[0]);
  if (failed) throw InvalidInput("settings can't be read without " + program);
  while (waitpid(child, &status, 0) < 0 && errno == EINTR) {
  }
  return text;
}

}  // namespace

Block parseBlock(const std::string& path, const std::string& text) {
  json::Value v;
  std::string why;
  if (!json::parse(text, v, why))
    throw InvalidInput(path + ":0: what the reader of settings wrote is no JSON: " + why);
  return blockFrom(v);
}

Block readBlockFile(const std::string& path) {
  int status = 0;
  std::string text = outputOf(readerBeside(), path, status);
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
    // The first error is enough, and stands in one line.
    text.resize(std::min(text.find('\n'), text.size()));
    throw InvalidInput(text.empty() ? path + ":0: the reader of settings failed" : text);
  }
  return parseBlock(path, text);
}

const Attribute* Section::find(std::string_view name) const {
  for (const Attribute& a : block_.attributes)
    if (a.name == name) return &a;
  return nullptr;
}

void Section::fail(std::string_view name, std::string_view why) const {
  const Attribute* a = find(name);
  throw InvalidInput(file_ + ":" + std::to_string(a ? a->line : block_.line) + ": '" +
                     std::string(name) + "' " + std::string(why));
}

const Attribute& Section::need(std::string_view name) {
  asked_.emplace(name);
  const Attribute* a = find(name);
  if (!a) fail(name, "is missing");
  return *a;
}

std::string Section::text(std::string_view name) {
  const Attribute& a = need(name);
  if (!a.value.isString())
    fail(name, std::string("must be a text and is ") + kindName(a.value.kind));
  return a.value.text;
}

std::string Section::text(std::string_view name, std::string otherwise) {
  asked_.emplace(name);
  return has(name) ? text(name) : std::move(otherwise);
}

std::int64_t Section::number(std::string_view name, std::int64_t least, std::int64_t most) {
  const Attribute& a = need(name);
  if (!a.value.isNumber())
    fail(name, std::string("must be a number and is ") + kindName(a.value.kind));
  double n = a.value.number;
  if (n != std::floor(n) || n < static_cast<double>(least) || n > static_cast<double>(most))
    fail(name,
         "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  return static_cast<std::int64_t>(n);
}

std::int64_t Section::number(std::string_view name, std::int64_t least, std::int64_t most,
                             std::int64_t otherwise) {
  asked_.emplace(name);
  return has(name) ? number(name, least, most) : otherwise;
}

bool Section::boolean(std::string_view name, bool otherwise) {
  asked_.emplace(name);
  const Attribute* a = find(name);
  if (!a) return otherwise;
  if (a->value.kind != json::Value::Kind::boolean)
    fail(name, std::string("must be true or false and is ") + kindName(a->value.kind));
  return a->value.boolean;
}

std::vector<std::string> Section::texts(std::string_view name) {
  asked_.emplace(name);
  std::vector<std::string> all;
  const Attribute* a = find(name);
  if (!a) return all;
  if (a->value.kind != json::Value::Kind::array)
    fail(name, std::string("must be a list and is ") + kindName(a->value.kind));
  for (const json::Value& v : a->value.items) {
    if (!v.isString()) fail(name, std::string("must hold texts and holds ") + kindName(v.kind));
    all.push_back(v.text);
  }
  return all;
}

std::vector<std::int64_t> Section::numbers(std::string_view name) {
  asked_.emplace(name);
  std::vector<std::int64_t> all;
  const Attribute* a = find(name);
  if (!a) return all;
  if (a->value.kind != json::Value::Kind::array)
    fail(name, std::string("must be a list and is ") + kindName(a->value.kind));
  for (const json::Value& v : a->value.items) {
    if (!v.isNumber() || v.number != std::floor(v.number)) fail(name, "must hold whole numbers");
    all.push_back(static_cast<std::int64_t>(v.number));
  }
  return all;
}

std::vector<Section> Section::blocks(std::string_view type) {
  asked_.emplace(type);
  std::vector<Section> all;
  for (const Block& b : block_.blocks)
    if (b.type == type) all.emplace_back(file_, b);
  return all;
}

void Section::done() const {
  for (const Attribute& a : block_.attributes)
    if (!asked_.contains(a.name))
      throw InvalidInput(file_ + ":" + std::to_string(a.line) + ": '" + a.name +
                         "' is no setting of this block");
  for (const Block& b : block_.blocks)
    if (!asked_.contains(b.type))
      throw InvalidInput(file_ + ":" + std::to_string(b.line) + ": '" + b.type +
                         "' is no block that is known here");
}

}  // namespace reedchute::config
