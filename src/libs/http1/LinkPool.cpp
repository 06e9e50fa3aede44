#include "http1/LinkPool.h"

#include "base/Errc.h"

#include <algorithm>
#include <charconv>

namespace rr {

namespace {

std::optional<asio::ip::tcp::endpoint> endpointOf(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  asio::error_code Error;
  const auto Ip = asio::ip::make_address(Address.substr(0, Colon), Error);
  std::uint16_t Port = 0;
  const char *const End = Address.data() + Address.size();
  const auto Read = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Error || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, Port);
}

} // namespace

LinkPool::LinkPool(asio::io_context &Io, std::size_t Kept, ParserLimits Limits)
    : Context(Io), KeptLinks(Kept), AnswerLimits(Limits) {}

std::shared_ptr<HttpLink> LinkPool::takeIdle(const std::string &Address) {
  const auto Found = this->Idle.find(Address);
  if (Found == this->Idle.end())
    return nullptr;
  auto &Links = Found->second;
  while (!Links.empty()) {
    auto Link = std::move(Links.back());
    Links.pop_back();
    if (Link->isReusable())
      return Link;
  }
  return nullptr;
}

asio::awaitable<ExchangeResult> LinkPool::call(Call Request) {
  ExchangeResult Result;
  if (Request.Cancel && Request.Cancel->isCancelled()) {
    Result.Error = make_error_code(Errc::Cancelled);
    co_return Result;
  }
  auto Link = this->takeIdle(Request.Address);
  const bool Reused = Link != nullptr;
  std::optional<Clock::duration> ConnectTime;
  if (!Link) {
    const auto Server = endpointOf(Request.Address);
    if (!Server) {
      Result.Error = make_error_code(Errc::Malformed);
      co_return Result;
    }
    Link = std::make_shared<HttpLink>(this->Context);
    const Clock::time_point Start = Clock::now();
    Result.Error = co_await Link->connect(
        *Server, std::min(Request.ConnectDeadline, Request.Deadline));
    if (Result.Error)
      co_return Result;
    ConnectTime = Clock::now() - Start;
  }
  Result =
      co_await Link->exchange(Request.Request, Request.Deadline, Request.Cancel,
                              std::move(Request.Accepts), this->AnswerLimits);
  Result.Reused = Reused;
  Result.ConnectTime = ConnectTime;
  if (!Result.Error && Link->isReusable()) {
    auto &Links = this->Idle[Request.Address];
    if (Links.size() < this->KeptLinks)
      Links.push_back(std::move(Link));
  }
  co_return Result;
}

void LinkPool::drop(const std::string &Address) { this->Idle.erase(Address); }

void LinkPool::dropExpired() {
  for (auto Item = this->Idle.begin(); Item != this->Idle.end();) {
    auto &Links = Item->second;
    std::erase_if(Links, [](const auto &Link) { return !Link->isReusable(); });
    Item = Links.empty() ? this->Idle.erase(Item) : std::next(Item);
  }
}

} // namespace rr
