#include "model/JsonReader.h"

#include <algorithm>
#include <utility>

namespace rr {

JsonReader::JsonReader(const nlohmann::json &Object, std::string Path,
                       std::vector<std::string> &Problems)
    : Object(Object), Path(std::move(Path)), Problems(Problems) {
  if (!Object.is_object())
    this->Problems.push_back(this->Path + ": expected an object");
}

const nlohmann::json *JsonReader::member(const char *Key) {
  this->ReadKeys.emplace_back(Key);
  if (!this->Object.is_object())
    return nullptr;
  const auto Found = this->Object.find(Key);
  return Found == this->Object.end() ? nullptr : &*Found;
}

void JsonReader::reportError(const std::string &Key,
                             const std::string &Expected) {
  this->Problems.push_back(this->Path + "." + Key + ": expected " + Expected);
}

std::string JsonReader::text(const char *Key) {
  const nlohmann::json *Value = this->member(Key);
  if (Value && Value->is_string() &&
      !Value->get_ref<const std::string &>().empty())
    return Value->get<std::string>();
  this->reportError(Key, "a text that is not empty");
  return {};
}

std::string JsonReader::textOr(const char *Key, const std::string &Default) {
  const nlohmann::json *Value = this->member(Key);
  if (!Value)
    return Default;
  if (Value->is_string())
    return Value->get<std::string>();
  this->reportError(Key, "a text");
  return Default;
}

double JsonReader::number(const char *Key, double Minimum) {
  const nlohmann::json *Value = this->member(Key);
  if (Value && Value->is_number() && Value->get<double>() >= Minimum)
    return Value->get<double>();
  this->reportError(Key,
                    "a number of at least " + nlohmann::json(Minimum).dump());
  return Minimum;
}

double JsonReader::numberOr(const char *Key, double Minimum, double Default) {
  if (this->Object.is_object() && this->Object.contains(Key))
    return this->number(Key, Minimum);
  this->member(Key);
  return Default;
}

std::uint64_t JsonReader::countOr(const char *Key, std::uint64_t Minimum,
                                  std::uint64_t Default) {
  const nlohmann::json *Value = this->member(Key);
  if (!Value)
    return Default;
  if (Value->is_number_unsigned() && Value->get<std::uint64_t>() >= Minimum)
    return Value->get<std::uint64_t>();
  this->reportError(Key,
                    "a whole number of at least " + std::to_string(Minimum));
  return Default;
}

bool JsonReader::flagOr(const char *Key, bool Default) {
  const nlohmann::json *Value = this->member(Key);
  if (!Value)
    return Default;
  if (Value->is_boolean())
    return Value->get<bool>();
  this->reportError(Key, "true or false");
  return Default;
}

std::vector<std::string> JsonReader::texts(const char *Key) {
  const nlohmann::json *Value = this->member(Key);
  std::vector<std::string> Result;
  const auto IsString = [](const auto &Item) { return Item.is_string(); };
  if (!Value || !Value->is_array() || Value->empty() ||
      !std::all_of(Value->begin(), Value->end(), IsString)) {
    this->reportError(Key, "a list of texts that is not empty");
    return Result;
  }
  for (const auto &Item : *Value)
    Result.push_back(Item.get<std::string>());
  return Result;
}

void JsonReader::reportUnknownMembers() {
  if (!this->Object.is_object())
    return;
  for (const auto &Item : this->Object.items()) {
    const std::string &Key = Item.key();
    if (std::find(this->ReadKeys.begin(), this->ReadKeys.end(), Key) ==
        this->ReadKeys.end())
      this->Problems.push_back(this->Path + "." + Key + ": unknown member");
  }
}

} // namespace rr
