#include "gateway/SoakFleet.h"

#include <algorithm>

namespace rr {

namespace {

constexpr Clock::duration CallWindow = std::chrono::seconds(5);
constexpr double MaxCallGrowth = 2;
/// Time for which disturbances of instances last beyond their causes.
constexpr Clock::duration RecoveryTime = std::chrono::seconds(4);

} // namespace

bool SoakFleet::mustKnow(const SoakNotice &Notice, const Node &Entry) const {
  const auto Knows = [&](const Node &Item) {
    const auto Found = Notice.KnownBy.find(&Item);
    return Found != Notice.KnownBy.end() && Found->second.Kills == Item.Kills;
  };
  // An instance may forward a request to another one of its region.
  return Knows(Entry) &&
         std::all_of(this->Nodes.begin(), this->Nodes.end(),
                     [&](const std::unique_ptr<Node> &Item) {
                       return !Item->Instance ||
                              regionOf(Item->Zone) != regionOf(Entry.Zone) ||
                              Item->Instance->state().Standby || Knows(*Item);
                     });
}

bool SoakFleet::isOverdue(const SoakNotice &Notice, Clock::duration Bound,
                          const Node &Entry) const {
  const Clock::time_point Now = Clock::now();
  if (this->mustKnow(Notice, Entry))
    return Now > Notice.FirstAt + Bound && this->isUndisturbedByOthers(Entry);
  return !Notice.Lost && Now > Notice.LastAt + Bound &&
         this->isUndisturbed(Entry);
}

void SoakFleet::checkRefusedKey(const Request &Item, const Node &Entry) {
  const auto Found = this->Withdrawn.find(Item.Key);
  if (Item.Status != 401 || Found == this->Withdrawn.end() ||
      Item.EntryKills != Entry.Kills || !Entry.Instance)
    return;
  // A key that was added shortly before was perhaps refused for lack of an
  // earlier configuration, which may still come.
  const auto &Config = Entry.Instance->state().Config;
  if (!Config || Config->Version < Found->second.Configuration)
    return;
  const auto Known = Found->second.KnownBy.try_emplace(&Entry).first;
  if (Known->second.Kills != Entry.Kills ||
      Known->second.Since == Clock::time_point{})
    Known->second = {Entry.Kills, Clock::now()};
}

void SoakFleet::checkConfigurationInForce(const Request &Item,
                                          const Node &Entry) {
  const Clock::time_point AcknowledgedAt =
      this->ConfigAcknowledged.at(Item.Since);
  if (Item.Status == 404 && AcknowledgedAt != Clock::time_point::max() &&
      Item.SentAt > AcknowledgedAt + SteeringBounds().ConfigurationTime &&
      this->isUndisturbedByOthers(Entry))
    this->reportViolation("configuration " + std::to_string(Item.Since) +
                          " is not in force at " + Entry.Name);
}

void SoakFleet::checkOwnRows() {
  const Clock::time_point Now = Clock::now();
  if (this->Restores.CheckRowsAt == Clock::time_point::max())
    return;
  const bool WritesFail =
      Now < std::max({this->StoreDownUntil, this->WritesRefusedUntil,
                      this->AnswersLostUntil});
  for (const auto &Item : this->Nodes)
    if (WritesFail || !Item->Instance || Item->Stopping ||
        Item->Instance->state().Standby ||
        Now < std::max({Item->FrozenUntil, Item->DisconnectedUntil,
                        Item->WritesLateUntil}))
      Item->RowExcused = true;
  if (Now < this->Restores.CheckRowsAt)
    return;
  this->Restores.CheckRowsAt = Clock::time_point::max();
  for (const auto &Item : this->Nodes)
    if (!Item->RowExcused &&
        (Item->RowWrittenAt < this->Restores.ReturnedAt ||
         !rowIn(*this->Tables.copy(), MemberRegistry::Table,
                "instance/" + Item->Name)))
      this->reportViolation("the row of " + Item->Name +
                            " is not back after the restore");
}

std::size_t SoakFleet::countStoreCalls(Clock::time_point From,
                                       Clock::time_point To) const {
  std::size_t Count = 0;
  for (const auto &Item : this->Nodes)
    Count += std::size_t(std::count_if(
        Item->StoreCalls.begin(), Item->StoreCalls.end(),
        [&](Clock::time_point At) { return At >= From && At < To; }));
  return Count;
}

bool SoakFleet::areCallsUndisturbed(Clock::time_point From) const {
  const Clock::time_point Recovered = From + RecoveryTime;
  return this->UndisturbedFrom <= Recovered &&
         std::all_of(this->Nodes.begin(), this->Nodes.end(),
                     [&](const std::unique_ptr<Node> &Item) {
                       return Item->DisturbedUntil <= Recovered &&
                              Item->ReadsStallUntil <= From;
                     });
}

void SoakFleet::checkStoreCalls() {
  SoakRestores &Restores = this->Restores;
  if (Clock::now() < Restores.CheckCallsAt)
    return;
  Restores.CheckCallsAt = Clock::time_point::max();
  const Clock::time_point From = Restores.SeriesLeftAt - CallWindow;
  if (!this->areCallsUndisturbed(From))
    return;
  const std::size_t Before = this->countStoreCalls(From, Restores.SeriesLeftAt);
  const std::size_t After = this->countStoreCalls(
      Restores.ReturnedAt, Restores.ReturnedAt + CallWindow);
  this->logFault("calls to the store: " + std::to_string(Before) +
                 " in 5 s before the restore, " + std::to_string(After) +
                 " after it");
  if (double(After) > MaxCallGrowth * double(Before))
    this->CallGrowth.push_back(
        "calls to the store rose from " + std::to_string(Before) + " to " +
        std::to_string(After) + " in 5 s after a restore");
}

} // namespace rr
