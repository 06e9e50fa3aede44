#ifndef REDWINGRACK_QUARANTINE_CRASHEVIDENCE_H
#define REDWINGRACK_QUARANTINE_CRASHEVIDENCE_H

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rr {

/// Distinguishes a server crash from a lost connection by the connection ends
/// and refusals that the server's owner observes. The number of servers and of
/// requests per server is bounded.
class CrashEvidence {
public:
  struct Crash {
    /// The same for all requests of one crash.
    std::string Id;
    /// Fingerprints of requests lost in the crash and not yet reported.
    std::vector<std::string> Fingerprints;
  };

  /// \p Source makes crash ids unique: instance name and incarnation.
  explicit CrashEvidence(std::string Source);

  /// Reports a connection that ended before the request sent at \p Started was
  /// answered. Returns a crash if at least three requests on the server were
  /// lost within 100 ms, or if the request was sent before the last known crash
  /// of the server; otherwise std::nullopt.
  std::optional<Crash> connectionEnded(const std::string &Fingerprint,
                                       const std::string &Server,
                                       Clock::time_point Started,
                                       Clock::time_point Now);
  /// Reports that the server refused a new connection. Returns a crash if
  /// unreported requests were lost on the server within the last 2 s; otherwise
  /// std::nullopt.
  std::optional<Crash> connectionRefused(const std::string &Server,
                                         Clock::time_point Now);

private:
  struct LostRequest {
    std::string Fingerprint;
    Clock::time_point Started;
    Clock::time_point Time;
    bool Reported = false;
  };
  struct ServerState {
    std::deque<LostRequest> LostRequests;
    std::string CrashId;
    Clock::time_point CrashTime;

    bool lostInLastCrash(Clock::time_point Started) const {
      return !this->CrashId.empty() && Started <= this->CrashTime;
    }
  };

  std::optional<Crash> report(ServerState &State, Clock::duration Window,
                              Clock::time_point Now);
  void pruneExpired(Clock::time_point Now);

  std::string Source;
  std::uint64_t LastCrash = 0;
  std::map<std::string, ServerState> Servers;
};

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_CRASHEVIDENCE_H
