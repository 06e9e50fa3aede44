#include "history/Mutation.h"

#include "history/HistoryEdit.h"

#include <algorithm>

namespace rr::history {

using namespace std::chrono_literals;

namespace {

using Time = Clock::time_point;
using Edit = std::function<bool(History &, std::uint32_t)>;

/// Changes one event that fits.
template <typename T>
Edit change(std::function<bool(const T &)> Fits, std::function<void(T &)> How) {
  return [=](History &Target, std::uint32_t Choice) {
    T *Item = pick<T>(Target, Choice, Fits);
    if (Item)
      How(*Item);
    return Item != nullptr;
  };
}

bool isAnswered(const CallerAnswered &Item) {
  return Item.Outcome == CallerOutcome::Answered;
}
bool isKeyed(const ServerBegan &Item) { return !Item.WorkspaceSeen.empty(); }

/// Ten requests under a cap of one fifth, two or three of them moved.
Edit addMoved(bool Rollout, std::size_t SecondMove, std::size_t ThirdMove) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    if (Rollout)
      Target.record(RolloutStage{At, At, "stock", "v9", 0.2});
    else
      Target.record(ShiftCap{At, At, "p9", "w1", "east", "west", 0.2});
    for (std::size_t I = 1; I <= 10; ++I) {
      const bool Moved = I == 5 || I == SecondMove || I == ThirdMove;
      addRun(Target, At + I * 1min, "w1", Moved && !Rollout ? "west" : "east",
             Moved && Rollout ? "v9" : "v1");
    }
    return true;
  };
}

/// A move at \p Since after a cap of 1 became 0, 10 s before that is in force.
Edit addLoweredCap(Clock::duration Since) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    Target.record(ShiftCap{At, At, "p9", "w1", "east", "west", 1});
    Target.record(ShiftCap{At + 1min, At + 70s, "p9", "w1", "east", "west", 0});
    addRun(Target, At + 1min + Since, "w1", "west");
    return true;
  };
}

/// A move after a raise from 0 to a half, with one other request that was sent
/// before the raise and takes \p Length; the raise comes 1 s after it.
Edit addRaisedCap(Clock::duration Length) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    Target.record(ShiftCap{At, At, "p9", "w1", "east", "west", 0});
    addRun(Target, At, "w1", "east", "v1", Length);
    Target.record(ShiftCap{At + 1s, At + 1s, "p9", "w1", "east", "west", 0.5});
    addRun(Target, At + 2s, "w1", "west");
    return true;
  };
}

/// Requests that run together in a region with \p Slots, one more or none.
Edit addLoad(unsigned More) {
  return [=](History &Target, std::uint32_t) {
    const auto *Limit = pick<RegionCapacity>(
        Target, 0, [](const auto &Item) { return Item.Region == "east"; });
    const Time At = after(Target);
    const unsigned Count = Limit->Slots + More;
    for (unsigned I = 1; I <= Count; ++I)
      addRun(Target, At + I * 1ms, "", "east", "v1", 1s, I);
    return true;
  };
}

Edit addCapacityLoss(Clock::duration Since) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    Target.record(RegionCapacity{At, "east", "stock", 1});
    addRun(Target, At + Since, "", "east", "v1", 1s, 2);
    return true;
  };
}

/// A burst at one moment.
Edit addBurst(unsigned More) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    Target.record(WorkspaceLimits{At, At, "w1", 1, 5});
    for (unsigned I = 0; I < 5 + More; ++I)
      addRun(Target, At + 1min, "w1", "east");
    return true;
  };
}

/// The whole burst, then a lower burst, which counts only for what follows.
Edit addLoweredBurst(unsigned More) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    Target.record(WorkspaceLimits{At, At, "w1", 1, 5});
    for (unsigned I = 0; I < 5 + More; ++I)
      addRun(Target, At + 1min, "w1", "east");
    const Time Lower = At + 1min + 500ms;
    Target.record(WorkspaceLimits{Lower, Lower, "w1", 1, 1});
    return true;
  };
}

/// Sets the cause of a ban so long before the last run that it concerns.
Edit banBeforeLast(
    std::function<Event(const ServerBegan &, Time)> Cause,
    std::function<bool(const ServerBegan &)> Fits,
    std::function<bool(const ServerBegan &, const ServerBegan &)> Same,
    Clock::duration Before) {
  return [=](History &Target, std::uint32_t Choice) {
    const auto *Last = pick<ServerBegan>(Target, Choice, Fits);
    if (!Last)
      return false;
    for (const Event &Item : Target.Events)
      if (const auto *Run = std::get_if<ServerBegan>(&Item);
          Run && Same(*Run, *Last) && Run->At >= Last->At)
        Last = Run;
    Target.record(Cause(*Last, Last->At - Before));
    return true;
  };
}

Edit drainBefore(Clock::duration Before) {
  return banBeforeLast(
      [](const auto &Run, Time At) {
        return ServerDrain{At, Run.Server};
      },
      [](const auto &Run) { return Run.Server != "east-s1"; },
      [](const auto &A, const auto &B) { return A.Server == B.Server; },
      Before);
}

Edit faultBefore(Clock::duration Before) {
  return banBeforeLast(
      [](const auto &, Time At) {
        return VersionFaulty{At, "stock", "v1"};
      },
      [](const auto &Run) { return Run.Version == "v1"; },
      [](const auto &A, const auto &B) { return A.Version == B.Version; },
      Before);
}

/// A request that is sent, begins and is answered so long after the withdrawal
/// of its key. Without a begin, a recorded outcome answers it.
Edit addWithdrawn(Clock::duration Sent, std::optional<Clock::duration> Began,
                  Clock::duration Answered) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    const std::size_t First = Target.Events.size();
    const std::string Key = addRun(Target, At + Sent, "w0", "east").KeyId;
    std::get<ServerBegan>(Target.Events[First + 1]).At =
        At + Began.value_or(Sent);
    std::get<ServerEnded>(Target.Events[First + 2]).At = At + Answered;
    std::get<CallerAnswered>(Target.Events[First + 3]).At = At + Answered;
    if (!Began)
      Target.Events.erase(Target.Events.end() - 3, Target.Events.end() - 1);
    Target.record(KeyWithdrawn{At, Key});
    return true;
  };
}

/// Cuts an answer 1 ms after its entry began to stop.
Edit cutAnswer(bool Killed) {
  return [=](History &Target, std::uint32_t Choice) {
    auto *Cut = pick<CallerAnswered>(Target, Choice, isAnswered);
    if (!Cut)
      return false;
    Cut->Outcome = CallerOutcome::Unknown;
    Cut->Whole = false;
    const Time At = Cut->At;
    const std::string Entry =
        find<CallerSent>(Target, Cut->RequestId)->EntryInstance;
    Target.record(InstanceChange{At - 2us, Entry, InstanceState::StopBegan});
    if (Killed)
      Target.record(InstanceChange{At - 1us, Entry, InstanceState::Killed});
    return true;
  };
}

Edit repeatRun(bool Idempotent) {
  return [=](History &Target, std::uint32_t Choice) {
    const auto *Run =
        pick<ServerBegan>(Target, Choice, [&](const ServerBegan &Item) {
          return find<CallerSent>(Target, Item.RequestId)->Idempotent ==
                 Idempotent;
        });
    if (!Run)
      return false;
    const auto Place =
        std::ranges::find_if(Target.Events, [Run](const Event &Item) {
          return std::get_if<ServerBegan>(&Item) == Run;
        });
    Target.Events.insert(std::next(Place), Event(*Place));
    return true;
  };
}

/// Two requests of one workspace with the same idempotency key.
Edit reuseKey(bool SameWorkspace) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    for (const std::string Workspace : {"w0", SameWorkspace ? "w0" : "w1"}) {
      addRun(Target, At, Workspace, "east");
      for (Event &Item : Target.Events)
        if (auto *Sent = std::get_if<CallerSent>(&Item);
            Sent && Sent->At == At) {
          Sent->IdempotencyKey = "same";
          Sent->Idempotent = false;
        }
    }
    return true;
  };
}

/// An instance that has the version before the last one so long after.
Edit addOldVersion(Clock::duration Since, bool Serving = true) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    Target.record(ConfigAccepted{At, 1000});
    Target.record(ConfigAccepted{At + 1min, 1001});
    const Time Seen = At + 1min + Since;
    Target.record(ConfigObserved{Seen, Seen, "new-i1", 1000, Serving});
    return true;
  };
}

Edit addReverted(Clock::duration Since, bool Restarted) {
  return [=](History &Target, std::uint32_t) {
    const Time At = after(Target);
    Target.record(ConfigAccepted{At, 1000});
    Target.record(ConfigAccepted{At + 1min, 1001});
    const Time Seen = At + 1min + Since;
    Target.record(ConfigObserved{Seen, Seen, "new-i1", 1001});
    if (Restarted)
      Target.record(InstanceChange{Seen, "new-i1", InstanceState::Started});
    Target.record(ConfigObserved{Seen, Seen, "new-i1", 1000});
    return true;
  };
}

bool renameRequests(History &Target, std::uint32_t) {
  for (Event &Item : Target.Events)
    std::visit(
        [](auto &Value) {
          if constexpr (requires { Value.RequestId; })
            Value.RequestId = "x" + Value.RequestId;
        },
        Item);
  return true;
}

/// Puts later events before earlier ones in the record.
bool reorderRecord(History &Target, std::uint32_t Choice) {
  const Time Middle = timeOf(Target.Events[Choice % Target.Events.size()]);
  std::vector<Event> Changed;
  for (const bool Late : {true, false})
    std::ranges::copy_if(
        Target.Events, std::back_inserter(Changed),
        [&](const Event &Item) { return (timeOf(Item) > Middle) == Late; });
  Target.Events = std::move(Changed);
  return true;
}

} // namespace

const std::vector<Mutation> &allMutations() {
  using enum Promise;
  const auto Any = [](const auto &) { return true; };
  using Answer = CallerAnswered;
  using Run = ServerBegan;
  static const std::vector<Mutation> All{
      {"shift moves 2 of 10 at 1/5", {}, addMoved(false, 10, 0)},
      {"shift moves 2 of 9 at 1/5", ShiftCap, addMoved(false, 9, 0)},
      {"shift moves 3 of 10 at 1/5", ShiftCap, addMoved(false, 9, 10)},
      {"move before the lower cap is in force", {}, addLoweredCap(9s)},
      {"move after the lower cap is in force", ShiftCap, addLoweredCap(11s)},
      {"move with another open at the raise", {}, addRaisedCap(3s)},
      {"move with another ended at the raise", ShiftCap, addRaisedCap(500ms)},
      {"region runs its capacity", {}, addLoad(0)},
      {"region runs one more", RegionLoad, addLoad(1)},
      {"old capacity 3 s after a loss", {}, addCapacityLoss(3s)},
      {"old capacity later", RegionLoad, addCapacityLoss(3001ms)},
      {"request runs for another workspace", OwnWorkspace,
       change<Run>(isKeyed, [](Run &Item) { Item.WorkspaceSeen = "other"; })},
      {"run without a caller", OwnWorkspace,
       change<Run>(Any, [](Run &Item) { Item.RequestId += "-none"; })},
      {"server sees a key", KeyHidden,
       change<Run>(Any, [](Run &Item) { Item.KeySeen = true; })},
      {"key served 5 s after withdrawal", {}, addWithdrawn(1s, 5s, 9s)},
      {"key served later", KeyWithdrawal, addWithdrawn(1s, 5001ms, 9s)},
      {"recorded outcome 5 s after withdrawal",
       {},
       addWithdrawn(5s, std::nullopt, 9s)},
      {"recorded outcome later", KeyWithdrawal,
       addWithdrawn(5001ms, std::nullopt, 9s)},
      {"burst at one moment", {}, addBurst(0)},
      {"one more than the burst", WorkspaceRate, addBurst(1)},
      {"burst before it is lowered", {}, addLoweredBurst(0)},
      {"one more before it is lowered", WorkspaceRate, addLoweredBurst(1)},
      {"rollout runs 2 of 10 at 1/5", {}, addMoved(true, 10, 0)},
      {"rollout runs 2 of 9 at 1/5", VersionShare, addMoved(true, 9, 0)},
      {"rollout runs 3 of 10 at 1/5", VersionShare, addMoved(true, 9, 10)},
      {"version runs 5 s after its faults", {}, faultBefore(5s)},
      {"version runs later", VersionShare, faultBefore(5001ms)},
      {"answer mixed up", WholeAnswer,
       change<Answer>(isAnswered,
                      [](Answer &Item) { Item.ReceivedDigest += "x"; })},
      {"answer cut", WholeAnswer,
       change<Answer>(isAnswered, [](Answer &Item) { Item.Whole = false; })},
      {"answer to another request", WholeAnswer,
       change<Answer>(Any, [](Answer &Item) { Item.RequestId += "-none"; })},
      {"run that is refused with not_run", NotRunIsTrue,
       change<Answer>(
           isAnswered,
           [](Answer &Item) { Item.Outcome = CallerOutcome::NotRun; })},
      {"answer that is lost as unknown",
       {},
       change<Answer>(
           isAnswered,
           [](Answer &Item) { Item.Outcome = CallerOutcome::Unknown; })},
      {"idempotent request runs twice", {}, repeatRun(true)},
      {"non-idempotent request runs twice", AtMostOnce, repeatRun(false)},
      {"idempotency key of two workspaces", {}, reuseKey(false)},
      {"idempotency key runs twice", AtMostOnce, reuseKey(true)},
      {"work 5 s after a drain", {}, drainBefore(5s)},
      {"work later after a drain", Drain, drainBefore(5001ms)},
      {"planned stop cuts an answer", PlannedStop, cutAnswer(false)},
      {"killed instance cuts an answer", {}, cutAnswer(true)},
      {"old configuration after 7 s", {}, addOldVersion(7s)},
      {"old configuration later", Configuration, addOldVersion(7001ms)},
      {"old configuration, refuses keys", {}, addOldVersion(8s, false)},
      {"reverted configuration", Configuration, addReverted(1s, false)},
      {"restart with the version before", {}, addReverted(1s, true)},
      {"configuration nobody accepted", Configuration,
       change<ConfigObserved>(
           Any, [](ConfigObserved &Item) { Item.Version = 999; })},
      {"other request ids", {}, renameRequests},
      {"record out of order", {}, reorderRecord},
  };
  return All;
}

} // namespace rr::history
