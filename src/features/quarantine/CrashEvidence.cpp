#include "quarantine/CrashEvidence.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rr {

namespace {

// A request and two more, as design 4.11 asks for.
constexpr std::size_t DeathsOfCrash = 3;
// Ends of connections to one dead process reach their owner together; within
// a region this is a round trip of about 1 ms, and scheduling adds to it.
constexpr Clock::duration SameMoment = std::chrono::milliseconds(100);
// The refused connection follows the deaths within the connect timeout.
constexpr Clock::duration RefusalWindow = std::chrono::seconds(2);
// Longer than any deadline on a silent connection.
constexpr Clock::duration CrashMemory = std::chrono::seconds(60);
constexpr std::size_t MostServers = 1024;
constexpr std::size_t MostDeaths = 64;

} // namespace

CrashEvidence::CrashEvidence(std::string Source) : Source(std::move(Source)) {}

std::optional<CrashEvidence::Crash> CrashEvidence::connectionEnded(
    const std::string &Fingerprint, const std::string &Server,
    Clock::time_point Started, Clock::time_point Now) {
  this->forgetOld(Now);
  if (this->Servers.size() >= MostServers && this->Servers.count(Server) == 0)
    return std::nullopt;
  ServerState &State = this->Servers[Server];
  State.Deaths.push_back({Fingerprint, Started, Now, false});
  if (State.Deaths.size() > MostDeaths)
    State.Deaths.pop_front();
  const auto Together = std::count_if(
      State.Deaths.begin(), State.Deaths.end(),
      [Now](const Death &Each) { return Now - Each.Time <= SameMoment; });
  if (static_cast<std::size_t>(Together) < DeathsOfCrash &&
      !State.diedInLastCrash(Started))
    return std::nullopt;
  return this->report(State, SameMoment, Now);
}

std::optional<CrashEvidence::Crash>
CrashEvidence::connectionRefused(const std::string &Server,
                                 Clock::time_point Now) {
  this->forgetOld(Now);
  const auto Found = this->Servers.find(Server);
  if (Found == this->Servers.end())
    return std::nullopt;
  return this->report(Found->second, RefusalWindow, Now);
}

std::optional<CrashEvidence::Crash>
CrashEvidence::report(ServerState &State, Clock::duration Window,
                      Clock::time_point Now) {
  Crash Result;
  // Requests that were sent before the last crash died in it, however late
  // their connections are seen to end.
  bool Same = true;
  for (Death &Each : State.Deaths) {
    if (Each.Reported || Now - Each.Time > Window)
      continue;
    Each.Reported = true;
    Same = Same && State.diedInLastCrash(Each.Started);
    Result.Fingerprints.push_back(Each.Fingerprint);
  }
  if (Result.Fingerprints.empty())
    return std::nullopt;
  if (!Same) {
    State.CrashId = this->Source + "/" + std::to_string(++this->LastCrash);
    State.CrashTime = Now;
  }
  Result.Id = State.CrashId;
  return Result;
}

void CrashEvidence::forgetOld(Clock::time_point Now) {
  for (auto Next = this->Servers.begin(); Next != this->Servers.end();) {
    auto &Deaths = Next->second.Deaths;
    while (!Deaths.empty() && Now - Deaths.front().Time > RefusalWindow)
      Deaths.pop_front();
    const bool Idle =
        Deaths.empty() && (Next->second.CrashId.empty() ||
                           Now - Next->second.CrashTime > CrashMemory);
    Next = Idle ? this->Servers.erase(Next) : std::next(Next);
  }
}

} // namespace rr
