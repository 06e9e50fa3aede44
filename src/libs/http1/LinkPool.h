#ifndef REDWINGRACK_HTTP1_LINKPOOL_H
#define REDWINGRACK_HTTP1_LINKPOOL_H

#include "base/Cancellation.h"
#include "http1/ExchangeResult.h"
#include "http1/HttpLink.h"
#include "http1/ParserLimits.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rr {

/// Kept connections to servers, by address.
class LinkPool {
public:
  struct Call {
    /// IP:PORT.
    std::string Address;
    HttpMessage Request;
    Clock::time_point ConnectDeadline;
    Clock::time_point Deadline;
    /// May be null.
    CancellationPtr Cancel;
    HttpLink::AnswerFilter Accepts;
  };

  /// \p KeptLinks bounds the idle connections to one address.
  LinkPool(asio::io_context &Context, std::size_t KeptLinks,
           ParserLimits AnswerLimits);

  /// Sends the request on a kept connection, or on a new one. Never sends it
  /// twice.
  asio::awaitable<ExchangeResult> call(Call Request);

  /// Ends the idle connections to an address.
  void drop(const std::string &Address);
  /// Ends the idle connections that their server closes soon.
  void dropExpired();
  /// Ends all idle connections.
  void clear() { this->Idle.clear(); }

private:
  std::shared_ptr<HttpLink> takeIdle(const std::string &Address);

  asio::io_context &Context;
  std::size_t KeptLinks;
  ParserLimits AnswerLimits;
  std::map<std::string, std::vector<std::shared_ptr<HttpLink>>> Idle;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_LINKPOOL_H
