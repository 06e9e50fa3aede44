#include "gateway/MemberRegistry.h"

#include "base/Random.h"
#include "gateway/GatewayAttempt.h"
#include "gateway/MemberCodec.h"
#include "gateway/ServerLimitLog.h"
#include "logging/EventLog.h"
#include "steering/MoveReport.h"
#include "steering/RestoredMove.h"
#include "steering/ServerLimits.h"
#include "steering/StableHash.h"
#include "tables/BootTime.h"

#include <algorithm>

namespace rr {

namespace {

const std::string MemberPrefix = "instance/";
const std::string MovePrefix = "move/";
const std::string SecretKey = "secret";

/// Time after a read for which the estimate of the store's clock is advanced;
/// after that, the store counts as unavailable.
constexpr Clock::duration MaxReadGap = std::chrono::milliseconds(3500);
/// A read that is later than the read period by more than this counts as made
/// after a gap: the other instances may not have been able to write either.
constexpr Clock::duration MaxReadDelay = std::chrono::milliseconds(600);

/// Instances beside the leader that write a row which the store lost. The
/// leader, or one of these, may have started since and not know the row.
constexpr std::size_t LostRowWriters = 3;

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

/// Requests of this instance that are in flight at servers of other versions
/// than the target.
int inFlightAtOtherVersions(const SteeringState &State,
                            const std::string &Service,
                            const std::string &Target) {
  int Count = 0;
  for (const BackendPtr &Server : State.Backends.serversForService(Service))
    if (Server->Record.Version != Target)
      Count += Server->InFlight;
  return Count;
}

} // namespace

MemberRegistry::MemberRegistry(SteeringState &SharedState, std::string RunId)
    : State(SharedState), Incarnation(std::move(RunId)) {}

void MemberRegistry::applySnapshot(const TableRows &Rows) {
  const bool NewEra = this->State.MembersKnown && Rows.Version.Era > this->Era;
  this->Era = std::max(this->Era, Rows.Version.Era);
  this->KnownBefore = this->State.Members.records();
  this->State.Members.clear();
  this->readOwnRowVersion(Rows);
  this->LostMembers.beginRead(NewEra);
  if (NewEra)
    this->beginEra();
  this->applyChanges(Rows);
  for (const auto &Item : this->LostMembers.endRead(
           this->KnownBefore, this->State.Members.records(), Rows.StoreTime))
    this->State.Members.apply(Item.second);
  this->KnownBefore.clear();
  this->State.MembersKnown = true;
  if (!NewEra)
    return;
  this->logLostRows();
  if (this->Restored)
    this->Restored();
}

void MemberRegistry::beginEra() {
  this->SecretLost = !this->State.PeerSecret.empty();
  this->SecretVersion = NoRow;
  for (auto &[Service, Version] : this->MoveVersions) {
    Version = {this->Era, 0};
    this->LostMoves.insert(Service);
  }
}

void MemberRegistry::logLostRows() const {
  if (this->SecretLost || !this->LostMoves.empty())
    logEvent(Event::RestoredRowsOlder,
             {{"kind", "secret and moves"},
              {"secret", this->SecretLost ? "1" : "0"},
              {"moves", std::to_string(this->LostMoves.size())}});
}

bool MemberRegistry::hasRowsToWriteAgain() const {
  return (this->LastRowEra && *this->LastRowEra < this->Era) ||
         this->SecretLost || this->hasLostMoves();
}

void MemberRegistry::applyChanges(const TableRows &Rows) {
  const Clock::time_point Now = bootTime();
  const bool First = this->ReadAt == Clock::time_point{};
  this->ReadStoreTime = Rows.StoreTime;
  this->ReadAt = Clock::now();
  this->State.Members.recordRead(Rows.StoreTime,
                                 First || Now - this->ReadAtBoot >
                                              this->ReadPeriod + MaxReadDelay);
  this->ReadAtBoot = Now;
  this->StoreTimes.record(Rows.StoreTime, Now);
  for (const TableRow &Row : Rows.Rows)
    this->apply(Row);
  const auto &Records = this->State.Members.records();
  const auto Own = Records.find(this->State.Settings.Name);
  if (First && Own != Records.end() && !Own->second.Standby)
    this->State.QuotaParticipation.recordExistingRow(
        Rows.StoreTime - Own->second.WrittenAt, Now);
}

bool MemberRegistry::isListedInService() const {
  if (this->LastRowInService)
    return true;
  const auto &Records = this->State.Members.records();
  const auto Own = Records.find(this->State.Settings.Name);
  return Own != Records.end() && !Own->second.Standby &&
         Own->second.WrittenAt + MemberView::RecordLifetime >
             this->State.Members.storeTime();
}

void MemberRegistry::recordOwnRowWritten(Clock::time_point Start, bool Standby,
                                         StoreVersion Version) {
  if (Version > this->OwnRowKnownAt)
    this->OwnRowVersion = this->OwnRowKnownAt = Version;
  if (this->LastRowEra && Version.Era > *this->LastRowEra)
    logEvent(
        Event::RowsWrittenAgain,
        {{"kind", "instance"}, {"rows", "1"}, {"version", Version.text()}});
  this->LastRowEra = Version.Era;
  this->LastRowInService = !Standby;
  if (Standby)
    this->State.QuotaParticipation.release();
  else
    this->State.QuotaParticipation.recordWrite(Start, bootTime(),
                                               this->isForgottenByOthers());
}

bool MemberRegistry::isForgottenByOthers() const {
  const MemberView &Members = this->State.Members;
  return Members.isForgottenByOthers() ||
         (bootTime() - this->ReadAtBoot > MaxReadGap &&
          Members.shareHolderCount() > 1);
}

void MemberRegistry::recordOwnRowVersion(const TableRow &Row) {
  if (Row.Version <= this->OwnRowKnownAt)
    return;
  this->OwnRowKnownAt = Row.Version;
  this->OwnRowVersion = Row.Deleted ? NoRow : Row.Version;
}

void MemberRegistry::readOwnRowVersion(const TableRows &Rows) {
  // A snapshot that another instance relays may be older than the last write.
  if (Rows.Version < this->OwnRowKnownAt)
    return;
  this->OwnRowKnownAt = Rows.Version;
  this->OwnRowVersion = NoRow;
  for (const TableRow &Row : Rows.Rows)
    if (Row.Key == MemberPrefix + this->State.Settings.Name && !Row.Deleted)
      this->OwnRowVersion = Row.Version;
}

bool MemberRegistry::isSucceeded() const {
  const auto &Records = this->State.Members.records();
  const auto Own = Records.find(this->State.Settings.Name);
  return this->State.Leaving && this->LastRowInService &&
         Own != Records.end() && Own->second.Incarnation != this->Incarnation;
}

const MemberRecord *MemberRegistry::findKnown(const std::string &Name) const {
  for (const auto *Known : {&this->State.Members.records(), &this->KnownBefore})
    if (const auto Found = Known->find(Name); Found != Known->end())
      return &Found->second;
  return nullptr;
}

MemberRecord MemberRegistry::newestOf(MemberRecord Row) const {
  const MemberRecord *Known = this->findKnown(Row.Name);
  if (!Known || !isReplacedBy(Row, *Known))
    return Row;
  logEvent(Event::OlderRowIgnored,
           {{"instance", Row.Name},
            {"sequence", std::to_string(Row.Sequence)},
            {"known", std::to_string(Known->Sequence)},
            {"age_ms", millisecondText(Known->WrittenAt - Row.WrittenAt)}});
  return *Known;
}

void MemberRegistry::advanceStoreTime(Clock::time_point Now) {
  const Clock::duration Passed = Now - this->ReadAt;
  if (this->State.MembersKnown && Passed < MaxReadGap)
    this->State.Members.setStoreTime(this->ReadStoreTime + Passed);
}

void MemberRegistry::apply(const TableRow &Row) {
  if (startsWith(Row.Key, MovePrefix))
    this->applyMove(Row);
  else if (startsWith(Row.Key, MemberPrefix))
    this->applyMember(Row);
  else if (Row.Key == SecretKey && !Row.Deleted)
    this->applySecret(Row);
}

void MemberRegistry::applyMember(const TableRow &Row) {
  const std::string Name = Row.Key.substr(MemberPrefix.size());
  if (Name == this->State.Settings.Name)
    this->recordOwnRowVersion(Row);
  if (Row.Deleted) {
    if (const MemberRecord *Known = this->findKnown(Name))
      this->LostMembers.recordRemoval(*Known, this->ReadStoreTime);
    this->State.Members.remove(Name);
    return;
  }
  const auto Decoded = decodeMember(Row.Value);
  if (!Decoded || Decoded->Name != Name) {
    logEvent(Event::PeerMalformedMessage, {{"row", Row.Key}});
    return;
  }
  const MemberRecord *Known = this->findKnown(Name);
  if (this->LostMembers.isOutdated(*Decoded, Row.Version, Known)) {
    if (Known)
      this->State.Members.apply(MemberRecord(*Known));
    return;
  }
  this->LostMembers.recordRow(Name);
  const MemberRecord Record = this->newestOf(*Decoded);
  this->State.Members.apply(Record);
  if (Name == this->State.Settings.Name)
    return;
  this->State.NewestSeen.record(Record.Configuration, bootTime());
  for (const auto &[Id, Report] : Record.ServerLimits) {
    const BackendPtr Server = this->State.Backends.find(Id);
    if (Server && adoptLimit(*Server, Report, Clock::now()))
      logServerLimit(*Server, Name);
  }
  for (const auto &[Service, Text] : Record.Rollouts) {
    const auto Report = decodeMoveReport(Text);
    const auto Found = this->State.Versions.find(Service);
    if (!Report || Found == this->State.Versions.end())
      continue;
    if (Found->second.observe(Name + "/" + Record.Incarnation, *Report,
                              Clock::now()) &&
        this->VersionStopped)
      this->VersionStopped(Service);
  }
}

void MemberRegistry::applySecret(const TableRow &Row) {
  this->SecretVersion = Row.Version;
  // Links use the known secret. An instance that does not know it may have
  // written another one since the store lost it.
  if (this->SecretLost && Row.Value != this->State.PeerSecret)
    return;
  this->SecretLost = false;
  this->State.PeerSecret = Row.Value;
}

bool MemberRegistry::shouldWriteSecret(bool Leader) const {
  if (this->State.PeerSecret.empty())
    return Leader;
  return this->SecretLost &&
         (Leader || this->writesLostRow(stableHash(SecretKey)));
}

bool MemberRegistry::writesLostRow(std::uint64_t Item) const {
  return this->State.Members.isAmongTopRanked(Item, LostRowWriters);
}

void MemberRegistry::recordSecretWritten(StoreVersion Version) {
  if (Version < this->SecretVersion)
    return;
  this->SecretVersion = Version;
  if (this->SecretLost)
    logEvent(Event::RowsWrittenAgain,
             {{"kind", "secret"}, {"rows", "1"}, {"version", Version.text()}});
  this->SecretLost = false;
}

void MemberRegistry::applyMove(const TableRow &Row) {
  if (Row.Deleted)
    return;
  const auto Move = decodeVersionMove(Row.Value);
  if (!Move) {
    logEvent(Event::PeerMalformedMessage, {{"row", Row.Key}});
    return;
  }
  this->recordMoveWritten(*Move, Row.Version);
}

void MemberRegistry::recordMoveWritten(const VersionMove &Move,
                                       StoreVersion Version) {
  StoreVersion &KnownVersion = this->MoveVersions[Move.Service];
  if (Version <= KnownVersion)
    return;
  KnownVersion = Version;
  VersionSteering &Steering = this->State.Versions[Move.Service];
  if (!this->LostMoves.contains(Move.Service)) {
    Steering.adoptMove(Move);
    return;
  }
  const VersionMove Merged =
      Steering.move() ? mergeRestoredMove(*Steering.move(), Move) : Move;
  if (isSameMove(Merged, Move))
    this->LostMoves.erase(Move.Service);
  if (!Steering.move() || !isSameMove(Merged, *Steering.move()))
    Steering.adoptMove(Merged);
}

bool MemberRegistry::shouldWriteMoveAgain(const std::string &Service,
                                          bool Leader) const {
  return this->LostMoves.contains(Service) &&
         (Leader || this->writesLostRow(stableHash(MovePrefix + Service)));
}

MemberRecord MemberRegistry::ownRecord() const {
  const GatewaySettings &Settings = this->State.Settings;
  MemberRecord Record;
  Record.Name = Settings.Name;
  Record.Incarnation = this->Incarnation;
  Record.Address = Settings.CallerAddress;
  Record.Zone = Settings.Zone;
  Record.Region = Settings.Region;
  Record.LookupAddress = Settings.LookupAddress;
  Record.PeerAddress = Settings.PeerAddress;
  Record.Capacity = Settings.CpuShare;
  return Record;
}

TableWrite MemberRegistry::makeOwnRow(Clock::time_point Now) {
  // The row has expired: other instances may not have been able to write
  // theirs either.
  if (!this->State.Standby &&
      this->State.QuotaParticipation.isExpired(bootTime()))
    this->State.Members.restartStoreContact();
  MemberRecord Record = this->ownRecord();
  Record.Sequence = ++this->OwnSequence;
  // Not the view's estimate, which stops during an outage or a suspension: the
  // others would take the row for an expired one.
  Record.WrittenAt = this->StoreTimes.at(bootTime());
  Record.Standby = this->State.Standby;
  Record.Joining = !this->State.QuotaParticipation.mayUseShare(bootTime()) &&
                   this->isForgottenByOthers();
  Record.StoreContactSince = this->State.Members.storeContactSince();
  Record.Configuration = this->State.Config ? this->State.Config->Version : 0;
  Record.Leaving = this->State.Leaving;
  Record.Distressed = this->State.Distressed;
  Record.Demand = this->State.Quotas.demand(Now);
  forgetLapsedLimits(this->State.Backends, this->State.Members.storeTime());
  Record.ServerLimits =
      limitReports(this->State.Backends, this->State.Members.storeTime());
  for (const auto &[Service, Steering] : this->State.Versions) {
    auto Report = Steering.report();
    if (!Report)
      continue;
    Report->OldInFlight =
        inFlightAtOtherVersions(this->State, Service, Report->Target);
    Record.Rollouts[Service] = encodeMoveReport(*Report);
  }
  return {Table, MemberPrefix + Record.Name, encodeMember(Record),
          this->OwnRowVersion};
}

LoadNotice MemberRegistry::makeLoadNotice() {
  const GatewaySettings &Settings = this->State.Settings;
  this->LastNoticeAt = std::max(this->State.Members.storeTime(),
                                this->LastNoticeAt + Clock::duration(1));
  return {Settings.Name, this->Incarnation, Settings.Region, this->LastNoticeAt,
          this->State.Distressed};
}

TableWrite MemberRegistry::makeSecretRow() const {
  // A new secret must not replace one that was written meanwhile.
  if (this->State.PeerSecret.empty())
    return {Table, SecretKey, randomToken(), NoRow};
  return {Table, SecretKey, this->State.PeerSecret, this->SecretVersion};
}

TableWrite MemberRegistry::makeMoveRow(const VersionMove &Move) const {
  const auto KnownVersion = this->MoveVersions.find(Move.Service);
  return {Table, MovePrefix + Move.Service, encodeVersionMove(Move),
          KnownVersion == this->MoveVersions.end() ? NoRow
                                                   : KnownVersion->second};
}

} // namespace rr
