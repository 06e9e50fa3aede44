#include "quarantine/CrashEvidence.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rr {

namespace {

// The request itself and two others, as design 4.11 requires.
constexpr std::size_t MinLostRequestsOfCrash = 3;
// The owner sees all connections to a crashed process end within a round trip
// (about 1 ms within a region) plus scheduling delays.
constexpr Clock::duration SimultaneousLossWindow =
    std::chrono::milliseconds(100);
// The refused connection follows the lost requests within the connect timeout.
constexpr Clock::duration RefusalWindow = std::chrono::seconds(2);
// Longer than any deadline on a silent connection.
constexpr Clock::duration CrashRetention = std::chrono::seconds(60);
constexpr std::size_t MaxServers = 1024;
constexpr std::size_t MaxLostRequestsPerServer = 64;

} // namespace

CrashEvidence::CrashEvidence(std::string Source) : Source(std::move(Source)) {}

std::optional<CrashEvidence::Crash> CrashEvidence::connectionEnded(
    const std::string &Fingerprint, const std::string &Server,
    Clock::time_point Started, Clock::time_point Now) {
  this->pruneExpired(Now);
  if (this->Servers.size() >= MaxServers && this->Servers.count(Server) == 0)
    return std::nullopt;
  ServerState &State = this->Servers[Server];
  State.LostRequests.push_back({Fingerprint, Started, Now, false});
  if (State.LostRequests.size() > MaxLostRequestsPerServer)
    State.LostRequests.pop_front();
  const auto RecentLossCount =
      std::count_if(State.LostRequests.begin(), State.LostRequests.end(),
                    [Now](const LostRequest &Request) {
                      return Now - Request.Time <= SimultaneousLossWindow;
                    });
  if (static_cast<std::size_t>(RecentLossCount) < MinLostRequestsOfCrash &&
      !State.lostInLastCrash(Started))
    return std::nullopt;
  return this->report(State, SimultaneousLossWindow, Now);
}

std::optional<CrashEvidence::Crash>
CrashEvidence::connectionRefused(const std::string &Server,
                                 Clock::time_point Now) {
  this->pruneExpired(Now);
  const auto Found = this->Servers.find(Server);
  if (Found == this->Servers.end())
    return std::nullopt;
  return this->report(Found->second, RefusalWindow, Now);
}

std::optional<CrashEvidence::Crash>
CrashEvidence::report(ServerState &State, Clock::duration Window,
                      Clock::time_point Now) {
  Crash Result;
  // Requests sent before the last crash belong to it, however late the end of
  // their connections is observed.
  bool SameCrash = true;
  for (LostRequest &Request : State.LostRequests) {
    if (Request.Reported || Now - Request.Time > Window)
      continue;
    Request.Reported = true;
    SameCrash = SameCrash && State.lostInLastCrash(Request.Started);
    Result.Fingerprints.push_back(Request.Fingerprint);
  }
  if (Result.Fingerprints.empty())
    return std::nullopt;
  if (!SameCrash) {
    State.CrashId = this->Source + "/" + std::to_string(++this->LastCrash);
    State.CrashTime = Now;
  }
  Result.Id = State.CrashId;
  return Result;
}

void CrashEvidence::pruneExpired(Clock::time_point Now) {
  for (auto Next = this->Servers.begin(); Next != this->Servers.end();) {
    auto &LostRequests = Next->second.LostRequests;
    while (!LostRequests.empty() &&
           Now - LostRequests.front().Time > RefusalWindow)
      LostRequests.pop_front();
    const bool Idle =
        LostRequests.empty() && (Next->second.CrashId.empty() ||
                                 Now - Next->second.CrashTime > CrashRetention);
    Next = Idle ? this->Servers.erase(Next) : std::next(Next);
  }
}

} // namespace rr
