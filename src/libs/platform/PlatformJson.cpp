#include "platform/PlatformJson.h"

namespace rr {

using nlohmann::json;

namespace {

bool hasText(const json &Object, const char *Key) {
  return Object.is_object() && Object.contains(Key) && Object[Key].is_string();
}

bool hasCount(const json &Object, const char *Key) {
  return Object.is_object() && Object.contains(Key) &&
         Object[Key].is_number_unsigned();
}

const char *actionName(RowWrite::Kind Action) {
  switch (Action) {
  case RowWrite::Kind::Put:
    return "put";
  case RowWrite::Kind::Erase:
    return "erase";
  case RowWrite::Kind::CheckOnly:
    return "check";
  }
  return "check";
}

Outcome<RowWrite::Kind> actionFromName(const std::string &Name) {
  for (const auto Action :
       {RowWrite::Kind::Put, RowWrite::Kind::Erase, RowWrite::Kind::CheckOnly})
    if (Name == actionName(Action))
      return Action;
  return failure(Errc::Malformed);
}

json toJson(const RowWrite &Item) {
  json Result = {{"action", actionName(Item.Action)}, {"key", Item.Key}};
  if (Item.Action == RowWrite::Kind::Put)
    Result["value"] = Item.Value;
  if (Item.ExpectedVersion)
    Result["expected"] = *Item.ExpectedVersion;
  return Result;
}

Outcome<RowWrite> writeFromJson(const json &Text) {
  if (!hasText(Text, "action") || !hasText(Text, "key"))
    return failure(Errc::Malformed);
  const auto Action = actionFromName(Text["action"].get<std::string>());
  if (!Action)
    return failure(Errc::Malformed);
  RowWrite Result;
  Result.Action = *Action;
  Result.Key = Text["key"].get<std::string>();
  if (Result.Action == RowWrite::Kind::Put && !hasText(Text, "value"))
    return failure(Errc::Malformed);
  if (hasText(Text, "value"))
    Result.Value = Text["value"].get<std::string>();
  if (hasCount(Text, "expected"))
    Result.ExpectedVersion = Text["expected"].get<std::uint64_t>();
  return Result;
}

} // namespace

json toJson(const Row &Item) {
  return {{"key", Item.Key}, {"value", Item.Value}, {"version", Item.Version}};
}

json toJson(const Transaction &Item) {
  json Writes = json::array();
  for (const RowWrite &Write : Item.Writes)
    Writes.push_back(toJson(Write));
  return {{"writes", Writes}};
}

json toJson(const InstanceRecord &Item) {
  return {{"name", Item.Name},
          {"zone", Item.Zone},
          {"caller_address", Item.CallerAddress},
          {"peer_address", Item.PeerAddress},
          {"leaving", Item.Leaving}};
}

Outcome<Row> rowFromJson(const json &Text) {
  if (!hasText(Text, "key") || !hasText(Text, "value") ||
      !hasCount(Text, "version"))
    return failure(Errc::Malformed);
  return Row{Text["key"].get<std::string>(), Text["value"].get<std::string>(),
             Text["version"].get<std::uint64_t>()};
}

Outcome<Transaction> transactionFromJson(const json &Text) {
  if (!Text.is_object() || !Text.contains("writes") ||
      !Text["writes"].is_array())
    return failure(Errc::Malformed);
  Transaction Result;
  for (const json &Item : Text["writes"]) {
    auto Write = writeFromJson(Item);
    if (!Write)
      return failure(Errc::Malformed);
    Result.Writes.push_back(std::move(*Write));
  }
  return Result;
}

Outcome<InstanceRecord> instanceFromJson(const json &Text) {
  for (const char *Key : {"name", "zone", "caller_address", "peer_address"})
    if (!hasText(Text, Key))
      return failure(Errc::Malformed);
  InstanceRecord Result;
  Result.Name = Text["name"].get<std::string>();
  Result.Zone = Text["zone"].get<std::string>();
  Result.CallerAddress = Text["caller_address"].get<std::string>();
  Result.PeerAddress = Text["peer_address"].get<std::string>();
  Result.Leaving = Text.contains("leaving") && Text["leaving"] == true;
  return Result;
}

Outcome<json> parseJson(const std::string &Text) {
  json Result = json::parse(Text, nullptr, false);
  if (Result.is_discarded())
    return failure(Errc::Malformed);
  return Result;
}

std::string formatJson(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace rr
