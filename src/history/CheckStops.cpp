#include "history/Bounds.h"
#include "history/Checks.h"

#include <functional>

namespace rr::history {

namespace {

/// A planned stop from its begin to the end of the process.
struct PlannedStop {
  const InstanceChange *Begin = nullptr;
  /// Null while the process runs.
  const InstanceChange *End = nullptr;
};

std::vector<PlannedStop> plannedStops(const Timeline &Recorded) {
  std::vector<PlannedStop> Found;
  std::map<std::string, std::size_t> Running;
  for (const InstanceChange *Item : Recorded.all<InstanceChange>()) {
    const auto Open = Running.find(Item->Instance);
    if (Item->State == InstanceState::StopBegan) {
      if (Open == Running.end()) {
        Running[Item->Instance] = Found.size();
        Found.push_back({Item, nullptr});
      }
    } else if (Open != Running.end()) {
      Found[Open->second].End = Item;
      Running.erase(Open);
    }
  }
  return Found;
}

bool isCutBy(const PlannedStop &Stop, const CallerSent &Sent,
             const CallerAnswered &Answered) {
  if (Sent.EntryInstance != Stop.Begin->Instance || Answered.Whole ||
      Answered.Outcome == CallerOutcome::NotRun || Answered.At < Stop.Begin->At)
    return false;
  if (!Stop.End)
    return true;
  // Both are elements of the timeline, so their addresses tell their order,
  // also at the same time.
  const bool Killed = Stop.End->State == InstanceState::Killed &&
                      std::less<const void *>()(Stop.End, &Answered);
  return Sent.At <= Stop.End->At && !Killed;
}

} // namespace

std::vector<Violation> checkDrain(const Timeline &Recorded) {
  std::vector<Violation> Found;
  // The drain that holds, by server.
  std::map<std::string, const ServerDrain *> Drains;
  for (const Event &Item : Recorded.events()) {
    if (const auto *Drain = std::get_if<ServerDrain>(&Item)) {
      if (Drain->Draining)
        Drains.emplace(Drain->Server, Drain);
      else
        Drains.erase(Drain->Server);
    } else if (const auto *Began = std::get_if<ServerBegan>(&Item)) {
      const auto Drain = Drains.find(Began->Server);
      if (Drain != Drains.end() && Began->At > Drain->second->At + DrainBound)
        Found.push_back(
            {Promise::Drain,
             Began->At,
             "no new work after " + describe(Drain->second->At + DrainBound),
             "a request that began to run",
             {*Drain->second, *Began}});
    }
  }
  return Found;
}

std::vector<Violation> checkPlannedStop(const Timeline &Recorded) {
  std::vector<Violation> Found;
  for (const PlannedStop &Stop : plannedStops(Recorded))
    for (const auto &[Id, Trace] : Recorded.requests())
      for (const CallerAnswered *Answered : Trace.Answered)
        if (!Trace.Sent.empty() &&
            isCutBy(Stop, *Trace.Sent.front(), *Answered))
          Found.push_back({Promise::PlannedStop,
                           Answered->At,
                           "a whole answer or refusal from the instance",
                           "a cut connection",
                           {*Stop.Begin, *Trace.Sent.front(), *Answered}});
  return Found;
}

} // namespace rr::history
