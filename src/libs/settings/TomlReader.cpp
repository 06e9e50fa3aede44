#include "settings/TomlReader.h"

#include <utility>

namespace rr {

TomlReader::TomlReader(const toml::table *Table, std::string Path,
                       std::string File, Diagnostics &Errors)
    : Table(Table), Path(std::move(Path)), File(std::move(File)),
      Errors(Errors) {}

const toml::node *TomlReader::findKey(const char *Key) {
  this->ReadKeys.insert(Key);
  return this->Table ? this->Table->get(Key) : nullptr;
}

void TomlReader::reportError(const char *Key, const std::string &Expected) {
  const toml::node *Node = this->Table ? this->Table->get(Key) : nullptr;
  if (!Node)
    Node = this->Table;
  const auto Line = Node ? Node->source().begin.line : 1;
  this->Errors.Lines.push_back(this->File + ":" + std::to_string(Line) + ": " +
                               this->Path + "." + Key + ": expected " +
                               Expected);
}

void TomlReader::readString(const char *Key, std::string &Target,
                            bool Required) {
  const toml::node *Node = this->findKey(Key);
  if (!Node) {
    if (Required)
      this->reportError(Key, "a string (the key is missing)");
    return;
  }
  const auto Value = Node->value_exact<std::string>();
  if (Value && !(Required && Value->empty()))
    Target = *Value;
  else
    this->reportError(Key, Required ? "a non-empty string" : "a string");
}

void TomlReader::readStrings(const char *Key,
                             std::vector<std::string> &Target) {
  const toml::node *Node = this->findKey(Key);
  if (!Node)
    return;
  const toml::array *List = Node->as_array();
  if (!List) {
    this->reportError(Key, "an array of strings");
    return;
  }
  for (const toml::node &Item : *List) {
    const auto Value = Item.value_exact<std::string>();
    if (!Value) {
      this->reportError(Key, "an array of strings only");
      return;
    }
    Target.push_back(*Value);
  }
}

void TomlReader::readNestedStrings(const char *Key,
                                   std::vector<std::string> &Target) {
  const toml::node *Node = this->findKey(Key);
  if (!Node)
    return;
  std::vector<const toml::node *> Open{Node};
  bool Good = Node->is_array();
  while (Good && !Open.empty()) {
    const toml::node *Item = Open.back();
    Open.pop_back();
    if (const toml::array *List = Item->as_array())
      for (const toml::node &Element : *List)
        Open.push_back(&Element);
    else if (const auto Value = Item->value_exact<std::string>())
      Target.push_back(*Value);
    else
      Good = false;
  }
  if (!Good)
    this->reportError(Key, "an array of strings");
}

void TomlReader::readCount(const char *Key, std::uint64_t &Target,
                           std::uint64_t Minimum) {
  const toml::node *Node = this->findKey(Key);
  if (!Node)
    return;
  const auto Value = Node->value_exact<std::int64_t>();
  if (Value && *Value >= 0 && static_cast<std::uint64_t>(*Value) >= Minimum)
    Target = static_cast<std::uint64_t>(*Value);
  else
    this->reportError(Key, "an integer of at least " + std::to_string(Minimum));
}

void TomlReader::readMilliseconds(const char *Key,
                                  std::chrono::milliseconds &Target) {
  std::uint64_t Value = static_cast<std::uint64_t>(Target.count());
  this->readCount(Key, Value, 1);
  Target = std::chrono::milliseconds(Value);
}

void TomlReader::readSeconds(const char *Key,
                             std::chrono::nanoseconds &Target) {
  const toml::node *Node = this->findKey(Key);
  if (!Node)
    return;
  const auto Value = Node->value<double>();
  if (!Value || !(*Value > 0) || *Value > 1e6)
    this->reportError(Key, "a number of seconds above 0");
  else
    Target = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(*Value));
}

void TomlReader::readNumber(const char *Key, double &Target, double Minimum) {
  const toml::node *Node = this->findKey(Key);
  if (!Node)
    return;
  const auto Value = Node->value<double>();
  if (!Value || !(*Value >= Minimum))
    this->reportError(Key, "a number of at least " + std::to_string(Minimum));
  else
    Target = *Value;
}

void TomlReader::readBool(const char *Key, bool &Target) {
  const toml::node *Node = this->findKey(Key);
  if (!Node)
    return;
  const auto Value = Node->value_exact<bool>();
  if (Value)
    Target = *Value;
  else
    this->reportError(Key, "true or false");
}

void TomlReader::reportUnknownKeys() {
  if (!this->Table)
    return;
  for (const auto &[Key, Node] : *this->Table) {
    const std::string Name(Key.str());
    if (!this->ReadKeys.count(Name))
      this->Errors.Lines.push_back(
          this->File + ":" + std::to_string(Node.source().begin.line) + ": " +
          this->Path + "." + Name + ": unknown key");
  }
}

} // namespace rr
