#include "SimFleet.h"

#include "base/Timer.h"
#include "configuration/ConfigProposal.h"
#include "keys/KeyRows.h"
#include "platform/PlatformCalls.h"

#include <algorithm>

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr Clock::duration CallTimeout = 1s;
constexpr Clock::duration WithdrawalBound = 5s;

} // namespace

SimFleet::SimFleet(std::size_t Count, std::size_t Keys, std::size_t PerZone)
    : Instances(Count), ConfigSeen(Count), PerZone(PerZone) {
  seedRetryJitter(1);
  this->Loop.spawn([&]() -> asio::awaitable<void> {
    const Platform Calls = this->Store.platform();
    for (std::size_t I = 0; I < Keys; ++I) {
      const KeyHash Hash = hashOfKey("key" + std::to_string(I));
      const std::string Name = "w";
      static_cast<void>(co_await issueKey(Calls, Hash, Name));
    }
    ConfigProposal First;
    static_cast<void>(co_await proposeChange(Calls, First));
  });
  for (std::size_t I = 0; I < Count; ++I)
    this->start(I);
}

std::string SimFleet::nameOf(std::size_t Index) const {
  return "i" + std::to_string(Index);
}

bool SimFleet::isSame(std::size_t Index, std::uint64_t Incarnation) const {
  const Instance &Item = this->Instances[Index];
  return Item.Incarnation == Incarnation &&
         (Item.State == Process::Running || Item.State == Process::Paused);
}

void SimFleet::start(std::size_t Index) {
  Instance &Item = this->Instances[Index];
  if (Item.Node)
    this->end(Index);
  const std::uint64_t Incarnation = ++Item.Incarnation;
  Item.State = Process::Running;
  Member Self;
  Self.Name = this->nameOf(Index);
  Self.Zone = "z" + std::to_string(Index / this->PerZone);
  Self.Incarnation = Incarnation;
  // The platform's list has all instances, with no incarnation.
  this->Store.Instances[Self.Name] = {Self.Name, Self.Zone, {}, {}, false};
  auto Call = [this, Index, Incarnation](std::string To, std::string Method,
                                         nlohmann::json Payload) {
    return this->deliver(Index, Incarnation, std::move(To), std::move(Method),
                         std::move(Payload));
  };
  Item.Node =
      std::make_unique<ControlNode>(this->Loop.context().get_executor(), Self,
                                    this->Store.platform(&Item.StoreCut), Call);
  this->ConfigSeen[Index] = 0;
}

void SimFleet::end(std::size_t Index, bool HostSilent) {
  Instance &Item = this->Instances[Index];
  Item.State = HostSilent ? Process::HostSilent : Process::Ended;
  if (Item.Node)
    this->Ended.push_back(std::move(Item.Node));
}

asio::awaitable<void> SimFleet::waitWhilePaused(std::size_t Index) {
  while (this->Instances[Index].State == Process::Paused)
    co_await sleepFor(10ms);
}

asio::awaitable<Outcome<nlohmann::json>>
SimFleet::deliver(std::size_t From, std::uint64_t Incarnation, std::string To,
                  std::string Method, nlohmann::json Payload) {
  ++this->Messages;
  const std::size_t Target = std::stoul(To.substr(1));
  Outcome<nlohmann::json> Result = failure(Errc::Timeout);
  co_await sleepFor(this->Latency);
  const bool Reaches =
      this->Instances[From].Group == this->Instances[Target].Group;
  if (Reaches && this->Instances[Target].State == Process::Ended) {
    Result = failure(Errc::ConnectionRefused);
  } else if (Reaches && this->Instances[Target].State != Process::HostSilent) {
    // A paused process finds the message in its buffer later. The caller
    // takes an answer however late, which is worse than a timeout.
    co_await this->waitWhilePaused(Target);
    if (this->Instances[Target].State == Process::Running) {
      const auto Bytes = nlohmann::json::to_cbor(Payload);
      Result = this->Instances[Target].Node->handle(
          Method, nlohmann::json::from_cbor(Bytes));
    }
    co_await sleepFor(this->Latency);
    if (this->Instances[From].Group != this->Instances[Target].Group)
      Result = failure(Errc::Timeout);
  } else {
    co_await sleepFor(CallTimeout);
  }
  co_await this->waitWhilePaused(From);
  // A process that ended does nothing more.
  while (!this->isSame(From, Incarnation))
    co_await sleepFor(1h);
  co_return Result;
}

void SimFleet::withdraw(std::size_t Index, const std::string &Key) {
  if (this->Instances[Index].State != Process::Running)
    return;
  this->Withdrawals.push_back({hashOfKey(Key), Key, Index, std::nullopt});
  ControlNode *Node = this->Instances[Index].Node.get();
  this->Loop.spawn([Node, Key]() -> asio::awaitable<void> {
    static_cast<void>(co_await Node->withdraw(hashOfKey(Key)));
  });
}

void SimFleet::advance(Clock::duration Time) {
  for (Clock::duration Passed{0}; Passed < Time; Passed += 50ms) {
    for (Instance &Item : this->Instances)
      if (Item.State == Process::Running)
        Item.Node->tick();
    this->Loop.advance(50ms);
    this->check();
  }
}

Authentication::Verdict SimFleet::ask(std::size_t Index,
                                      const std::string &Key) {
  const ControlNode &Node = *this->Instances[Index].Node;
  return authenticate(Node.keys(), Key, {Clock::now(), Node.validUntil()})
      .Result;
}

bool SimFleet::allServe(const std::string &Key) {
  for (std::size_t I = 0; I < this->Instances.size(); ++I)
    if (this->Instances[I].State == Process::Running &&
        this->ask(I, Key) != Authentication::Verdict::Accepted)
      return false;
  return true;
}

void SimFleet::check() {
  for (Withdrawal &Item : this->Withdrawals) {
    if (!Item.AcceptedAt && this->Instances[Item.TakenBy].Node) {
      const auto Report =
          this->Instances[Item.TakenBy].Node->withdrawalReport(Item.Hash);
      if (Report && Report->isAccepted())
        Item.AcceptedAt = Clock::now();
    }
    if (!Item.AcceptedAt)
      continue;
    for (std::size_t I = 0; I < this->Instances.size(); ++I) {
      if (this->Instances[I].State != Process::Running ||
          this->ask(I, Item.Key) != Authentication::Verdict::Accepted)
        continue;
      const Clock::duration Served = Clock::now() - *Item.AcceptedAt;
      this->LongestServed = std::max(this->LongestServed, Served);
      if (Served > WithdrawalBound && this->Violation.empty())
        this->Violation = this->nameOf(I) + " serves " + Item.Key;
    }
  }
  for (std::size_t I = 0; I < this->Instances.size(); ++I) {
    if (!this->Instances[I].Node)
      continue;
    const std::uint64_t Version = this->Instances[I].Node->config().version();
    if (Version < this->ConfigSeen[I] && this->Violation.empty())
      this->Violation = this->nameOf(I) + " reverted its configuration";
    this->ConfigSeen[I] = Version;
  }
}

} // namespace rr
