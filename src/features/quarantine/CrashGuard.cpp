#include "quarantine/CrashGuard.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

constexpr std::size_t MinCrashesToBlock = 2;

} // namespace

CrashGuard::CrashGuard(std::string Source) : Evidence(std::move(Source)) {}

CrashGuard::Verdict CrashGuard::check(const std::string &Fingerprint,
                                      Clock::time_point Now) const {
  const auto Found = this->Records.find(Fingerprint);
  if (Found == this->Records.end() || Found->second.expiry() <= Now)
    return Verdict::Allowed;
  const std::size_t Crashes = Found->second.unclearedCrashes();
  if (Crashes == 0)
    return Verdict::Allowed;
  return Crashes >= MinCrashesToBlock ? Verdict::Blocked : Verdict::Suspect;
}

bool CrashGuard::beginTrial(const std::string &Fingerprint,
                            const std::string &Server,
                            Clock::time_point Deadline, Clock::time_point Now) {
  for (auto Next = this->Trials.begin(); Next != this->Trials.end();)
    Next = Next->second.Deadline <= Now ? this->Trials.erase(Next)
                                        : std::next(Next);
  const bool ServerInUse = std::any_of(
      this->Trials.begin(), this->Trials.end(),
      [&](const auto &Entry) { return Entry.second.Server == Server; });
  if (ServerInUse || this->check(Fingerprint, Now) == Verdict::Blocked)
    return false;
  return this->Trials.emplace(Fingerprint, Trial{Server, Deadline}).second;
}

void CrashGuard::endTrial(const std::string &Fingerprint) {
  this->Trials.erase(Fingerprint);
}

std::optional<SuspectMessage>
CrashGuard::requestCompleted(const std::string &Fingerprint,
                             Clock::time_point Now) {
  if (this->check(Fingerprint, Now) != Verdict::Suspect)
    return std::nullopt;
  return this->clear(Fingerprint, Now);
}

std::optional<SuspectMessage> CrashGuard::clear(const std::string &Fingerprint,
                                                Clock::time_point Now) {
  const auto Found = this->Records.find(Fingerprint);
  if (Found == this->Records.end())
    return std::nullopt;
  SuspectRecord Update;
  for (const auto &[Id, Until] : Found->second.Crashes)
    Update.Cleared[Id] = Now + SuspicionPeriod;
  return this->mergeRecord(Fingerprint, Update, Now);
}

std::vector<SuspectMessage>
CrashGuard::connectionEnded(const std::string &Fingerprint,
                            const std::string &Server,
                            Clock::time_point Started, Clock::time_point Now) {
  return this->recordCrash(
      this->Evidence.connectionEnded(Fingerprint, Server, Started, Now), Now);
}

std::vector<SuspectMessage>
CrashGuard::connectionRefused(const std::string &Server,
                              Clock::time_point Now) {
  return this->recordCrash(this->Evidence.connectionRefused(Server, Now), Now);
}

std::vector<SuspectMessage> CrashGuard::recordCrash(
    const std::optional<CrashEvidence::Crash> &DetectedCrash,
    Clock::time_point Now) {
  std::vector<SuspectMessage> Result;
  if (!DetectedCrash)
    return Result;
  const auto IsSuspect = [&](const std::string &Fingerprint) {
    return this->check(Fingerprint, Now) != Verdict::Allowed;
  };
  // If a suspect was among the lost requests, it alone counts as the cause.
  // Otherwise the cause is unknown and all of them become suspects.
  const bool HasKnownSuspect =
      std::any_of(DetectedCrash->Fingerprints.begin(),
                  DetectedCrash->Fingerprints.end(), IsSuspect);
  for (const std::string &Fingerprint : DetectedCrash->Fingerprints) {
    if (HasKnownSuspect && !IsSuspect(Fingerprint))
      continue;
    SuspectRecord Update;
    Update.Crashes[DetectedCrash->Id] = Now + SuspicionPeriod;
    Result.push_back(this->mergeRecord(Fingerprint, Update, Now));
  }
  return Result;
}

SuspectMessage CrashGuard::mergeRecord(const std::string &Fingerprint,
                                       const SuspectRecord &Update,
                                       Clock::time_point Now) {
  SuspectRecord &Known = this->Records[Fingerprint];
  Known.merge(Update);
  SuspectMessage Result{Fingerprint, Known};
  this->evictExcessRecords(Now);
  return Result;
}

void CrashGuard::merge(const SuspectMessage &Received, Clock::time_point Now) {
  if (Received.Record.expiry() <= Now)
    return;
  this->mergeRecord(Received.Fingerprint, Received.Record, Now);
}

std::vector<SuspectMessage> CrashGuard::snapshot(Clock::time_point Now) const {
  std::vector<SuspectMessage> Result;
  for (const auto &[Fingerprint, Record] : this->Records)
    if (Record.expiry() > Now)
      Result.push_back({Fingerprint, Record});
  return Result;
}

// Above the limit, removes expired records, then those that expire first, in a
// total order, so that instances with the same records keep the same ones.
void CrashGuard::evictExcessRecords(Clock::time_point Now) {
  if (this->Records.size() <= MaxFingerprints)
    return;
  for (auto Next = this->Records.begin(); Next != this->Records.end();)
    Next = Next->second.expiry() <= Now ? this->Records.erase(Next)
                                        : std::next(Next);
  while (this->Records.size() > MaxFingerprints)
    this->Records.erase(
        std::min_element(this->Records.begin(), this->Records.end(),
                         [](const auto &Left, const auto &Right) {
                           return std::pair(Left.second.expiry(), Left.first) <
                                  std::pair(Right.second.expiry(), Right.first);
                         }));
}

} // namespace rr
