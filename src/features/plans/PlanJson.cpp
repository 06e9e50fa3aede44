#include "plans/PlanJson.h"

#include "plans/IntentJson.h"

#include <stdexcept>

namespace rr {

namespace {

using nlohmann::json;

// Times of the row are whole milliseconds since 1970.
std::int64_t toCount(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

WallTime toTime(std::int64_t Count) {
  return WallTime(std::chrono::milliseconds(Count));
}

json historyOf(const Plan &Current) {
  json Result = json::array();
  for (const StateChange &Item : Current.History)
    Result.push_back({{"state", nameOf(Item.State)},
                      {"at_ms", toCount(Item.At)},
                      {"at", formatWallTime(Item.At)},
                      {"by", Item.By},
                      {"reason", Item.Reason}});
  return Result;
}

json stepsOf(const Plan &Current) {
  json Result = json::array();
  for (const PlanStep &Item : Current.Steps)
    Result.push_back({{"after_ms", Item.After.count()},
                      {"share", Item.Share},
                      {"text", Item.Text}});
  return Result;
}

json regionsOf(const Plan &Current) {
  json Result = json::array();
  for (const RegionForecast &Item : Current.Regions)
    Result.push_back({{"region", Item.Region},
                      {"load_before", Item.LoadBefore},
                      {"load_after", Item.LoadAfter},
                      {"capacity_before", Item.CapacityBefore},
                      {"capacity_after", Item.CapacityAfter}});
  return Result;
}

PlanState stateFrom(const json &Value) {
  const auto State = planStateOf(Value.get<std::string>());
  if (!State)
    throw std::invalid_argument("unknown plan state");
  return *State;
}

void readLists(const json &Value, Plan &Result) {
  for (const json &Item : Value.at("history"))
    Result.History.push_back({stateFrom(Item.at("state")),
                              toTime(Item.at("at_ms")), Item.at("by"),
                              Item.at("reason")});
  for (const json &Item : Value.at("steps"))
    Result.Steps.push_back(
        {std::chrono::milliseconds(Item.at("after_ms").get<std::int64_t>()),
         Item.at("share"), Item.at("text")});
  for (const json &Item : Value.at("regions"))
    Result.Regions.push_back({Item.at("region"), Item.at("load_before"),
                              Item.at("load_after"), Item.at("capacity_before"),
                              Item.at("capacity_after")});
}

Plan readPlan(const json &Value) {
  Plan Result;
  std::vector<std::string> Problems;
  const auto Wish = readIntent(Value.at("intent"), Problems);
  if (!Wish)
    throw std::invalid_argument("unreadable intent");
  Result.Wish = *Wish;
  Result.Id = Value.at("id");
  Result.BaseVersion = Value.at("base_version");
  Value.at("changes").get_to(Result.Changes);
  Value.at("workspaces").get_to(Result.Workspaces);
  Value.at("caps").get_to(Result.Caps);
  Value.at("targets").get_to(Result.Targets);
  Result.WayBack = Value.at("way_back");
  Result.State = stateFrom(Value.at("state"));
  Result.StepsDone = Value.at("steps_done");
  Result.StartShare = Value.at("start_share");
  Result.Share = Value.at("share");
  Result.TakingBack = Value.at("taking_back");
  Result.BackAtOnce = Value.at("back_at_once");
  Result.BackReason = Value.at("back_reason");
  Result.LastStepAt = toTime(Value.at("last_step_ms"));
  const json &Applied = Value.at("applied");
  Result.Applied = {Applied.at("config"), Applied.at("keys"),
                    Applied.at("members")};
  Result.Result = Value.at("result");
  readLists(Value, Result);
  return Result;
}

} // namespace

json formatPlan(const Plan &Current) {
  return {{"id", Current.Id},
          {"intent", formatIntent(Current.Wish)},
          {"base_version", Current.BaseVersion},
          {"changes", Current.Changes},
          {"workspaces", Current.Workspaces},
          {"regions", regionsOf(Current)},
          {"caps", Current.Caps},
          {"steps", stepsOf(Current)},
          {"way_back", Current.WayBack},
          {"targets", Current.Targets},
          {"state", nameOf(Current.State)},
          {"history", historyOf(Current)},
          {"steps_done", Current.StepsDone},
          {"start_share", Current.StartShare},
          {"share", Current.Share},
          {"taking_back", Current.TakingBack},
          {"back_at_once", Current.BackAtOnce},
          {"back_reason", Current.BackReason},
          {"last_step_ms", toCount(Current.LastStepAt)},
          {"applied",
           {{"config", Current.Applied.Config},
            {"keys", Current.Applied.Keys},
            {"members", Current.Applied.Members}}},
          {"result", Current.Result}};
}

Outcome<Plan> parsePlan(const std::string &Text) {
  const json Value = json::parse(Text, nullptr, false);
  if (!Value.is_object())
    return failure(Errc::Malformed);
  try {
    return readPlan(Value);
  } catch (const std::exception &) {
    return failure(Errc::Malformed);
  }
}

} // namespace rr
