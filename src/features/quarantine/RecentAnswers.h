#ifndef REDWINGRACK_QUARANTINE_RECENTANSWERS_H
#define REDWINGRACK_QUARANTINE_RECENTANSWERS_H

#include "base/Clock.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace rr {

/// Fingerprints of the requests that servers answered within the last seconds,
/// until this instance would have heard of a crash that happened meanwhile.
class RecentAnswers {
public:
  void add(const std::string &Fingerprint, Clock::time_point Now);
  /// Whether the request was answered after \p Time, as far as it is known.
  bool answeredSince(const std::string &Fingerprint,
                     Clock::time_point Time) const;

private:
  void expire(Clock::time_point Now);

  /// Time of the last answer.
  std::map<std::string, Clock::time_point> LastAnswers;
  std::deque<std::pair<Clock::time_point, std::string>> Order;
};

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_RECENTANSWERS_H
