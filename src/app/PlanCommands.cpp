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

std::string textOf(const json &Plan, const char *Key) {
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
    std::cout << "  " << textOf(Region, "region") << ": "
              << textOf(Region, "load_before") << " ("
              << textOf(Region, "capacity_before") << ") -> "
              << textOf(Region, "load_after") << " ("
              << textOf(Region, "capacity_after") << ")\n";
}

void printPlan(const json &Plan) {
  std::cout << "plan " << textOf(Plan, "id") << ": " << textOf(Plan, "state")
            << ", made from configuration " << textOf(Plan, "base_version")
            << "\n";
  printList(Plan, "changes", "changes");
  printList(Plan, "workspaces", "workspaces");
  printRegions(Plan);
  printList(Plan, "caps", "limits");
  printList(Plan, "steps", "steps");
  if (!textOf(Plan, "way_back").empty())
    std::cout << "way back: " << textOf(Plan, "way_back") << "\n";
  if (!textOf(Plan, "result").empty())
    std::cout << "result: " << textOf(Plan, "result") << "\n";
}

int print(const Arguments &Given, const std::optional<json> &Value) {
  if (!Value)
    return ExitFailure;
  if (isGiven(Given, "--json"))
    std::cout << Value->dump(2) << "\n";
  else if (Value->is_object() && Value->contains("plans"))
    for (const json &Plan : (*Value)["plans"])
      std::cout << textOf(Plan, "id") << "  " << textOf(Plan, "state") << "  "
                << textOf(Plan, "result") << "\n";
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
  return textOf(Plan["history"].back(), "reason");
}

} // namespace

int runPlan(const Arguments &Given) {
  const auto Intent = intentOf(Given);
  if (!Intent)
    return ExitFailure;
  return print(Given, callAdmin(Given, "POST", "/plans", Intent->dump()));
}

int runShow(const Arguments &Given) {
  const std::string Plan = optionText(Given, "PLAN");
  const std::string Path = Plan.empty() ? "/plans" : "/plans/" + Plan;
  return print(Given, callAdmin(Given, "GET", Path));
}

int runConfirm(const Arguments &Given) {
  const std::string Plan = optionText(Given, "PLAN");
  return print(Given, callAdmin(Given, "POST", "/plans/" + Plan + "/confirm"));
}

int runTakeBack(const Arguments &Given) {
  const std::string Plan = optionText(Given, "PLAN");
  return print(Given,
               callAdmin(Given, "POST", "/plans/" + Plan + "/take-back"));
}

int runWatch(const Arguments &Given) {
  double Seconds = DefaultWatchSeconds;
  if (Given.at("--for-s") && !optionNumber(Given, "--for-s", Seconds))
    return ExitWrongUsage;
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(Seconds);
  std::string LastLine;
  while (std::chrono::steady_clock::now() < End) {
    const auto Plan =
        callAdmin(Given, "GET", "/plans/" + optionText(Given, "PLAN"));
    if (!Plan)
      return ExitFailure;
    const std::string State = textOf(*Plan, "state");
    const std::string Line = State + ", step " + textOf(*Plan, "steps_done") +
                             ", share " + textOf(*Plan, "share") + " " +
                             lastReason(*Plan);
    if (Line != LastLine)
      std::cout << (isGiven(Given, "--json") ? Plan->dump() : Line)
                << std::endl;
    LastLine = Line;
    if (hasEnded(State)) {
      std::cout << textOf(*Plan, "result") << "\n";
      return State == "finished" || State == "taken_back" ? ExitSuccess
                                                          : ExitFailure;
    }
    std::this_thread::sleep_for(WatchInterval);
  }
  std::cerr << "the plan has not ended yet\n";
  return ExitFailure;
}

} // namespace rr
