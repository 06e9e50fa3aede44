#include "gateway/SoakFleet.h"

#include <algorithm>

namespace rr {

namespace {

/// Window in which the requests to a limited server are counted, and how many
/// are accepted.
constexpr Clock::duration LimitWindow = std::chrono::seconds(4);
constexpr double LimitFactor = 1.5;
constexpr double LimitExtra = 5;
/// Time after an instance was told of a limit until it must keep it.
constexpr Clock::duration ReactionTime = std::chrono::milliseconds(500);
/// Time after a limit is named until it is checked.
constexpr Clock::duration MaxLimitDelay = std::chrono::seconds(4);
/// After this many crashes, and the time for the instances to learn of them, a
/// request may reach servers only a few times more.
constexpr std::size_t MaxCrashes = 3;
constexpr Clock::duration MaxCrashDelay = std::chrono::seconds(3);
constexpr int MaxLateCrashes = 3;

} // namespace

bool SoakFleet::isUndisturbed(const Node &Entry) const {
  return Clock::now() >= this->Restores.SettledFrom &&
         this->isUndisturbedByOthers(Entry);
}

bool SoakFleet::isUndisturbedByOthers(const Node &Entry) const {
  const Clock::time_point Now = Clock::now();
  // An instance may forward a request to another one of its region.
  return Now >= this->UndisturbedFrom && Now >= Entry.DisturbedUntil &&
         std::all_of(this->Nodes.begin(), this->Nodes.end(),
                     [&](const std::unique_ptr<Node> &Item) {
                       return !Item->Instance ||
                              regionOf(Item->Zone) != regionOf(Entry.Zone) ||
                              Now >= Item->DisturbedUntil;
                     });
}

void SoakFleet::checkRun(const std::string &Id, const HttpMessage &Message) {
  const std::string *Field = findHeader(Message.Headers, "Id");
  const auto Found = Field ? this->Requests.find(*Field) : this->Requests.end();
  if (Found == this->Requests.end()) {
    this->reportViolation("a server ran a request that no caller sent");
    return;
  }
  Request &Item = Found->second;
  ++Item.Runs;
  if (Item.Unsafe && Item.Runs > 1)
    this->reportViolation("unsafe request " + *Field + " ran more than once");
  if (findHeader(Message.Headers, "Key"))
    this->reportViolation("a key was forwarded to a server");
  const auto Gone = this->Withdrawn.find(Item.Key);
  if (Gone != this->Withdrawn.end()) {
    const SoakNotice &Notice = Gone->second;
    if (!Notice.Lost && Item.SentAt > Notice.LastAt + RevocationTime)
      this->reportViolation("request " + *Field + " ran with a withdrawn key");
    const auto Refused = Notice.KnownBy.find(Item.Entry);
    if (Refused != Notice.KnownBy.end() &&
        Refused->second.Kills == Item.EntryKills &&
        Item.SentAt > Refused->second.Since)
      this->reportViolation("request " + *Field + " ran with key " + Item.Key +
                            ", which " + Item.Entry->Name +
                            " had refused before");
  }
  const std::string *Workspace = findHeader(Message.Headers, "Workspace");
  if (!Item.Key.empty() && (!Workspace || *Workspace != "w"))
    this->reportViolation("request " + *Field + " ran without its workspace");
  if (!Item.Key.empty()) {
    ++this->UsageRuns[windowAt(trueTime(), UsageWindowLength)];
    this->Admitted.push_back(Clock::now());
    while (this->Admitted.front() + QuotaWindow <= Clock::now())
      this->Admitted.pop_front();
    const double MaxAdmitted =
        (Rate * std::chrono::duration<double>(QuotaWindow).count() + Burst) *
            1.1 +
        20;
    if (double(this->Admitted.size()) > MaxAdmitted)
      this->RateExcess.push_back(
          std::to_string(
              std::chrono::duration<double>(Clock::now().time_since_epoch())
                  .count()) +
          " the workspace's rate was exceeded: " +
          std::to_string(this->Admitted.size()));
  }
  if (Item.Crashing)
    this->checkCrash(*Item.Entry);
  this->checkLimit(Id, *Item.Entry);
  this->checkServerMayServe(Id, this->Servers.at(Id), *Item.Entry);
}

void SoakFleet::checkLimit(const std::string &Id, const Node &Entry) {
  Server &Item = this->Servers.at(Id);
  const Clock::time_point Now = Clock::now();
  const auto Told = Item.ToldAt.find(&Entry);
  if (Now >= Item.LimitedUntil || Now < Item.LimitedFrom + MaxLimitDelay ||
      Told == Item.ToldAt.end() || Now < Told->second + ReactionTime ||
      !this->isUndisturbed(Entry))
    return;
  Item.LimitedArrivals.push_back(Now);
  while (Item.LimitedArrivals.front() + LimitWindow <= Now)
    Item.LimitedArrivals.pop_front();
  if (double(Item.LimitedArrivals.size()) >
      std::chrono::duration<double>(LimitWindow).count() * ServerLimit *
              LimitFactor +
          LimitExtra)
    this->reportViolation("server " + Id + " got more than its limit, by " +
                          Entry.Name);
}

void SoakFleet::checkCrash(const Node &Entry) {
  const Clock::time_point Now = Clock::now();
  if (this->Crashes.size() >= MaxCrashes &&
      Now > this->Crashes[MaxCrashes - 1] + MaxCrashDelay &&
      this->isUndisturbed(Entry) && ++this->LateCrashes > MaxLateCrashes)
    this->reportViolation("a request went on to crash servers, sent by " +
                          Entry.Name);
  this->Crashes.push_back(Now);
}

void SoakFleet::checkServerMayServe(const std::string &Id, const Server &Item,
                                    const Node &Entry) {
  if (Item.Drain && this->isOverdue(*Item.Drain, MaxDrainDelay, Entry))
    this->reportViolation("server " + Id +
                          " got a request while draining, by " + Entry.Name);
  const auto Order = this->Evacuated.find(Item.Zone);
  if (Order != this->Evacuated.end() &&
      this->isOverdue(Order->second, MaxEvacuationDelay, Entry))
    this->reportViolation("zone " + Item.Zone +
                          " got a request while evacuated, by " + Entry.Name);
}

void SoakFleet::finish() {
  for (int Index = 0; Index < 400; ++Index)
    this->step();
  this->checkUsage();
  for (const auto &[Id, Item] : this->Requests) {
    const bool ClaimsNotRun = Item.Status == 429 || Item.Status == 503 ||
                              Item.Status == 421 || Item.Status == 408;
    if (Item.Unsafe && ClaimsNotRun && Item.Runs > 0)
      this->reportViolation("request " + Id + " was refused with " +
                            std::to_string(Item.Status) + " and ran");
    if (!Item.Ended)
      this->reportViolation("request " + Id + " never ended");
  }
}

double SoakFleet::servedShare(Clock::time_point From,
                              Clock::time_point To) const {
  double Total = 0;
  double Served = 0;
  for (const auto &Entry : this->Requests) {
    const Request &Item = Entry.second;
    const bool Expected = Item.Key.empty() || this->Keys.count(Item.Key);
    if (Item.SentAt < From || Item.SentAt >= To || !Expected || Item.Crashing)
      continue;
    ++Total;
    // A refusal because of the rate is correct.
    Served += Item.Status == 200 || Item.Status == 429 ? 1 : 0;
  }
  return Total > 0 ? Served / Total : 1;
}

} // namespace rr
