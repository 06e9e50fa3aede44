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
  if (this->Members.hasLostMoves())
    return true;
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
  for (const std::string &Service : Services) {
    // The next state replaces a known one that the store lost.
    if (auto Next = this->nextState(Service))
      co_await this->commit(std::move(*Next));
    else if (this->Members.shouldWriteMoveAgain(Service, this->isLeader()))
      co_await this->writeAgain(*this->State.Versions.at(Service).move());
  }
}

asio::awaitable<Outcome<StoreVersion>>
MoveCoordinator::write(const VersionMove &Move) {
  std::vector<TableWrite> Writes;
  Writes.push_back(this->Members.makeMoveRow(Move));
  Writes.push_back(this->Codec.EncodeMoveStatus(Move));
  auto Version = co_await this->Store.Commit(std::move(Writes));
  if (!Version)
    logEvent(Event::MoveConflict,
             {{"service", Move.Service}, {"error", Version.error().message()}});
  co_return Version;
}

asio::awaitable<void> MoveCoordinator::writeAgain(VersionMove Known) {
  const auto Version = co_await this->write(Known);
  if (!Version)
    co_return;
  logEvent(Event::RowsWrittenAgain, {{"kind", "move"},
                                     {"rows", "2"},
                                     {"service", Known.Service},
                                     {"version", Version->text()}});
  this->Members.recordMoveWritten(Known, *Version);
}

asio::awaitable<void> MoveCoordinator::commit(VersionMove Next) {
  const auto Version = co_await this->write(Next);
  if (!Version)
    co_return;
  logEvent(Next.StageStartedAt == Next.StartedAt ? Event::MoveBegun
                                                 : Event::MoveAdvanced,
           {{"service", Next.Service},
            {"version", Next.Target},
            {"phase", std::to_string(int(Next.State))},
            {"share", std::to_string(Next.Share)}});
  this->Members.recordMoveWritten(Next, *Version);
}

} // namespace rr
