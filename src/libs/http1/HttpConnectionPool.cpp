#include "http1/HttpConnectionPool.h"

#include "base/Errc.h"
#include "http1/Endpoint.h"

#include <algorithm>

namespace rr {

HttpConnectionPool::HttpConnectionPool(asio::io_context &Io,
                                       std::size_t MaxIdle, ParserLimits Limits)
    : Context(Io), MaxIdlePerAddress(MaxIdle), ResponseLimits(Limits) {}

void HttpConnectionPool::setBudget(std::shared_ptr<ConnectionBudget> Shared,
                                   ConnectionUse Purpose) {
  this->Budget = std::move(Shared);
  this->Use = Purpose;
}

bool HttpConnectionPool::closeAnyIdle() {
  for (auto &Item : this->IdleConnections)
    if (!Item.second.empty()) {
      Item.second.back()->close();
      Item.second.pop_back();
      --this->IdleCount;
      return true;
    }
  return false;
}

std::shared_ptr<HttpConnection> HttpConnectionPool::makeConnection() {
  if (!this->Budget)
    return std::make_shared<HttpConnection>(this->Context);
  auto Slot = this->Budget->tryTake(this->Use);
  if (!Slot && this->closeAnyIdle())
    Slot = this->Budget->tryTake(this->Use);
  return Slot ? std::make_shared<HttpConnection>(this->Context, std::move(Slot))
              : nullptr;
}

std::shared_ptr<HttpConnection>
HttpConnectionPool::takeIdle(const std::string &Address) {
  const auto Found = this->IdleConnections.find(Address);
  if (Found == this->IdleConnections.end())
    return nullptr;
  auto &Connections = Found->second;
  while (!Connections.empty()) {
    auto Connection = std::move(Connections.back());
    Connections.pop_back();
    --this->IdleCount;
    if (Connection->isReusable())
      return Connection;
  }
  return nullptr;
}

asio::awaitable<ExchangeResult> HttpConnectionPool::call(Call Parameters) {
  ExchangeResult Result;
  if (Parameters.Cancel && Parameters.Cancel->isCancelled()) {
    Result.Error = make_error_code(Errc::Cancelled);
    co_return Result;
  }
  auto Connection = this->takeIdle(Parameters.Address);
  const bool Reused = Connection != nullptr;
  std::optional<Clock::duration> ConnectTime;
  if (!Connection) {
    const auto Server = parseEndpoint(Parameters.Address);
    if (!Server) {
      Result.Error = make_error_code(Errc::Malformed);
      co_return Result;
    }
    Connection = this->makeConnection();
    if (!Connection) {
      Result.Error = make_error_code(Errc::LimitReached);
      co_return Result;
    }
    if (Parameters.MaxUnacknowledged)
      Connection->discardUnsentOnClose(*Parameters.MaxUnacknowledged);
    const Clock::time_point Start = Clock::now();
    Result.Error = co_await Connection->connect(
        *Server, std::min(Parameters.ConnectDeadline, Parameters.Deadline));
    if (Result.Error)
      co_return Result;
    ConnectTime = Clock::now() - Start;
  }
  if (Parameters.MayWrite && !Parameters.MayWrite()) {
    if (Reused)
      this->keepIdle(Parameters.Address, std::move(Connection));
    else
      Connection->close();
    Result.Error = make_error_code(Errc::Cancelled);
    Result.ConnectTime = ConnectTime;
    co_return Result;
  }
  Result = co_await Connection->exchange(
      Parameters.Request, Parameters.Deadline, Parameters.Cancel,
      std::move(Parameters.Accepts), this->ResponseLimits);
  Result.Reused = Reused;
  Result.ConnectTime = ConnectTime;
  if (!Result.Error && Connection->isReusable())
    this->keepIdle(Parameters.Address, std::move(Connection));
  co_return Result;
}

void HttpConnectionPool::keepIdle(const std::string &Address,
                                  std::shared_ptr<HttpConnection> Connection) {
  auto &Connections = this->IdleConnections[Address];
  const bool HasRoom =
      !this->Budget ||
      this->IdleCount < this->Budget->guaranteed(this->Use) / 2;
  if (!HasRoom || Connections.size() >= this->MaxIdlePerAddress) {
    Connection->close();
    return;
  }
  Connections.push_back(std::move(Connection));
  ++this->IdleCount;
}

asio::awaitable<std::error_code>
HttpConnectionPool::tryConnect(std::string Address,
                               Clock::time_point Deadline) {
  const auto Server = parseEndpoint(Address);
  if (!Server)
    co_return make_error_code(Errc::Malformed);
  const auto Connection = this->makeConnection();
  if (!Connection)
    co_return make_error_code(Errc::LimitReached);
  const auto Error = co_await Connection->connect(*Server, Deadline);
  Connection->close();
  co_return Error;
}

void HttpConnectionPool::closeIdle(const std::string &Address) {
  const auto Found = this->IdleConnections.find(Address);
  if (Found == this->IdleConnections.end())
    return;
  this->IdleCount -= Found->second.size();
  this->IdleConnections.erase(Found);
}

void HttpConnectionPool::clear() {
  this->IdleConnections.clear();
  this->IdleCount = 0;
}

void HttpConnectionPool::closeExpired() {
  for (auto Item = this->IdleConnections.begin();
       Item != this->IdleConnections.end();) {
    auto &Connections = Item->second;
    this->IdleCount -= std::erase_if(Connections, [](const auto &Connection) {
      return !Connection->isReusable();
    });
    Item = Connections.empty() ? this->IdleConnections.erase(Item)
                               : std::next(Item);
  }
}

} // namespace rr
