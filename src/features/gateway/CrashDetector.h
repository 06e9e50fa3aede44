#ifndef REDWINGRACK_GATEWAY_CRASHDETECTOR_H
#define REDWINGRACK_GATEWAY_CRASHDETECTOR_H

#include "base/Clock.h"
#include "quarantine/LostRequest.h"
#include "steering/BackendPool.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <vector>

namespace rr {

class HttpConnectionPool;

/// Tells a crash of a server from a lost connection: after a request was lost,
/// a server that runs accepts a new connection.
class CrashDetector {
public:
  using CrashHandler = std::function<void(
      const BackendState &Server, const std::vector<LostRequest> &Lost)>;

  /// \p Context and \p Links must outlive the detector.
  CrashDetector(asio::io_context &Context, HttpConnectionPool &Links);

  /// Sets a handler that is called with the requests that were lost in a crash.
  void onCrash(CrashHandler Handler) { this->Crashed = std::move(Handler); }

  /// Records a request that \p Server did not answer. A new connection is tried
  /// for at most \p ConnectTime.
  void recordLoss(const BackendPtr &Server, LostRequest Lost,
                  Clock::duration ConnectTime);

private:
  asio::awaitable<void> check(BackendPtr Server, Clock::time_point Deadline);

  asio::io_context &Context;
  HttpConnectionPool &Links;
  CrashHandler Crashed;
  /// Requests lost with servers that are being checked.
  std::map<BackendPtr, std::vector<LostRequest>> LostByServer;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_CRASHDETECTOR_H
