#include "membership/MessageReader.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds MostAge = std::chrono::hours(24);

const json EmptyObject = json::object();
const json EmptyArray = json::array();

} // namespace

MessageReader::MessageReader(const json &Object)
    : Object(&Object), Good(&this->OwnGood) {
  if (!Object.is_object())
    this->fail();
}

MessageReader::MessageReader(const json &Object, const MessageReader &Outer)
    : Object(&Object), Good(Outer.Good) {
  if (!Object.is_object())
    this->fail();
}

bool MessageReader::has(const char *Key) const {
  return this->Object->is_object() && this->Object->contains(Key);
}

std::vector<std::string> MessageReader::keys(std::size_t Most) {
  std::vector<std::string> Result;
  if (!this->Object->is_object() || this->Object->size() > Most) {
    this->fail();
    return Result;
  }
  for (const auto &Item : this->Object->items()) {
    // The other functions take keys as C strings.
    if (Item.key().size() > MostNameBytes ||
        Item.key().find('\0') != std::string::npos)
      this->fail();
    else
      Result.push_back(Item.key());
  }
  return Result;
}

const json *MessageReader::member(const char *Key) {
  if (this->has(Key))
    return &*this->Object->find(Key);
  this->fail();
  return nullptr;
}

std::string MessageReader::text(const char *Key, std::size_t MostBytes) {
  const json *Value = this->member(Key);
  if (Value && Value->is_string() &&
      Value->get_ref<const std::string &>().size() <= MostBytes)
    return Value->get<std::string>();
  this->fail();
  return {};
}

std::string MessageReader::name(const char *Key) {
  std::string Result = this->text(Key);
  if (Result.empty())
    this->fail();
  return Result;
}

std::uint64_t MessageReader::count(const char *Key) {
  const json *Value = this->member(Key);
  // Numbers built in code are signed, those that were parsed are not.
  if (Value && Value->is_number_integer() &&
      (Value->is_number_unsigned() || Value->get<std::int64_t>() >= 0))
    return Value->get<std::uint64_t>();
  this->fail();
  return 0;
}

bool MessageReader::flag(const char *Key) {
  const json *Value = this->member(Key);
  if (Value && Value->is_boolean())
    return Value->get<bool>();
  this->fail();
  return false;
}

Clock::duration MessageReader::age(const char *Key) {
  const std::uint64_t Value = this->count(Key);
  if (Value <= static_cast<std::uint64_t>(MostAge.count()))
    return std::chrono::milliseconds(Value);
  this->fail();
  return MostAge;
}

MessageReader MessageReader::object(const char *Key) {
  const json *Value = this->member(Key);
  return MessageReader(Value ? *Value : EmptyObject, *this);
}

const json &MessageReader::array(const char *Key, std::size_t Most) {
  const json *Value = this->member(Key);
  if (Value && Value->is_array() && Value->size() <= Most)
    return *Value;
  this->fail();
  return EmptyArray;
}

std::vector<std::string> MessageReader::names(const char *Key,
                                              std::size_t Most) {
  std::vector<std::string> Result;
  for (const json &Item : this->array(Key, Most)) {
    if (Item.is_string() && !Item.get_ref<const std::string &>().empty() &&
        Item.get_ref<const std::string &>().size() <= MostNameBytes)
      Result.push_back(Item.get<std::string>());
    else
      this->fail();
  }
  return Result;
}

std::map<std::string, double> MessageReader::numbers(const char *Key,
                                                     std::size_t Most) {
  std::map<std::string, double> Result;
  const json *Value = this->member(Key);
  if (!Value || !Value->is_object() || Value->size() > Most) {
    this->fail();
    return Result;
  }
  for (const auto &Item : Value->items()) {
    const bool IsNumber = Item.value().is_number();
    const double Number = IsNumber ? Item.value().get<double>() : -1;
    if (!std::isfinite(Number) || Number < 0 ||
        Item.key().size() > MostNameBytes)
      this->fail();
    Result[Item.key()] = Number;
  }
  return Result;
}

std::uint64_t encodeAge(Clock::duration Age) {
  const Clock::duration Bounded =
      std::clamp<Clock::duration>(Age, Clock::duration::zero(), MostAge);
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Bounded).count());
}

} // namespace rr
