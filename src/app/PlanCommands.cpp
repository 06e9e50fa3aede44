#include "app/PlanCommands.h"

#include "app/AdminCall.h"
#include "app/ExitCode.h"
#include "app/IntentCommands.h"

#include <chrono>
#include <iostream>
#include <set>
#include <thread>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds WatchInterval{1};
constexpr double DefaultWatchSeconds = 600;

std::string fieldText(const json &Plan, const char *Key) {
  if (!Plan.is_object() || !Plan.contains(Key))
    return {};
  return Plan[Key].is_string() ? Plan[Key].get<std::string>()
                               : Plan[Key].dump();
}

void printList(const json &Plan, const char *Key, const char *Title) {
  if (!Plan.contains(Key) || !Plan[Key].is_array() || Plan[Key].empty())
    return;
  std::cout << Title << "\n";
  for (const json &Item : Plan[Key]) {
    std::string Line = Item.is_string() ? Item.get<std::string>() : Item.dump();
    if (Item.is_object() && Item.contains("text"))
      Line = Item["text"].get<std::string>();
    std::cout << "  " << Line << "\n";
  }
}

void printRegions(const json &Plan) {
  if (!Plan.contains("regions") || Plan["regions"].empty())
    return;
  std::cout << "expected load by region, requests/s (of capacity)\n";
  for (const json &Region : Plan["regions"])
    std::cout << "  " << fieldText(Region, "region") << ": "
              << fieldText(Region, "load_before") << " ("
              << fieldText(Region, "capacity_before") << ") -> "
              << fieldText(Region, "load_after") << " ("
              << fieldText(Region, "capacity_after") << ")\n";
}

void printPlan(const json &Plan) {
  std::cout << "plan " << fieldText(Plan, "id") << ": "
            << fieldText(Plan, "state") << ", based on configuration "
            << fieldText(Plan, "base_version") << "\n";
  printList(Plan, "changes", "changes");
  printList(Plan, "workspaces", "workspaces");
  printRegions(Plan);
  printList(Plan, "caps", "limits");
  printList(Plan, "steps", "steps");
  if (!fieldText(Plan, "way_back").empty())
    std::cout << "rollback: " << fieldText(Plan, "way_back") << "\n";
  if (!fieldText(Plan, "result").empty())
    std::cout << "result: " << fieldText(Plan, "result") << "\n";
}

int printResult(const Arguments &Args, const std::optional<json> &Value) {
  if (!Value)
    return ExitFailure;
  if (isGiven(Args, "--json"))
    std::cout << Value->dump(2) << "\n";
  else if (Value->is_object() && Value->contains("plans"))
    for (const json &Plan : (*Value)["plans"])
      std::cout << fieldText(Plan, "id") << "  " << fieldText(Plan, "state")
                << "  " << fieldText(Plan, "result") << "\n";
  else
    printPlan(*Value);
  return ExitSuccess;
}

bool hasEnded(const std::string &State) {
  static const std::set<std::string> Ended = {"finished", "taken_back",
                                              "stopped", "refused"};
  return Ended.count(State) > 0;
}

std::string lastReason(const json &Plan) {
  if (!Plan.contains("history") || Plan["history"].empty())
    return {};
  return fieldText(Plan["history"].back(), "reason");
}

} // namespace

int runPlan(const Arguments &Args) {
  const auto Intent = parseIntent(Args);
  if (!Intent)
    return ExitFailure;
  return printResult(Args, callAdmin(Args, "POST", "/plans", Intent->dump()));
}

int runShow(const Arguments &Args) {
  const std::string Plan = optionText(Args, "PLAN");
  const std::string Path = Plan.empty() ? "/plans" : "/plans/" + Plan;
  return printResult(Args, callAdmin(Args, "GET", Path));
}

int runConfirm(const Arguments &Args) {
  const std::string Plan = optionText(Args, "PLAN");
  return printResult(Args,
                     callAdmin(Args, "POST", "/plans/" + Plan + "/confirm"));
}

int runTakeBack(const Arguments &Args) {
  const std::string Plan = optionText(Args, "PLAN");
  return printResult(Args,
                     callAdmin(Args, "POST", "/plans/" + Plan + "/take-back"));
}

int runWatch(const Arguments &Args) {
  double Seconds = DefaultWatchSeconds;
  if (Args.at("--for-s") && !optionNumber(Args, "--for-s", Seconds))
    return ExitWrongUsage;
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(Seconds);
  std::string LastLine;
  while (std::chrono::steady_clock::now() < End) {
    const auto Plan =
        callAdmin(Args, "GET", "/plans/" + optionText(Args, "PLAN"));
    if (!Plan)
      return ExitFailure;
    const std::string State = fieldText(*Plan, "state");
    const std::string Line =
        State + ", step " + fieldText(*Plan, "steps_done") + ", share " +
        fieldText(*Plan, "share") + " " + lastReason(*Plan);
    if (Line != LastLine)
      std::cout << (isGiven(Args, "--json") ? Plan->dump() : Line) << std::endl;
    LastLine = Line;
    if (hasEnded(State)) {
      std::cout << fieldText(*Plan, "result") << "\n";
      return State == "finished" || State == "taken_back" ? ExitSuccess
                                                          : ExitFailure;
    }
    std::this_thread::sleep_for(WatchInterval);
  }
  std::cerr << "the plan did not end within the watch time\n";
  return ExitFailure;
}

} // namespace rr
