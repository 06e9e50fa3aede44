#include "keys/WithdrawalTracker.h"

#include "keys/WithdrawalMessages.h"
#include "membership/MemberTable.h"
#include "membership/Timing.h"

#include <algorithm>

namespace rr {

void WithdrawalTracker::noteDurable(std::uint64_t KeyVersion,
                                    Clock::time_point Now) {
  if (this->DurableAt)
    return;
  this->DurableAt = Now;
  this->Version = KeyVersion;
}

void WithdrawalTracker::noteAck(const WithdrawalAck &Ack) {
  if (std::find(Ack.Hashes.begin(), Ack.Hashes.end(), this->Hash) ==
      Ack.Hashes.end())
    return;
  this->Acks[Ack.From.Name] = {Ack.From.Incarnation, Ack.ListDigest};
}

bool WithdrawalTracker::holds(const std::string &Name,
                              std::uint64_t Incarnation) const {
  const auto Found = this->Acks.find(Name);
  return Found != this->Acks.end() && Found->second.Incarnation == Incarnation;
}

std::vector<std::string>
WithdrawalTracker::missing(const MemberTable &Members) const {
  std::vector<std::string> Result;
  for (const MemberEntry *Entry : Members.counted()) {
    const Member &Record = Entry->Record;
    if (Record.Name == Members.self().Name)
      continue;
    const bool Agrees =
        this->holds(Record.Name, Record.Incarnation) &&
        this->Acks.at(Record.Name).ListDigest == Members.listDigest();
    const bool HasVersion =
        this->DurableAt && Entry->Acknowledged.Keys >= this->Version;
    if (!Agrees && !HasVersion)
      Result.push_back(Record.Name);
  }
  return Result;
}

WithdrawalReport WithdrawalTracker::report(const MemberTable &Members,
                                           Clock::time_point Now) {
  WithdrawalReport Result;
  const auto Missing = this->missing(Members);
  const bool Lapsed = this->DurableAt && Now >= *this->DurableAt + InForceDelay;
  // Before it is synchronised this instance may not know all members.
  const MemberEntry *Self = Members.find(Members.self().Name);
  const bool Confirmed = Self->Synchronised && Missing.empty();
  this->InForce = this->InForce || Confirmed || Lapsed;
  Result.InForce = this->InForce;
  Result.Durable = this->DurableAt.has_value();
  Result.Version = this->Version;
  for (const MemberEntry *Entry : Members.counted()) {
    const Member &Record = Entry->Record;
    if (Record.Name == Members.self().Name ||
        this->holds(Record.Name, Record.Incarnation) ||
        (this->DurableAt && Entry->Acknowledged.Keys >= this->Version))
      ++Result.Holders;
  }
  for (const std::string &Name : Missing) {
    WithdrawalReport::Unconfirmed Item{Name, std::nullopt};
    if (this->DurableAt)
      Item.ProofLapsesAt = *this->DurableAt + FreshnessLimit;
    Result.Missing.push_back(std::move(Item));
  }
  return Result;
}

} // namespace rr
