#ifndef REDWINGRACK_GATEWAY_STEERINGINSTANCE_H
#define REDWINGRACK_GATEWAY_STEERINGINSTANCE_H

#include "base/Outcome.h"
#include "base/Timer.h"
#include "gateway/BackendRegistry.h"
#include "gateway/Gateway.h"
#include "gateway/MemberRegistry.h"
#include "gateway/MoveKeeper.h"
#include "gateway/OrderRegistry.h"
#include "gateway/PlatformCodec.h"
#include "gateway/SteeringState.h"
#include "gateway/TableStore.h"
#include "gateway/TableWatch.h"
#include "http1/HttpServer.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <string>

namespace rr {

/// One instance on a platform: listens to callers, follows the platform's
/// tables and forwards requests.
class SteeringInstance {
public:
  SteeringInstance(asio::io_context &Context, const GatewaySettings &Settings,
                   TableStore Store, PlatformCodec Codec);

  /// Listens and begins to read. Errc::Unavailable or Errc::Malformed for an
  /// address that cannot be used.
  Outcome<void> start();
  /// Leaves the look-up, finishes what runs and then calls \p Done.
  void beginStop(std::function<void()> Done);
  /// Takes bounds that changed; names and addresses stay.
  void setBounds(const SteeringBounds &Bounds);

  const SteeringState &state() const { return this->State; }
  std::uint16_t callerPort() const { return this->Callers.port(); }
  std::uint16_t lookupPort() const { return this->Lookups.port(); }
  bool isReady() const;

private:
  asio::awaitable<HttpMessage> answerCaller(HttpMessage Request,
                                            CancellationPtr Cancel);
  /// Takes a standby into service, with entries that are not old.
  asio::awaitable<void> leaveStandby();
  asio::awaitable<HttpMessage> answerReadiness(HttpMessage Request);
  asio::awaitable<HttpMessage> answerLookup(HttpMessage Request);
  asio::awaitable<void> announce();
  asio::awaitable<void> maintain();
  asio::awaitable<void> finish(std::function<void()> Done);
  /// Asks the active instances in the caller's place.
  asio::awaitable<Outcome<HttpMessage>> askActive(HttpMessage Request);
  void applyPace(bool Busy);
  void reviewStandby(Clock::time_point Now);
  void applyLimits(const ClientLimits &Limits);

  asio::io_context &Context;
  TableStore Store;
  PlatformCodec Codec;
  SteeringState State;
  Gateway Requests;
  /// To the look-ups of other instances.
  LinkPool Peers;
  HttpServer Callers;
  HttpServer Readiness;
  HttpServer Lookups;
  OrderRegistry Orders;
  BackendRegistry Backends;
  MemberRegistry Members;
  MoveKeeper Moves;
  TableWatch OrderTable;
  TableWatch BackendTable;
  TableWatch MemberTable;
  /// Wakes announce() early.
  Timer AnnounceTimer;
  bool Stopped = false;
  bool WasReady = false;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGINSTANCE_H
