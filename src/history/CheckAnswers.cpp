#include "history/Checks.h"

#include <algorithm>
#include <tuple>

namespace rr::history {

std::vector<Violation> checkWholeAnswer(const Timeline &Recorded) {
  std::vector<Violation> Found;
  for (const auto &[Id, Trace] : Recorded.requests()) {
    for (const CallerAnswered *Answered : Trace.Answered) {
      const auto Report = [&](std::string Expected, std::string Seen) {
        Violation Broken{Promise::WholeAnswer,
                         Answered->At,
                         std::move(Expected),
                         std::move(Seen),
                         {*Answered}};
        if (!Trace.Sent.empty())
          Broken.Events.insert(Broken.Events.begin(), *Trace.Sent.front());
        Found.push_back(std::move(Broken));
      };
      if (Trace.Sent.empty())
        Report("an answer to a request", "no request with this id");
      else if (Answered != Trace.Answered.front())
        Report("one answer", "another answer to the same request");
      else if (Answered->Outcome != CallerOutcome::Answered)
        continue;
      else if (!Answered->Whole)
        Report("a whole answer", "an answer that was cut");
      else if (Answered->ReceivedDigest != Trace.Sent.front()->ExpectedDigest)
        Report("body " + Trace.Sent.front()->ExpectedDigest,
               "body " + Answered->ReceivedDigest);
    }
  }
  return Found;
}

std::vector<Violation> checkNotRun(const Timeline &Recorded) {
  std::vector<Violation> Found;
  for (const auto &[Id, Trace] : Recorded.requests())
    for (const CallerAnswered *Answered : Trace.Answered)
      if (Answered->Outcome == CallerOutcome::NotRun && !Trace.Began.empty())
        Found.push_back({Promise::NotRunIsTrue,
                         std::max(Answered->At, Trace.Began.front()->At),
                         "no run of a request refused with not_run",
                         "a run",
                         {*Answered, *Trace.Began.front()}});
  return Found;
}

std::vector<Violation> checkAtMostOnce(const Timeline &Recorded) {
  struct Group {
    bool Idempotent = true;
    std::vector<const ServerBegan *> Runs;
  };
  // Workspace and idempotency key, or the request id alone.
  std::map<std::tuple<std::string, std::string, std::string>, Group> Groups;
  for (const auto &[Id, Trace] : Recorded.requests()) {
    if (Trace.Sent.empty())
      continue;
    const CallerSent &Sent = *Trace.Sent.front();
    Group &Same = Sent.IdempotencyKey.empty()
                      ? Groups[{"", "", Id}]
                      : Groups[{Sent.Workspace, Sent.IdempotencyKey, ""}];
    Same.Idempotent = Same.Idempotent && Sent.Idempotent;
    Same.Runs.insert(Same.Runs.end(), Trace.Began.begin(), Trace.Began.end());
  }

  std::vector<Violation> Found;
  for (auto &[Name, Same] : Groups) {
    if (Same.Idempotent || Same.Runs.size() < 2)
      continue;
    std::ranges::sort(Same.Runs, {}, &ServerBegan::At);
    Violation Broken{Promise::AtMostOnce,
                     Same.Runs[1]->At,
                     "at most one run",
                     std::to_string(Same.Runs.size()) + " runs",
                     {}};
    for (const ServerBegan *Run : Same.Runs)
      Broken.Events.push_back(*Run);
    Found.push_back(std::move(Broken));
  }
  return Found;
}

} // namespace rr::history
