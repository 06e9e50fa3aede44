#include "configuration/ConfigChanges.h"

#include <nlohmann/json.hpp>

#include <map>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::size_t MaxLines = 100;

// Key of an item within its section, made of the members that identify it. The
// members are those that FleetConfigJson writes.
std::string identityOf(const json &Item) {
  std::string Result;
  for (const char *Key : {"name", "prefix", "service", "workspace", "from",
                          "to", "from_region", "to_region"}) {
    if (!Item.is_object() || !Item.contains(Key) || !Item[Key].is_string())
      continue;
    const std::string &Value = Item[Key].get_ref<const std::string &>();
    Result += (Result.empty() ? "" : " ") + Value;
    // A name or prefix is unique within its section.
    if (std::string(Key) == "name" || std::string(Key) == "prefix")
      break;
  }
  return Result;
}

std::map<std::string, const json *> itemsOf(const json &Document,
                                            const std::string &Section) {
  std::map<std::string, const json *> Result;
  const auto Found = Document.find(Section);
  if (Found != Document.end() && Found->is_array())
    for (const json &Item : *Found)
      Result[identityOf(Item)] = &Item;
  return Result;
}

void compareSection(const std::string &Section, const json &Before,
                    const json &After, std::vector<std::string> &Lines) {
  const auto Old = itemsOf(Before, Section);
  const auto New = itemsOf(After, Section);
  for (const auto &[Name, Item] : Old) {
    const auto Found = New.find(Name);
    if (Found == New.end())
      Lines.push_back(Section + ": " + Name + " removed");
    else if (*Found->second != *Item)
      Lines.push_back(Section + ": " + Name + " changed");
  }
  for (const auto &[Name, Item] : New)
    if (!Old.count(Name))
      Lines.push_back(Section + ": " + Name + " added");
}

} // namespace

std::vector<std::string> describeChanges(const std::string &Before,
                                         const std::string &After) {
  const json Old = json::parse(Before, nullptr, false);
  const json New = json::parse(After, nullptr, false);
  std::vector<std::string> Lines;
  if (!Old.is_object() || !New.is_object())
    return Lines;
  for (const auto &Section : New.items())
    compareSection(Section.key(), Old, New, Lines);
  if (Lines.size() > MaxLines) {
    const std::size_t More = Lines.size() - MaxLines;
    Lines.resize(MaxLines);
    Lines.push_back("and " + std::to_string(More) + " more");
  }
  return Lines;
}

} // namespace rr
