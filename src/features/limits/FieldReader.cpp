#include "limits/FieldReader.h"

namespace rr {

namespace {

constexpr std::size_t MaxTextBytes = 256;
constexpr std::size_t MaxListItems = 16'384;

const nlohmann::json Null;
const nlohmann::json EmptyList = nlohmann::json::array();

} // namespace

FieldReader::FieldReader(const nlohmann::json &Object)
    : Object(Object), WellFormed(Object.is_object()) {}

const nlohmann::json &FieldReader::member(const char *Key) {
  ++this->ReadCount;
  if (!this->Object.is_object())
    return Null;
  const auto Found = this->Object.find(Key);
  return Found == this->Object.end() ? Null : *Found;
}

std::string FieldReader::text(const char *Key) {
  const nlohmann::json &Value = this->member(Key);
  if (Value.is_string()) {
    const auto &Text = Value.get_ref<const std::string &>();
    if (!Text.empty() && Text.size() <= MaxTextBytes)
      return Text;
  }
  this->fail();
  return {};
}

std::uint64_t FieldReader::count(const char *Key) {
  const nlohmann::json &Value = this->member(Key);
  if (Value.is_number_unsigned())
    return Value.get<std::uint64_t>();
  this->fail();
  return 0;
}

bool FieldReader::flag(const char *Key) {
  const nlohmann::json &Value = this->member(Key);
  if (Value.is_boolean())
    return Value.get<bool>();
  this->fail();
  return false;
}

MicroRequests FieldReader::amount(const char *Key) {
  const std::uint64_t Value = this->count(Key);
  if (Value <= std::uint64_t(MaxAmount))
    return MicroRequests(Value);
  this->fail();
  return 0;
}

ShareHolder FieldReader::holder(const char *Key) {
  FieldReader Inner(this->member(Key));
  ShareHolder Result = {Inner.text("instance"), Inner.count("incarnation")};
  this->WellFormed = this->WellFormed && Inner.isComplete();
  return Result;
}

ShareAmount FieldReader::shareAmount(const char *Key) {
  FieldReader Inner(this->member(Key));
  const ShareAmount Result = {Inner.amount("rate"), Inner.amount("burst"),
                              Inner.amount("tokens")};
  this->WellFormed =
      this->WellFormed && Inner.isComplete() && Result.Tokens <= Result.Burst;
  return Result;
}

const nlohmann::json &FieldReader::list(const char *Key) {
  const nlohmann::json &Value = this->member(Key);
  if (Value.is_array() && Value.size() <= MaxListItems)
    return Value;
  this->fail();
  return EmptyList;
}

bool FieldReader::isComplete() const {
  return this->WellFormed && this->Object.size() == this->ReadCount;
}

} // namespace rr
