#include "plans/IntentJson.h"

#include "model/JsonReader.h"

#include <algorithm>
#include <array>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::uint64_t MostSteps = 1000;
constexpr std::size_t HashCharacters = 64;

double share(JsonReader &Reader, const char *Key, double Least = 0) {
  const double Value = Reader.number(Key, Least);
  if (Value > 1)
    Reader.reportError(Key, "a share of 0 to 1");
  return Value;
}

WallTime deadline(JsonReader &Reader) {
  const std::string Text = Reader.textOr("deadline", "");
  const auto Value = parseWallTime(Text);
  if (!Value)
    Reader.reportError("deadline", "a time such as 2026-12-04T06:00:00Z");
  return Value.value_or(WallTime());
}

DeadlineAction atDeadline(JsonReader &Reader) {
  const std::string Text = Reader.textOr("at_deadline", "take_back");
  if (Text != "take_back" && Text != "stop")
    Reader.reportError("at_deadline", "take_back or stop");
  return Text == "stop" ? DeadlineAction::Stop : DeadlineAction::TakeBack;
}

std::string keyHash(JsonReader &Reader) {
  const std::string Value = Reader.textOr("key_hash", "");
  const auto IsDigit = [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
  };
  if (Value.size() != HashCharacters ||
      !std::all_of(Value.begin(), Value.end(), IsDigit))
    Reader.reportError("key_hash", "64 lower-case hexadecimal characters");
  return Value;
}

Intent readTakeOn(JsonReader &Reader) {
  return TakeOnWorkspace{
      Reader.text("workspace"), Reader.number("rate_per_second", 0),
      Reader.number("burst", 1), Reader.texts("entry_regions")};
}

Intent readMove(JsonReader &Reader) {
  MoveTraffic Result;
  Result.Workspace = Reader.text("workspace");
  Result.FromRegion = Reader.textOr("from_region", "");
  Result.ToRegion = Reader.text("to_region");
  Result.Share = share(Reader, "share");
  Result.Cap = share(Reader, "cap");
  const std::uint64_t Steps = Reader.countOr("steps", 1, 1);
  if (Steps > MostSteps)
    Reader.reportError("steps", "at most 1000");
  Result.Steps = static_cast<std::uint32_t>(std::min(Steps, MostSteps));
  Result.Deadline = deadline(Reader);
  Result.AtDeadline = atDeadline(Reader);
  Result.BackCap = Reader.numberOr("back_cap", 0.001,
                                   std::max(0.001, Result.Cap / Result.Steps));
  if (Result.Share > Result.Cap)
    Reader.reportError("share", "at most the cap");
  return Result;
}

Intent readDrain(JsonReader &Reader) {
  DrainServer Result;
  Result.Server = Reader.text("server");
  Result.Undo = Reader.flagOr("undo", false);
  Result.Longest = std::chrono::seconds(
      Reader.countOr("longest_s", 1, Result.Longest.count()));
  return Result;
}

Intent readRollout(JsonReader &Reader) {
  RollOutVersion Result;
  Result.Service = Reader.text("service");
  Result.Version = Reader.text("version");
  Result.Deadline = deadline(Reader);
  Result.AtDeadline = atDeadline(Reader);
  Result.Soak = std::chrono::seconds(Reader.countOr("soak_s", 1, 0));
  return Result;
}

Intent readIssue(JsonReader &Reader) {
  return IssueKey{Reader.text("workspace"), keyHash(Reader)};
}

Intent readWithdraw(JsonReader &Reader) { return WithdrawKey{keyHash(Reader)}; }

Intent readRate(JsonReader &Reader) {
  return SetRate{Reader.text("workspace"), Reader.number("rate_per_second", 0),
                 Reader.number("burst", 1)};
}

Intent readLost(JsonReader &Reader) {
  return DeclareLost{Reader.text("instance")};
}

Intent readDocument(JsonReader &Reader) {
  return LoadDocument{Reader.text("document")};
}

struct Kind {
  const char *Name;
  Intent (*Read)(JsonReader &);
};

// In the order of the alternatives of Intent.
constexpr std::array<Kind, std::variant_size_v<Intent>> Kinds{{
    {"take_on_workspace", readTakeOn},
    {"move_traffic", readMove},
    {"drain_server", readDrain},
    {"roll_out_version", readRollout},
    {"issue_key", readIssue},
    {"withdraw_key", readWithdraw},
    {"set_rate", readRate},
    {"declare_lost", readLost},
    {"load_document", readDocument},
}};

const char *textOf(DeadlineAction Action) {
  return Action == DeadlineAction::Stop ? "stop" : "take_back";
}

json toJson(const TakeOnWorkspace &Wish) {
  return {{"workspace", Wish.Workspace},
          {"rate_per_second", Wish.Rate},
          {"burst", Wish.Burst},
          {"entry_regions", Wish.EntryRegions}};
}
json toJson(const MoveTraffic &Wish) {
  return {{"workspace", Wish.Workspace},
          {"from_region", Wish.FromRegion},
          {"to_region", Wish.ToRegion},
          {"share", Wish.Share},
          {"cap", Wish.Cap},
          {"steps", Wish.Steps},
          {"deadline", formatWallTime(Wish.Deadline)},
          {"at_deadline", textOf(Wish.AtDeadline)},
          {"back_cap", Wish.BackCap}};
}
json toJson(const DrainServer &Wish) {
  return {{"server", Wish.Server},
          {"undo", Wish.Undo},
          {"longest_s", static_cast<std::uint64_t>(Wish.Longest.count())}};
}
json toJson(const RollOutVersion &Wish) {
  json Result = {{"service", Wish.Service},
                 {"version", Wish.Version},
                 {"deadline", formatWallTime(Wish.Deadline)},
                 {"at_deadline", textOf(Wish.AtDeadline)}};
  if (Wish.Soak.count() > 0)
    Result["soak_s"] = static_cast<std::uint64_t>(Wish.Soak.count());
  return Result;
}
json toJson(const IssueKey &Wish) {
  return {{"workspace", Wish.Workspace}, {"key_hash", Wish.KeyHash}};
}
json toJson(const WithdrawKey &Wish) { return {{"key_hash", Wish.KeyHash}}; }
json toJson(const SetRate &Wish) {
  return {{"workspace", Wish.Workspace},
          {"rate_per_second", Wish.Rate},
          {"burst", Wish.Burst}};
}
json toJson(const DeclareLost &Wish) { return {{"instance", Wish.Instance}}; }
json toJson(const LoadDocument &Wish) { return {{"document", Wish.Document}}; }

// A configuration document may come as an object or as its text.
json withDocumentAsText(const json &Value) {
  json Result = Value;
  if (Result.is_object() && Result.contains("document") &&
      Result["document"].is_object())
    Result["document"] = Result["document"].dump();
  return Result;
}

} // namespace

Outcome<Intent> readIntent(const json &Given,
                           std::vector<std::string> &Problems) {
  const json Value = withDocumentAsText(Given);
  JsonReader Reader(Value, "intent", Problems);
  const std::string Name = Reader.textOr("kind", "");
  const auto Found =
      std::find_if(Kinds.begin(), Kinds.end(),
                   [&](const Kind &Item) { return Name == Item.Name; });
  if (Found == Kinds.end()) {
    std::string Known;
    for (const Kind &Item : Kinds)
      Known += std::string(Known.empty() ? "" : ", ") + Item.Name;
    Reader.reportError("kind", "one of " + Known);
    return failure(Errc::Malformed);
  }
  Intent Result = Found->Read(Reader);
  Reader.reportUnknownMembers();
  if (!Problems.empty())
    return failure(Errc::Malformed);
  return Result;
}

json formatIntent(const Intent &Wish) {
  json Result = std::visit([](const auto &Item) { return toJson(Item); }, Wish);
  Result["kind"] = Kinds[Wish.index()].Name;
  return Result;
}

} // namespace rr
