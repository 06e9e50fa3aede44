#include "gateway/MoveCoordinator.h"

#include "logging/EventLog.h"
#include "steering/MoveRule.h"

#include <vector>

namespace rr {

namespace {

int countReadyTargetServers(const SteeringState &State,
                            const VersionMove &Move) {
  int Count = 0;
  for (const BackendPtr &Server :
       State.Backends.serversForService(Move.Service))
    if (Server->Record.Version == Move.Target && !Server->Record.Draining &&
        Clock::now() >= Server->ColdUntil)
      ++Count;
  return Count;
}

MoveEvidence collectEvidence(const SteeringState &State,
                             const VersionMove &Move,
                             const VersionSteering &Steering) {
  MoveEvidence Evidence;
  Evidence.TargetBad = Steering.isStopped();
  Evidence.TargetSuspect = Steering.isSuspect();
  Evidence.TargetRequests = Steering.candidateRequests();
  Evidence.ReadyServers = countReadyTargetServers(State, Move);
  Evidence.StoreTime = State.Members.storeTime();
  for (const std::string &Name : State.Members.inService()) {
    const auto &Rollouts = State.Members.records().at(Name).Rollouts;
    const auto Found = Rollouts.find(Move.Service);
    std::optional<MoveReport> Report;
    if (Found != Rollouts.end())
      if (auto Decoded = decodeMoveReport(Found->second);
          Decoded && Decoded->Target == Move.Target)
        Report = std::move(*Decoded);
    Evidence.Reports.push_back(std::move(Report));
  }
  return Evidence;
}

} // namespace

MoveCoordinator::MoveCoordinator(SteeringState &SharedState,
                                 MemberRegistry &Registry,
                                 const TableStore &InstanceStore,
                                 const PlatformCodec &Platform)
    : State(SharedState), Members(Registry), Store(InstanceStore),
      Codec(Platform) {}

bool MoveCoordinator::isLeader() const {
  const std::vector<std::string> Names = this->State.Members.inService();
  return Names.empty() || Names.front() == this->State.Settings.Name;
}

bool MoveCoordinator::hasPendingMove() const {
  for (const auto &Item : this->State.Versions) {
    const auto &Order = Item.second.currentOrder();
    const auto &Move = Item.second.move();
    if (Order && (!Move || Move->Target != Order->Target ||
                  Move->State == VersionMove::Phase::Running))
      return true;
  }
  return false;
}

std::optional<VersionMove>
MoveCoordinator::nextState(const std::string &Service) const {
  const VersionSteering &Steering = this->State.Versions.at(Service);
  const auto &Order = Steering.currentOrder();
  const auto &Move = Steering.move();
  if (!Order)
    return std::nullopt;
  if (!Move || Move->Target != Order->Target) {
    if (!this->isLeader())
      return std::nullopt;
    return beginMove(*Order, Move, this->State.Backends.versions(Service),
                     this->State.Members.storeTime());
  }
  if (Move->State != VersionMove::Phase::Running ||
      (!Steering.isStopped() && !this->isLeader()))
    return std::nullopt;
  return advanceMove(*Move, collectEvidence(this->State, *Move, Steering));
}

asio::awaitable<void> MoveCoordinator::advanceMoves() {
  std::vector<std::string> Services;
  for (const auto &Item : this->State.Versions)
    Services.push_back(Item.first);
  for (const std::string &Service : Services)
    if (auto Next = this->nextState(Service))
      co_await this->commit(std::move(*Next));
}

asio::awaitable<void> MoveCoordinator::commit(VersionMove Next) {
  std::vector<TableWrite> Writes;
  Writes.push_back(this->Members.makeMoveRow(Next));
  Writes.push_back(this->Codec.EncodeMoveStatus(Next));
  const auto Version = co_await this->Store.Commit(std::move(Writes));
  if (!Version) {
    logEvent(Event::MoveConflict,
             {{"service", Next.Service}, {"error", Version.error().message()}});
    co_return;
  }
  logEvent(Next.StageStartedAt == Next.StartedAt ? Event::MoveBegun
                                                 : Event::MoveAdvanced,
           {{"service", Next.Service},
            {"version", Next.Target},
            {"phase", std::to_string(int(Next.State))},
            {"share", std::to_string(Next.Share)}});
  this->Members.recordMoveWritten(Next, *Version);
}

} // namespace rr
