#ifndef REDWINGRACK_PEERLINK_PEERTESTBED_H
#define REDWINGRACK_PEERLINK_PEERTESTBED_H

#include "peerlink/PeerNode.h"
#include "testing/TestLoop.h"

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace rr {

/// Creates nodes that communicate over the loopback interface, with a paused
/// clock. The kernel takes real time to deliver bytes, so waitFor() waits in
/// real time without advancing the clock.
struct PeerTestBed {
  TestLoop Loop;

  static PeerOptions options(const std::string &Name) {
    PeerOptions Result;
    Result.Name = Name;
    Result.Zone = "z1";
    Result.ListenAddress = "127.0.0.1:0";
    Result.SharedSecret = "secret";
    Result.JitterSeed = 7;
    return Result;
  }

  std::unique_ptr<PeerNode> node(PeerOptions Options) {
    auto Result =
        std::make_unique<PeerNode>(this->Loop.context(), std::move(Options));
    Result->onEvent(
        [this](const PeerEvent &Event) { this->Events.push_back(Event); });
    if (!Result->start())
      std::abort();
    return Result;
  }
  std::unique_ptr<PeerNode> node(const std::string &Name) {
    return this->node(options(Name));
  }

  static std::string address(std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }

  /// Waits up to 5 s of real time for \p Condition, without advancing the
  /// clock.
  bool waitFor(const std::function<bool()> &Condition) {
    for (int I = 0; I < 5000; ++I) {
      this->Loop.run();
      if (Condition())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
  }

  /// Advances the clock in steps, giving the kernel real time to deliver bytes
  /// in between.
  void advance(Clock::duration Time) {
    constexpr Clock::duration Step = std::chrono::milliseconds(100);
    for (; Time > Clock::duration::zero(); Time -= Step) {
      Clock::advance(std::min(Time, Step));
      this->Loop.run();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      this->Loop.run();
    }
  }

  /// Advances the clock in small steps until \p Condition holds, by at most
  /// \p Limit.
  bool advanceUntil(Clock::duration Limit,
                    const std::function<bool()> &Condition) {
    const auto End = Clock::now() + Limit;
    while (!Condition() && Clock::now() < End)
      this->advance(std::chrono::milliseconds(100));
    return Condition();
  }

  bool link(PeerNode &From, PeerNode &To, const std::string &ToName) {
    return From.connect(ToName, address(To.port())) &&
           this->waitFor([&] { return From.isLinked(ToName); });
  }

  bool saw(PeerEvent::Kind Type) const {
    for (const PeerEvent &Event : this->Events)
      if (Event.Type == Type)
        return true;
    return false;
  }
  bool saw(PeerEvent::Kind Type, LinkEndReason Reason) const {
    for (const PeerEvent &Event : this->Events)
      if (Event.Type == Type && Event.Reason == Reason)
        return true;
    return false;
  }

  std::vector<PeerEvent> Events;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERTESTBED_H
