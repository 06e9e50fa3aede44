#include "history/Bounds.h"
#include "history/Checks.h"

#include <algorithm>

namespace rr::history {

std::vector<Violation> checkOwnWorkspace(const Timeline &Recorded) {
  std::map<std::string, const KeyIssued *> Keys;
  for (const KeyIssued *Key : Recorded.all<KeyIssued>())
    Keys.emplace(Key->KeyId, Key);

  std::vector<Violation> Found;
  for (const auto &[Id, Trace] : Recorded.requests()) {
    for (const ServerBegan *Began : Trace.Began) {
      const auto Report = [&](std::string Expected, std::string Seen,
                              std::vector<Event> Events) {
        Events.push_back(*Began);
        Found.push_back({Promise::OwnWorkspace, Began->At, std::move(Expected),
                         std::move(Seen), std::move(Events)});
      };
      if (Trace.Sent.empty()) {
        Report("a request that a caller sent", "none with this id", {});
        continue;
      }
      const CallerSent &Sent = *Trace.Sent.front();
      if (Sent.OpenRoute)
        continue;
      const auto Key = Keys.find(Sent.KeyId);
      if (Key == Keys.end())
        Report("an issued key", "key \"" + Sent.KeyId + "\"", {Sent});
      else if (Began->WorkspaceSeen != Key->second->Workspace)
        Report("workspace " + Key->second->Workspace,
               "workspace \"" + Began->WorkspaceSeen + "\"",
               {*Key->second, Sent});
    }
  }
  return Found;
}

std::vector<Violation> checkKeyHidden(const Timeline &Recorded) {
  std::vector<Violation> Found;
  for (const ServerBegan *Began : Recorded.all<ServerBegan>())
    if (Began->KeySeen)
      Found.push_back({Promise::KeyHidden,
                       Began->At,
                       "no key in a request at a backend server",
                       "the text of a key",
                       {*Began}});
  return Found;
}

std::vector<Violation> checkKeyWithdrawal(const Timeline &Recorded) {
  // The first withdrawal counts; withdrawing again changes nothing.
  std::map<std::string, const KeyWithdrawn *> Withdrawals;
  for (const KeyWithdrawn *Item : Recorded.all<KeyWithdrawn>())
    Withdrawals.emplace(Item->KeyId, Item);

  std::vector<Violation> Found;
  for (const auto &[Id, Trace] : Recorded.requests()) {
    if (Trace.Sent.empty() || Trace.Sent.front()->OpenRoute)
      continue;
    const CallerSent &Sent = *Trace.Sent.front();
    const auto Withdrawn = Withdrawals.find(Sent.KeyId);
    if (Withdrawn == Withdrawals.end())
      continue;
    const Clock::time_point Last = Withdrawn->second->At + WithdrawalBound;
    const std::string Expected =
        "no service to the key after " + describe(Last);
    for (const ServerBegan *Began : Trace.Began)
      if (Began->At > Last)
        Found.push_back({Promise::KeyWithdrawal,
                         Began->At,
                         Expected,
                         "a request that began to run",
                         {*Withdrawn->second, Sent, *Began}});
    for (const CallerAnswered *Answered : Trace.Answered)
      if (Sent.At > Last && Answered->Outcome == CallerOutcome::Answered)
        Found.push_back({Promise::KeyWithdrawal,
                         Answered->At,
                         Expected,
                         "an answer",
                         {*Withdrawn->second, Sent, *Answered}});
  }
  return Found;
}

} // namespace rr::history
