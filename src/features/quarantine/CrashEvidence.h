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

  /// A connection ended without an answer to the request that was sent at
  /// \p Started. Returns a crash when enough requests on the server ended at
  /// this moment, or when the request died in a crash already known.
  std::optional<Crash> connectionEnded(const std::string &Fingerprint,
                                       const std::string &Server,
                                       Clock::time_point Started,
                                       Clock::time_point Now);
  /// A new connection to the server was refused. Returns a crash when
  /// requests died there shortly before.
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
