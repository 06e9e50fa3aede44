#ifndef REDWINGRACK_QUARANTINE_CRASHGUARD_H
#define REDWINGRACK_QUARANTINE_CRASHGUARD_H

#include "quarantine/CrashEvidence.h"
#include "quarantine/SuspectMessage.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rr {

/// Blocks requests that repeatedly crash servers.
///
/// The owner of a server reports ended connections. The returned messages must
/// reach all instances before the caller gets its answer.
class CrashGuard {
public:
  enum class Verdict : std::uint8_t {
    Allowed,
    /// Run the request only on trialOwner(), between beginTrial() and
    /// endTrial().
    Suspect,
    /// 422 `not_run`, reason `request_blocked`.
    Blocked,
  };

  static constexpr Clock::duration SuspicionPeriod = std::chrono::minutes(10);
  static constexpr std::size_t MaxFingerprints = 4096;

  /// \p Source is the instance name with its incarnation.
  explicit CrashGuard(std::string Source);

  Verdict check(const std::string &Fingerprint, Clock::time_point Now) const;

  /// Begins the only run of a suspect, on \p Server. Returns false while the
  /// same suspect, or another one on that server, is running; the request then
  /// waits or is refused `not_run`. A trial expires at \p Deadline. Called by
  /// the trial owner, and by the server's owner.
  bool beginTrial(const std::string &Fingerprint, const std::string &Server,
                  Clock::time_point Deadline, Clock::time_point Now);
  void endTrial(const std::string &Fingerprint);

  /// Clears a suspect after the server answered the request in full. Returns
  /// the message to publish.
  std::optional<SuspectMessage> requestCompleted(const std::string &Fingerprint,
                                                 Clock::time_point Now);
  /// A connection ended without an answer to a request that was sent at
  /// \p Started. Before the caller is answered, the reporter tries a new
  /// connection to the server and reports a refusal. Returns the messages to
  /// publish.
  std::vector<SuspectMessage> connectionEnded(const std::string &Fingerprint,
                                              const std::string &Server,
                                              Clock::time_point Started,
                                              Clock::time_point Now);
  std::vector<SuspectMessage> connectionRefused(const std::string &Server,
                                                Clock::time_point Now);

  /// Merges a message received from another instance.
  void merge(const SuspectMessage &Received, Clock::time_point Now);
  /// Returns all unexpired records, for an instance that starts or reconnects.
  std::vector<SuspectMessage> snapshot(Clock::time_point Now) const;
  /// Clears a fingerprint on an operator's request. Returns the message to
  /// publish.
  std::optional<SuspectMessage> clear(const std::string &Fingerprint,
                                      Clock::time_point Now);

  std::size_t size() const { return this->Records.size(); }

private:
  struct Trial {
    std::string Server;
    Clock::time_point Deadline;
  };

  std::vector<SuspectMessage>
  recordCrash(const std::optional<CrashEvidence::Crash> &DetectedCrash,
              Clock::time_point Now);
  SuspectMessage mergeRecord(const std::string &Fingerprint,
                             const SuspectRecord &Update,
                             Clock::time_point Now);
  void evictExcessRecords(Clock::time_point Now);

  CrashEvidence Evidence;
  std::map<std::string, SuspectRecord> Records;
  std::map<std::string, Trial> Trials;
};

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_CRASHGUARD_H
