#include "gateway/QuotaExchange.h"

#include "gateway/SteeringState.h"
#include "links/PeerLinks.h"
#include "logging/EventLog.h"
#include "steering/QuotaHolder.h"
#include "tables/BootTime.h"

#include <algorithm>

namespace rr {

namespace {

const std::string AskMethod = "quota.ask";
const std::string PassMethod = "quota.pass";
const std::string LinkUser = "quota";

constexpr Clock::duration PassPeriod = std::chrono::milliseconds(200);
/// Several round trips in a region; a request waits no longer.
constexpr Clock::duration AskTime = std::chrono::milliseconds(200);
constexpr Clock::duration AvoidTime = std::chrono::milliseconds(500);
/// A workspace that has used up its rate does not ask for each request.
constexpr Clock::duration LeastEmptyTime = std::chrono::milliseconds(20);
constexpr Clock::duration LongestEmptyTime = std::chrono::milliseconds(200);

} // namespace

QuotaExchange::QuotaExchange(SteeringState &Known, PeerLinks &Shared,
                             Metrics &Totals)
    : State(Known), Links(Shared), Counters(Totals) {
  this->Links.onCall(AskMethod, [this](const IncomingCall &Call) {
    this->answerRequest(Call);
  });
  this->Links.onMessage(PassMethod,
                        [this](const std::string &Peer, const Message &Text) {
                          this->receiveTokens(Peer, Text);
                        });
}

bool QuotaExchange::sharesSums() const {
  return !this->State.Standby && this->State.Tenure.mayUseShare(bootTime());
}

std::string QuotaExchange::holderOf(const std::string &Workspace,
                                    const std::string &Region) const {
  const auto Found = this->Holders.find(Region);
  return Found == this->Holders.end()
             ? std::string()
             : chooseQuotaHolder(Found->second, Workspace);
}

void QuotaExchange::count(const char *Result) {
  this->Counters.add(Metric::SteeringQuotaAsks, {{"result", Result}});
}

asio::awaitable<QuotaVerdict>
QuotaExchange::take(const SteeringWorkspace &Workspace) {
  const Clock::time_point Now = Clock::now();
  QuotaVerdict Local{
      this->State.Quotas.acquire(Workspace, this->State.Members,
                                 this->State.Settings.Bounds.Quota, Now),
      "own part"};
  if (Local.Wait == Clock::duration::zero())
    co_return Local;
  const std::string Holder =
      this->holderOf(Workspace.Name, this->State.Settings.Region);
  if (Holder.empty() || Holder == this->State.Settings.Name ||
      !this->Links.isLinked(Holder))
    co_return Local;
  const auto Empty = this->EmptyUntil.find(Workspace.Name);
  if (Empty != this->EmptyUntil.end() && Now < Empty->second)
    co_return QuotaVerdict{Empty->second - Now, Holder + " a moment ago"};
  const auto Avoided = this->AvoidedUntil.find(Holder);
  if (Avoided != this->AvoidedUntil.end() && Now < Avoided->second)
    co_return Local;
  co_return co_await this->ask(Workspace.Name, Holder, Local);
}

asio::awaitable<QuotaVerdict> QuotaExchange::ask(std::string Workspace,
                                                 std::string Holder,
                                                 QuotaVerdict Local) {
  const Clock::time_point Start = Clock::now();
  const QuotaRequest Request{Workspace,
                             this->State.Quotas.batchSize(Workspace, Start)};
  Message Question{AskMethod, encodeQuotaRequest(Request)};
  const auto Answer =
      co_await this->Links.call(Holder, std::move(Question), Start + AskTime);
  const Clock::time_point Now = Clock::now();
  const auto Grant = Answer ? decodeQuotaGrant(Answer->Body)
                            : tl::unexpected<std::error_code>(Answer.error());
  if (!Grant) {
    this->AvoidedUntil[Holder] = Now + AvoidTime;
    this->count("failed");
    logEvent(Event::QuotaHolderSilent,
             {{"instance", Holder}, {"error", Grant.error().message()}});
    co_return Local;
  }
  if (Grant->Amount < OneRequest) {
    const Clock::duration Wait = std::max(Grant->Wait, LeastEmptyTime);
    this->EmptyUntil[Workspace] = Now + std::min(Wait, LongestEmptyTime);
    this->count("empty");
    co_return QuotaVerdict{Wait, Holder};
  }
  this->count("given");
  this->State.Quotas.deposit(Workspace, Grant->Amount - OneRequest);
  co_return QuotaVerdict{Clock::duration::zero(), Holder};
}

void QuotaExchange::answerRequest(const IncomingCall &Call) {
  const auto Request = decodeQuotaRequest(Call.Request.Body);
  if (!Request) {
    Call.Answer(failure(Errc::Malformed));
    return;
  }
  // Others may have gone on with this instance's part.
  if (!this->sharesSums()) {
    Call.Answer(failure(Errc::Unavailable));
    return;
  }
  const QuotaGrant Grant = this->State.Quotas.grant(
      Request->Workspace, Request->Wanted, Clock::now());
  Call.Answer(Message{AskMethod, encodeQuotaGrant(Grant)});
}

void QuotaExchange::receiveTokens(const std::string &Peer,
                                  const Message &Received) {
  const auto Parcel = decodeQuotaParcel(Received.Body);
  if (!Parcel) {
    this->Links.reportMalformed(Peer);
    return;
  }
  for (const auto &[Workspace, Amount] : *Parcel)
    this->State.Quotas.deposit(Workspace, Amount);
}

void QuotaExchange::maintain(Clock::time_point Now) {
  if (Now < this->NextPass || !this->State.Config || !this->State.MembersKnown)
    return;
  this->NextPass = Now + PassPeriod;
  std::erase_if(this->AvoidedUntil,
                [Now](const auto &Item) { return Item.second <= Now; });
  std::erase_if(this->EmptyUntil,
                [Now](const auto &Item) { return Item.second <= Now; });
  this->reviewHolders();
  this->passTokens(Now);
}

void QuotaExchange::reviewHolders() {
  const GatewaySettings &Settings = this->State.Settings;
  this->Holders.clear();
  PeerLinks::Peers Wanted;
  const auto Add = [&](const std::string &Region) {
    auto &Names = this->Holders[Region];
    for (const MemberRecord *Record :
         this->State.Members.quotaHolders(Region)) {
      Names.push_back(Record->Name);
      if (Record->Name != Settings.Name)
        Wanted[Record->Name] = Record->PeerAddress;
    }
    return std::find(Names.begin(), Names.end(), Settings.Name) != Names.end();
  };
  if (this->sharesSums() && !Settings.PeerAddress.empty() &&
      Add(Settings.Region))
    for (const std::string &Region : this->State.Members.regions())
      if (Region != Settings.Region)
        Add(Region);
  this->Links.want(LinkUser, std::move(Wanted));
}

std::string QuotaExchange::takeOut(const SteeringWorkspace &Workspace,
                                   MicroRequests &Amount,
                                   Clock::time_point Now) {
  const GatewaySettings &Settings = this->State.Settings;
  const MemberView &Members = this->State.Members;
  std::string Receiver = this->holderOf(Workspace.Name, Settings.Region);
  QuotaRole Role = QuotaRole::Independent;
  if (!Receiver.empty())
    Role = Receiver == Settings.Name ? QuotaRole::Holder : QuotaRole::Member;
  this->State.Quotas.setRole(Workspace, Role, Settings.Region, Members,
                             Settings.Bounds.Quota, Now);
  if (Role == QuotaRole::Holder)
    Receiver = this->holderOf(
        Workspace.Name, Members.largestDeficitRegion(
                            Workspace.Name, Workspace.Rate, Settings.Region));
  if (!this->Links.isLinked(Receiver))
    return "";
  Amount = Role == QuotaRole::Holder
               ? this->State.Quotas.takeHolderSurplus(Workspace.Name, Now)
               : this->State.Quotas.takeMemberSurplus(Workspace.Name, Now);
  return Receiver;
}

void QuotaExchange::passTokens(Clock::time_point Now) {
  if (!this->sharesSums())
    return;
  std::map<std::string, QuotaParcel> Parcels;
  for (const SteeringWorkspace &Workspace : this->State.Config->Workspaces) {
    if (!(Workspace.Rate > 0))
      continue;
    MicroRequests Amount = 0;
    const std::string Receiver = this->takeOut(Workspace, Amount, Now);
    if (Amount > 0)
      Parcels[Receiver][Workspace.Name] = Amount;
  }
  for (const auto &[Receiver, Parcel] : Parcels) {
    if (this->Links.send(Receiver, {PassMethod, encodeQuotaParcel(Parcel)}))
      continue;
    for (const auto &[Workspace, Amount] : Parcel)
      this->State.Quotas.deposit(Workspace, Amount);
  }
}

} // namespace rr
