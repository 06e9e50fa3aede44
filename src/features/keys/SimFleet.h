#ifndef REDWINGRACK_KEYS_SIMFLEET_H
#define REDWINGRACK_KEYS_SIMFLEET_H

#include "keys/Authentication.h"
#include "keys/ControlNode.h"
#include "testing/FakePlatform.h"
#include "testing/TestLoop.h"

#include <memory>
#include <string>
#include <vector>

namespace rr {

/// Several instances in zones, with a network and a store that fail on
/// demand. For tests only.
class SimFleet {
public:
  enum class Process { Running, Paused, Ended, HostSilent };

  struct Instance {
    std::unique_ptr<ControlNode> Node;
    Process State = Process::Ended;
    bool StoreCut = false;
    /// Instances in different groups cannot reach each other.
    int Group = 0;
    std::uint64_t Incarnation = 0;
  };

  struct Withdrawal {
    KeyHash Hash;
    std::string Key;
    std::size_t TakenBy = 0;
    /// When the operator was told that it is accepted.
    std::optional<Clock::time_point> AcceptedAt;
  };

  /// Stores \p Keys keys and starts \p Count instances.
  SimFleet(std::size_t Count, std::size_t Keys, std::size_t PerZone = 2);

  void start(std::size_t Index);
  void end(std::size_t Index, bool HostSilent = false);
  void withdraw(std::size_t Index, const std::string &Key);
  /// Advances in steps of 50 ms and checks after each one that no instance
  /// serves a withdrawn key for longer than 5 s.
  void advance(Clock::duration Time);

  /// Checks at this moment, before anything else happens.
  void check();

  Authentication::Verdict ask(std::size_t Index, const std::string &Key);
  bool allServe(const std::string &Key);
  std::string nameOf(std::size_t Index) const;

  TestLoop Loop;
  FakePlatform Store;
  std::vector<Instance> Instances;
  std::vector<Withdrawal> Withdrawals;
  Clock::duration Latency = std::chrono::milliseconds(20);
  /// First violation; empty when there is none.
  std::string Violation;
  /// Longest time that a key was served after its withdrawal was accepted.
  Clock::duration LongestServed{0};
  std::uint64_t Messages = 0;
  /// Configuration versions last seen, to notice one that reverts.
  std::vector<std::uint64_t> ConfigSeen;

private:
  std::size_t PerZone;
  asio::awaitable<Outcome<nlohmann::json>>
  deliver(std::size_t From, std::uint64_t Incarnation, std::string To,
          std::string Method, nlohmann::json Payload);
  asio::awaitable<void> waitWhilePaused(std::size_t Index);
  bool isSame(std::size_t Index, std::uint64_t Incarnation) const;

  /// Ended processes; their coroutines may still be waiting.
  std::vector<std::unique_ptr<ControlNode>> Ended;
};

} // namespace rr

#endif // REDWINGRACK_KEYS_SIMFLEET_H
