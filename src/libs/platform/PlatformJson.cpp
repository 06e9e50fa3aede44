#include "platform/PlatformJson.h"

namespace rr {

using nlohmann::json;

namespace {

bool hasString(const json &Object, const char *Key) {
  return Object.is_object() && Object.contains(Key) && Object[Key].is_string();
}

bool hasUnsigned(const json &Object, const char *Key) {
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

Outcome<RowWrite> writeFromJson(const json &Document) {
  if (!hasString(Document, "action") || !hasString(Document, "key"))
    return failure(Errc::Malformed);
  const auto Action = actionFromName(Document["action"].get<std::string>());
  if (!Action)
    return failure(Errc::Malformed);
  RowWrite Result;
  Result.Action = *Action;
  Result.Key = Document["key"].get<std::string>();
  if (Result.Action == RowWrite::Kind::Put && !hasString(Document, "value"))
    return failure(Errc::Malformed);
  if (hasString(Document, "value"))
    Result.Value = Document["value"].get<std::string>();
  if (hasUnsigned(Document, "expected"))
    Result.ExpectedVersion = Document["expected"].get<std::uint64_t>();
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

Outcome<Row> rowFromJson(const json &Document) {
  if (!hasString(Document, "key") || !hasString(Document, "value") ||
      !hasUnsigned(Document, "version"))
    return failure(Errc::Malformed);
  return Row{Document["key"].get<std::string>(),
             Document["value"].get<std::string>(),
             Document["version"].get<std::uint64_t>()};
}

Outcome<Transaction> transactionFromJson(const json &Document) {
  if (!Document.is_object() || !Document.contains("writes") ||
      !Document["writes"].is_array())
    return failure(Errc::Malformed);
  Transaction Result;
  for (const json &Item : Document["writes"]) {
    auto Write = writeFromJson(Item);
    if (!Write)
      return failure(Errc::Malformed);
    Result.Writes.push_back(std::move(*Write));
  }
  return Result;
}

Outcome<InstanceRecord> instanceFromJson(const json &Document) {
  for (const char *Key : {"name", "zone", "caller_address", "peer_address"})
    if (!hasString(Document, Key))
      return failure(Errc::Malformed);
  InstanceRecord Result;
  Result.Name = Document["name"].get<std::string>();
  Result.Zone = Document["zone"].get<std::string>();
  Result.CallerAddress = Document["caller_address"].get<std::string>();
  Result.PeerAddress = Document["peer_address"].get<std::string>();
  Result.Leaving = Document.contains("leaving") && Document["leaving"] == true;
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
