#include "history/Checks.h"
#include "history/Effect.h"
#include "history/RateWindow.h"

#include <algorithm>
#include <cstdio>

namespace rr::history {

namespace {

/// Time in which the limits that may have effect stay the same.
struct Phase {
  Clock::time_point Begin;
  Clock::time_point End;
  double Rate = 0;
  double Burst = 0;
};

std::vector<Phase>
phasesOf(const std::vector<const WorkspaceLimits *> &Settings) {
  std::vector<Effect<WorkspaceLimits>> Effects = effectsOf(Settings);
  Effects.front().Begin = Clock::time_point::min();
  std::vector<Clock::time_point> Edges;
  for (const auto &Item : Effects) {
    Edges.push_back(Item.Begin);
    Edges.push_back(Item.End);
  }
  std::ranges::sort(Edges);
  Edges.erase(std::unique(Edges.begin(), Edges.end()), Edges.end());
  std::vector<Phase> Phases;
  for (std::size_t I = 0; I + 1 < Edges.size(); ++I) {
    Phase Next{Edges[I], Edges[I + 1]};
    for (const auto &Item : Effects)
      if (Item.covers(Next.Begin)) {
        Next.Rate = std::max(Next.Rate, Item.Setting->Rate);
        Next.Burst = std::max(Next.Burst, Item.Setting->Burst);
      }
    Phases.push_back(Next);
  }
  return Phases;
}

/// Admissions of each workspace. A request counts once, however often it ran.
std::map<std::string, std::vector<Admission>>
admissionsOf(const Timeline &Recorded) {
  std::map<std::string, std::vector<Admission>> Found;
  for (const auto &[Id, Trace] : Recorded.requests()) {
    if (Trace.Sent.empty() || Trace.Sent.front()->OpenRoute)
      continue;
    const CallerSent &Sent = *Trace.Sent.front();
    auto Latest = Clock::time_point::max();
    if (!Trace.Began.empty())
      Latest = Trace.Began.front()->At;
    // A recorded outcome is answered without a run.
    for (const CallerAnswered *Answered : Trace.Answered)
      if (Answered->Outcome == CallerOutcome::Answered)
        Latest = std::min(Latest, Answered->At);
    if (Latest != Clock::time_point::max())
      Found[Sent.Workspace].push_back({Sent.At, std::max(Sent.At, Latest)});
  }
  return Found;
}

std::string number(double Value) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof Buffer, "%.3f", Value);
  return Buffer;
}

Violation violationOf(const Timeline &Recorded, const RateWindow &Window,
                      const WorkspaceLimits &Limits) {
  Violation Broken{Promise::WorkspaceRate,
                   Window.End,
                   "at most " + number(Window.Allowed) +
                       " requests of workspace " + Limits.Workspace + " from " +
                       describe(Window.Begin) + " to " + describe(Window.End),
                   std::to_string(Window.Admitted),
                   {Limits}};
  // Only the requests at both ends of the window; all would be too many.
  bool HasFirst = false;
  bool HasLast = false;
  for (const Event &Item : Recorded.events()) {
    const auto *Sent = std::get_if<CallerSent>(&Item);
    const auto *Began = std::get_if<ServerBegan>(&Item);
    const bool First = !HasFirst && Sent && Sent->At == Window.Begin &&
                       Sent->Workspace == Limits.Workspace;
    const bool Last = !HasLast && Began && Began->At == Window.End &&
                      Began->WorkspaceSeen == Limits.Workspace;
    HasFirst = HasFirst || First;
    HasLast = HasLast || Last;
    if (First || Last)
      Broken.Events.push_back(Item);
  }
  return Broken;
}

} // namespace

std::vector<Violation> checkWorkspaceRate(const Timeline &Recorded) {
  std::map<std::string, std::vector<const WorkspaceLimits *>> Limits;
  for (const WorkspaceLimits *Item : Recorded.all<WorkspaceLimits>())
    Limits[Item->Workspace].push_back(Item);

  std::vector<Violation> Found;
  for (const auto &[Workspace, Admissions] : admissionsOf(Recorded)) {
    const auto Settings = Limits.find(Workspace);
    if (Settings == Limits.end()) {
      Found.push_back({Promise::WorkspaceRate,
                       Admissions.front().Latest,
                       "recorded limits of workspace \"" + Workspace + "\"",
                       "none",
                       {}});
      continue;
    }
    RateBudget Budget;
    double Burst = 0;
    const std::vector<Phase> Phases = phasesOf(Settings->second);
    for (const Phase &Item : Phases) {
      // The first phase has no begin; its rate holds for all time before.
      Budget.add(std::max(Item.Begin, Settings->second.front()->At), Item.Rate);
      Burst = std::max(Burst, Item.Burst);
    }
    // Windows over several phases may use the largest burst of them all;
    // windows inside one phase only the burst of that phase.
    if (const auto Window = findExcess(Admissions, Budget, Burst)) {
      Found.push_back(
          violationOf(Recorded, *Window, *Settings->second.front()));
      continue;
    }
    for (const Phase &Item : Phases) {
      std::vector<Admission> Inside;
      std::ranges::copy_if(Admissions, std::back_inserter(Inside),
                           [&Item](const Admission &Each) {
                             return Item.Begin <= Each.Earliest &&
                                    Each.Latest < Item.End;
                           });
      if (const auto Window = findExcess(Inside, Budget, Item.Burst))
        Found.push_back(
            violationOf(Recorded, *Window, *Settings->second.front()));
    }
  }
  return Found;
}

} // namespace rr::history
