#include "membership/FreshnessTracker.h"

#include "membership/MemberTable.h"
#include "membership/Timing.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::size_t MostCoveredDigests = 256;
constexpr std::size_t MostWaitingReads = 16;

const ZoneStatus::Exception *findException(const ZoneStatus &Zone,
                                           const std::string &Name) {
  const auto Found = std::find_if(
      Zone.Exceptions.begin(), Zone.Exceptions.end(),
      [&](const ZoneStatus::Exception &Item) { return Item.Name == Name; });
  return Found == Zone.Exceptions.end() ? nullptr : &*Found;
}

} // namespace

FreshnessTracker::FreshnessTracker(MemberTable &Members) : Members(Members) {}

void FreshnessTracker::setHeld(const ControlStamp &Stamp) {
  this->Held = Stamp;
  const Member &Self = this->Members.self();
  this->Members.acknowledge(Self.Name, Self.Incarnation, Stamp.Versions);
  this->noteIncorporated(Stamp.PendingDigest);
}

void FreshnessTracker::noteIncorporated(const std::string &PendingDigest) {
  auto &Known = this->CoveredDigests;
  if (std::find(Known.begin(), Known.end(), PendingDigest) == Known.end())
    Known.push_back(PendingDigest);
  if (Known.size() > MostCoveredDigests)
    Known.pop_front();
  this->retry();
}

void FreshnessTracker::noteSynchronised() {
  this->Synchronised = true;
  const Member &Self = this->Members.self();
  this->Members.setSynchronised(Self.Name, Self.Incarnation);
}

bool FreshnessTracker::mayStartCold(Clock::time_point Now) const {
  for (const MemberEntry *Entry : this->Members.counted()) {
    if (Entry->Record.Name == this->Members.self().Name)
      continue;
    if (Entry->Synchronised || Entry->HeardAt < Now - FreshnessLimit)
      return false;
  }
  return true;
}

void FreshnessTracker::noteRead(Clock::time_point Start,
                                const ControlVersions &Seen) {
  this->WaitingReads.emplace_back(Start, Seen);
  if (this->WaitingReads.size() > MostWaitingReads)
    this->WaitingReads.pop_front();
  this->retry();
}

std::optional<Clock::time_point> FreshnessTracker::readStart() const {
  return this->ReadStart;
}

std::optional<HeadRead> FreshnessTracker::readFor(Clock::time_point Now) const {
  if (!this->ReadStart)
    return std::nullopt;
  return HeadRead{Now - *this->ReadStart, this->ReadSeen};
}

bool FreshnessTracker::covers(const ControlStamp &Stamp) const {
  if (!this->Held.Versions.covers(Stamp.Versions))
    return false;
  return Stamp.PendingDigest.empty() ||
         std::find(this->CoveredDigests.begin(), this->CoveredDigests.end(),
                   Stamp.PendingDigest) != this->CoveredDigests.end();
}

bool FreshnessTracker::offer(Evidence Item) {
  if (this->covers(Item.Stamp)) {
    this->credit(Item);
    return true;
  }
  const std::string Sender = Item.Sender;
  this->Waiting[Sender] = std::move(Item);
  return false;
}

void FreshnessTracker::retry() {
  for (auto Next = this->Waiting.begin(); Next != this->Waiting.end();) {
    if (!this->covers(Next->second.Stamp)) {
      ++Next;
      continue;
    }
    this->credit(Next->second);
    Next = this->Waiting.erase(Next);
  }
  for (auto Next = this->WaitingReads.begin();
       Next != this->WaitingReads.end();) {
    if (!this->Held.Versions.covers(Next->second)) {
      ++Next;
      continue;
    }
    if (!this->ReadStart || *this->ReadStart < Next->first) {
      this->ReadStart = Next->first;
      this->ReadSeen = Next->second;
    }
    Next = this->WaitingReads.erase(Next);
  }
}

void FreshnessTracker::credit(const Evidence &Item) {
  this->Members.heard(Item.Sender, Item.Incarnation, Item.SentAt);
  for (const ZoneStatus &Zone : Item.Zones) {
    // Ages of other members than the known ones would vouch for a member
    // that the sender does not count.
    if (Zone.MemberDigest != this->Members.zoneDigest(Zone.Zone))
      continue;
    for (const MemberEntry *Entry : this->Members.countedIn(Zone.Zone)) {
      const Member &Record = Entry->Record;
      const ZoneStatus::Exception *Own = findException(Zone, Record.Name);
      const Clock::duration Age = Own ? Own->Age : Zone.OldestAge;
      this->Members.heard(Record.Name, Record.Incarnation, Item.SentAt - Age);
      this->Members.acknowledge(Record.Name, Record.Incarnation,
                                Own ? Own->Acknowledged : Zone.Acknowledged);
      if (Own ? Own->Synchronised : Zone.Synchronised)
        this->Members.setSynchronised(Record.Name, Record.Incarnation);
    }
  }
}

Clock::time_point FreshnessTracker::proofB() const {
  if (this->ProofBRevision == this->Members.revision())
    return this->ProofBUntil;
  Clock::time_point Oldest = Clock::time_point::max();
  bool AnyOther = false;
  for (const MemberEntry *Entry : this->Members.counted()) {
    if (Entry->Record.Name == this->Members.self().Name)
      continue;
    AnyOther = true;
    Oldest = std::min(Oldest, Entry->HeardAt);
  }
  // The last counted member has nobody to hear from and cannot go stale.
  const bool Never = Oldest == Clock::time_point::min();
  this->ProofBUntil = !AnyOther || Never ? Oldest : Oldest + FreshnessLimit;
  this->ProofBRevision = this->Members.revision();
  return this->ProofBUntil;
}

Clock::time_point FreshnessTracker::validUntil() const {
  if (!this->Synchronised || this->Members.isDisowned())
    return Clock::time_point::min();
  const Clock::time_point ByMembers = this->proofB();
  if (!this->ReadStart)
    return ByMembers;
  return std::max(ByMembers, *this->ReadStart + FreshnessLimit);
}

} // namespace rr
