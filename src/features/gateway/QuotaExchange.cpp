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
const std::string TransferMethod = "quota.pass";
const std::string LinkUser = "quota";

/// Time between two transfers of surplus tokens.
constexpr Clock::duration TransferPeriod = std::chrono::milliseconds(200);
/// Longest time that a request waits for the holder; several round trips within
/// a region.
constexpr Clock::duration AskTimeout = std::chrono::milliseconds(200);
/// A holder that did not answer is not asked again for this long.
constexpr Clock::duration HolderBackoff = std::chrono::milliseconds(500);
/// A holder without tokens is not asked again for this long, so that not every
/// request over the rate causes a call.
constexpr Clock::duration MinEmptyBackoff = std::chrono::milliseconds(20);
constexpr Clock::duration MaxEmptyBackoff = std::chrono::milliseconds(200);

} // namespace

QuotaExchange::QuotaExchange(SteeringState &SharedState,
                             PeerLinks &InstanceLinks, Metrics &InstanceMetrics)
    : State(SharedState), Links(InstanceLinks), Counters(InstanceMetrics) {
  this->Links.onCall(
      AskMethod, [this](const IncomingCall &Call) { this->handleAsk(Call); });
  this->Links.onMessage(TransferMethod,
                        [this](const std::string &Peer, const Message &Text) {
                          this->receiveTokens(Peer, Text);
                        });
}

bool QuotaExchange::useQuotaShare() {
  const ShareEligibility &Share = this->State.QuotaParticipation;
  if (this->State.Standby || !Share.mayUseShare(bootTime()))
    return false;
  this->State.Quotas.beginTenure(Share.tenure(), Share.wasRedistributed(),
                                 Clock::now());
  return true;
}

QuotaDecision QuotaExchange::noShare() { return {MaxEmptyBackoff, "no share"}; }

std::string QuotaExchange::holderFor(const std::string &Workspace,
                                     const std::string &Region) const {
  const auto Found = this->Holders.find(Region);
  return Found == this->Holders.end()
             ? std::string()
             : chooseQuotaHolder(Found->second, Workspace);
}

void QuotaExchange::countAsk(const char *Result) {
  this->Counters.add(Metric::SteeringQuotaAsks, {{"result", Result}});
}

asio::awaitable<QuotaDecision>
QuotaExchange::acquire(const SteeringWorkspace &Workspace) {
  if (Workspace.Rate > 0 && !this->useQuotaShare())
    co_return noShare();
  const Clock::time_point Now = Clock::now();
  QuotaDecision Local{
      this->State.Quotas.acquire(Workspace, this->State.Members,
                                 this->State.Settings.Bounds.Quota, Now),
      "local share"};
  if (Local.Wait == Clock::duration::zero())
    co_return Local;
  const std::string Holder =
      this->holderFor(Workspace.Name, this->State.Settings.Region);
  if (Holder.empty() || Holder == this->State.Settings.Name ||
      !this->Links.isLinked(Holder))
    co_return Local;
  const auto EmptyHolder = this->HolderEmptyUntil.find(Workspace.Name);
  if (EmptyHolder != this->HolderEmptyUntil.end() && Now < EmptyHolder->second)
    co_return QuotaDecision{EmptyHolder->second - Now,
                            Holder + " (recent refusal)"};
  const auto SkippedHolder = this->SkipHolderUntil.find(Holder);
  if (SkippedHolder != this->SkipHolderUntil.end() &&
      Now < SkippedHolder->second)
    co_return Local;
  co_return co_await this->askHolder(Workspace.Name, Holder, Local);
}

asio::awaitable<QuotaDecision> QuotaExchange::askHolder(std::string Workspace,
                                                        std::string Holder,
                                                        QuotaDecision Local) {
  const Clock::time_point Start = Clock::now();
  const QuotaRequest Request{Workspace,
                             this->State.Quotas.batchSize(Workspace, Start)};
  Message Call{AskMethod, encodeQuotaRequest(Request)};
  const auto Answer =
      co_await this->Links.call(Holder, std::move(Call), Start + AskTimeout);
  const Clock::time_point Now = Clock::now();
  const auto Grant = Answer ? decodeQuotaGrant(Answer->Body)
                            : tl::unexpected<std::error_code>(Answer.error());
  if (!Grant) {
    this->SkipHolderUntil[Holder] = Now + HolderBackoff;
    this->countAsk("failed");
    logEvent(Event::QuotaHolderSilent,
             {{"instance", Holder}, {"error", Grant.error().message()}});
    co_return Local;
  }
  if (Grant->Amount < OneRequest) {
    const Clock::duration Wait = std::max(Grant->Wait, MinEmptyBackoff);
    this->HolderEmptyUntil[Workspace] = Now + std::min(Wait, MaxEmptyBackoff);
    this->countAsk("empty");
    co_return QuotaDecision{Wait, Holder};
  }
  // The process may have been suspended until the others took over its share.
  if (!this->useQuotaShare()) {
    this->countAsk("late");
    co_return noShare();
  }
  this->countAsk("given");
  this->State.Quotas.deposit(Workspace, Grant->Amount - OneRequest);
  co_return QuotaDecision{Clock::duration::zero(), Holder};
}

void QuotaExchange::handleAsk(const IncomingCall &Call) {
  const auto Request = decodeQuotaRequest(Call.Request.Body);
  if (!Request) {
    Call.Answer(failure(Errc::Malformed));
    return;
  }
  // Other instances may use the share of this instance already.
  if (!this->useQuotaShare()) {
    Call.Answer(failure(Errc::Unavailable));
    return;
  }
  const QuotaGrant Grant = this->State.Quotas.grant(
      Request->Workspace, Request->Wanted, Clock::now());
  Call.Answer(Message{AskMethod, encodeQuotaGrant(Grant)});
}

void QuotaExchange::receiveTokens(const std::string &Peer,
                                  const Message &Received) {
  const auto Transfer = decodeQuotaTransfer(Received.Body);
  if (!Transfer) {
    this->Links.reportMalformed(Peer);
    return;
  }
  // Tokens that arrived while the process was suspended were sent before the
  // others took over its share.
  if (!this->useQuotaShare())
    return;
  for (const auto &[Workspace, Amount] : *Transfer)
    this->State.Quotas.deposit(Workspace, Amount);
}

void QuotaExchange::maintain(Clock::time_point Now) {
  if (Now < this->NextTransferAt || !this->State.Config ||
      !this->State.MembersKnown)
    return;
  this->NextTransferAt = Now + TransferPeriod;
  std::erase_if(this->SkipHolderUntil,
                [Now](const auto &Item) { return Item.second <= Now; });
  std::erase_if(this->HolderEmptyUntil,
                [Now](const auto &Item) { return Item.second <= Now; });
  this->updateHolders();
  this->sendSurplus(Now);
}

void QuotaExchange::updateHolders() {
  const GatewaySettings &Settings = this->State.Settings;
  this->Holders.clear();
  PeerLinks::Peers DesiredPeers;
  const auto Add = [&](const std::string &Region) {
    auto &Names = this->Holders[Region];
    for (const MemberRecord *Record :
         this->State.Members.quotaHolders(Region)) {
      Names.push_back(Record->Name);
      if (Record->Name != Settings.Name)
        DesiredPeers[Record->Name] = Record->PeerAddress;
    }
    return std::find(Names.begin(), Names.end(), Settings.Name) != Names.end();
  };
  if (this->useQuotaShare() && !Settings.PeerAddress.empty() &&
      Add(Settings.Region))
    for (const std::string &Region : this->State.Members.regions())
      if (Region != Settings.Region)
        Add(Region);
  this->Links.setDesiredPeers(LinkUser, std::move(DesiredPeers));
}

std::string QuotaExchange::withdrawSurplus(const SteeringWorkspace &Workspace,
                                           MicroRequests &Amount,
                                           Clock::time_point Now) {
  const GatewaySettings &Settings = this->State.Settings;
  const MemberView &Members = this->State.Members;
  std::string Receiver = this->holderFor(Workspace.Name, Settings.Region);
  QuotaRole Role = QuotaRole::Independent;
  if (!Receiver.empty())
    Role = Receiver == Settings.Name ? QuotaRole::Holder : QuotaRole::Member;
  this->State.Quotas.setRole(Workspace, Role, Settings.Region, Members,
                             Settings.Bounds.Quota, Now);
  if (Role == QuotaRole::Holder)
    Receiver = this->holderFor(
        Workspace.Name, Members.largestDeficitRegion(
                            Workspace.Name, Workspace.Rate, Settings.Region));
  if (!this->Links.isLinked(Receiver))
    return "";
  Amount = Role == QuotaRole::Holder
               ? this->State.Quotas.takeHolderSurplus(Workspace.Name, Now)
               : this->State.Quotas.takeMemberSurplus(Workspace.Name, Now);
  return Receiver;
}

void QuotaExchange::sendSurplus(Clock::time_point Now) {
  if (!this->useQuotaShare())
    return;
  std::map<std::string, QuotaTransfer> Transfers;
  for (const SteeringWorkspace &Workspace : this->State.Config->Workspaces) {
    if (!(Workspace.Rate > 0))
      continue;
    MicroRequests Amount = 0;
    const std::string Receiver = this->withdrawSurplus(Workspace, Amount, Now);
    if (Amount > 0)
      Transfers[Receiver][Workspace.Name] = Amount;
  }
  for (const auto &[Receiver, Transfer] : Transfers) {
    if (this->Links.send(Receiver,
                         {TransferMethod, encodeQuotaTransfer(Transfer)}))
      continue;
    for (const auto &[Workspace, Amount] : Transfer)
      this->State.Quotas.deposit(Workspace, Amount);
  }
}

} // namespace rr
