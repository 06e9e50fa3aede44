#include "gateway/StandbyForwarder.h"

#include "base/Errc.h"
#include "gateway/GatewayReplies.h"
#include "gateway/RequestAdmission.h"
#include "http1/MessageText.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace rr {

namespace {

/// Idle connections to another instance's look-up.
constexpr std::size_t KeptLookupLinks = 2;
constexpr Clock::duration LookupTime = std::chrono::milliseconds(300);
/// To another instance of the region; others can still be tried.
constexpr Clock::duration ConnectTime = std::chrono::milliseconds(200);
constexpr std::size_t MostTried = 3;
/// One that declined or could not be reached is passed over for this long.
constexpr Clock::duration AvoidTime = std::chrono::milliseconds(1500);
/// For a request that names no deadline.
constexpr Clock::duration LongestRequest = std::chrono::seconds(30);
/// The other instance ends the request at the route's limit, and its answer
/// is on the way then.
constexpr Clock::duration AnswerMargin = std::chrono::milliseconds(100);
constexpr std::size_t LargestAnswer = 64U << 20;
/// In requests that a standby forwards: the version of the configuration that
/// must be known.
const std::string ForwardedName = "Redwingrack-Forwarded";
/// In answers to them: the version of the configuration that was used.
const std::string VersionName = "Redwingrack-Configuration";
/// In the answer of an instance that does not serve such a request.
const std::string DeclinedName = "Redwingrack-Declined";

std::uint64_t versionOf(const std::string &Text) {
  std::uint64_t Version = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  return Version;
}

} // namespace

StandbyForwarder::StandbyForwarder(asio::io_context &Io,
                                   const SteeringState &Known)
    : State(Known), Lookups(Io, KeptLookupLinks, {}),
      // A request that may run once must not meet a connection that closes.
      Requests(Io, 0, ParserLimits{32U << 10, LargestAnswer, Known.BodyBytes}) {
}

Clock::duration StandbyForwarder::timeFor(const HttpMessage &Request) const {
  const Clock::duration Left =
      callerDeadline(Request, this->State.Settings.Headers)
          .value_or(LongestRequest);
  const std::string *Host = findHeader(Request.Headers, "Host");
  const SteeringRoute *Route =
      this->State.Config
          ? findRoute(*this->State.Config, Host ? *Host : "", Request.Target)
          : nullptr;
  return Route ? std::min(Left, Route->Timeout + AnswerMargin) : Left;
}

std::vector<std::string> StandbyForwarder::candidates(Clock::time_point Now) {
  const GatewaySettings &Settings = this->State.Settings;
  std::erase_if(this->AvoidedUntil,
                [Now](const auto &Item) { return Item.second <= Now; });
  auto Able = this->State.Members.nearbyAddresses(
      Settings.Zone, Settings.Region, &MemberRecord::Address);
  std::erase_if(Able, [this](const std::string &Address) {
    return this->AvoidedUntil.contains(Address);
  });
  if (!Able.empty())
    std::rotate(Able.begin(),
                Able.begin() + std::ptrdiff_t(this->NextStart++ % Able.size()),
                Able.end());
  return Able;
}

std::optional<std::uint64_t> StandbyForwarder::takeMark(HttpMessage &Request) {
  const std::string *Mark = findHeader(Request.Headers, ForwardedName);
  if (!Mark)
    return std::nullopt;
  const std::uint64_t Version = versionOf(*Mark);
  std::erase_if(Request.Headers, [](const HttpHeader &Field) {
    return equalIgnoreCase(Field.Name, ForwardedName);
  });
  return Version;
}

void StandbyForwarder::addVersion(HttpMessage &Answer, std::uint64_t Version) {
  // A backend server may use the same names for something else.
  std::erase_if(Answer.Headers, [](const HttpHeader &Field) {
    return equalIgnoreCase(Field.Name, VersionName) ||
           equalIgnoreCase(Field.Name, DeclinedName);
  });
  Answer.Headers.push_back({VersionName, std::to_string(Version)});
}

void StandbyForwarder::noteVersion(HttpMessage &Answer) {
  const std::string *Field = findHeader(Answer.Headers, VersionName);
  if (!Field)
    return;
  this->SeenVersion = std::max(this->SeenVersion, versionOf(*Field));
  std::erase_if(Answer.Headers, [](const HttpHeader &Item) {
    return equalIgnoreCase(Item.Name, VersionName);
  });
}

HttpMessage StandbyForwarder::declined() {
  HttpMessage Reply = plainReply(503, "this instance may have missed orders");
  Reply.Headers.push_back({DeclinedName, "1"});
  return Reply;
}

asio::awaitable<std::optional<HttpMessage>>
StandbyForwarder::forwardRequest(HttpMessage Request, CancellationPtr Cancel) {
  const Clock::time_point Start = Clock::now();
  const Clock::time_point Limit = Start + this->timeFor(Request);
  removeHopByHopHeaders(Request.Headers);
  if (this->State.Config)
    this->SeenVersion =
        std::max(this->SeenVersion, this->State.Config->Version);
  Request.Headers.push_back({ForwardedName, std::to_string(this->SeenVersion)});
  const std::vector<std::string> Able = this->candidates(Start);
  for (std::size_t I = 0; I < std::min(MostTried, Able.size()); ++I) {
    const std::string &Address = Able[I];
    LinkPool::Call Call;
    Call.Address = Address;
    Call.Request = Request;
    Call.ConnectDeadline = Clock::now() + ConnectTime;
    Call.Deadline = Limit;
    Call.Cancel = Cancel;
    auto Result = co_await this->Requests.call(std::move(Call));
    if (!Result.Error) {
      if (findHeader(Result.Answer.Headers, DeclinedName)) {
        this->AvoidedUntil[Address] = Clock::now() + AvoidTime;
        continue;
      }
      this->noteVersion(Result.Answer);
      removeHopByHopHeaders(Result.Answer.Headers);
      Result.Answer.KeepAlive = true;
      co_return std::move(Result.Answer);
    }
    if (Result.Error == make_error_code(Errc::Cancelled))
      co_return plainReply(499, "the caller has left");
    if (Result.Error == make_error_code(Errc::Timeout) &&
        Result.MayHaveBeenSent)
      co_return plainReply(504, "another instance did not answer in time");
    if (Result.MayHaveBeenSent)
      co_return plainReply(502, "another instance's answer was lost");
    this->AvoidedUntil[Address] = Clock::now() + AvoidTime;
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<HttpMessage>>
StandbyForwarder::forwardLookup(HttpMessage Request) {
  removeHopByHopHeaders(Request.Headers);
  const GatewaySettings &Settings = this->State.Settings;
  for (const std::string &Address : this->State.Members.nearbyAddresses(
           Settings.Zone, Settings.Region, &MemberRecord::LookupAddress)) {
    LinkPool::Call Call;
    Call.Address = Address;
    Call.Request = Request;
    Call.ConnectDeadline = Call.Deadline = Clock::now() + LookupTime;
    auto Result = co_await this->Lookups.call(std::move(Call));
    if (!Result.Error && Result.Answer.Status == 200) {
      removeHopByHopHeaders(Result.Answer.Headers);
      co_return std::move(Result.Answer);
    }
  }
  co_return std::nullopt;
}

} // namespace rr
