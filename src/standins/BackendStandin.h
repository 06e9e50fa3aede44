#ifndef REDWINGRACK_STANDINS_BACKENDSTANDIN_H
#define REDWINGRACK_STANDINS_BACKENDSTANDIN_H

#include "base/Clock.h"
#include "httpserver/HttpListener.h"

#include <cstdint>
#include <map>
#include <string>

namespace rr {

/// A backend server for tests. Answers with what it received, counts the runs
/// of each order and shows faults that PUT /control sets.
class BackendStandin {
public:
  struct Options {
    std::string Name;
    std::string Service;
    std::string Version;
    std::uint32_t Slots = 4;
    std::chrono::milliseconds Latency{2};
  };

  BackendStandin(asio::io_context &Context, const ListenerSettings &Address,
                 Options Behaviour);

  std::uint16_t port() const { return this->Listener.port(); }

private:
  asio::awaitable<HttpResponse> handle(HttpServerRequest Request);
  asio::awaitable<HttpResponse> run(HttpServerRequest Request);
  HttpResponse handleControl(const HttpServerRequest &Request);
  HttpResponse report() const;
  void note(const HttpServerRequest &Request);

  Options Behaviour;
  std::uint32_t Running = 0;
  std::uint32_t MostRunning = 0;
  std::uint64_t Served = 0;
  std::uint64_t Shed = 0;
  /// Percent of requests that are answered with status 500.
  std::uint32_t FailPercent = 0;
  /// Path that ends the process; empty for none.
  std::string CrashPath;
  /// Path that is never answered; empty for none.
  std::string SilentPath;
  /// A caller's key that must not arrive; empty for none.
  std::string ForbiddenText;
  std::uint64_t ForbiddenSeen = 0;
  std::map<std::string, std::uint64_t> RunsByOrder;
  HttpListener Listener;
};

} // namespace rr

#endif // REDWINGRACK_STANDINS_BACKENDSTANDIN_H
