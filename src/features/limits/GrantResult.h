#ifndef REDWINGRACK_LIMITS_GRANTRESULT_H
#define REDWINGRACK_LIMITS_GRANTRESULT_H

namespace rr {

/// Result of processing a received grant.
enum class GrantResult {
  Added,
  Duplicate,
  /// The grant belongs to an earlier epoch, whose shares have been
  /// redistributed.
  OlderEpoch,
  /// The grant belongs to an epoch that is not adopted yet. The caller fetches
  /// the epoch and passes the same grant again.
  NewerEpoch,
  /// The grant is for another holder, or for this instance before its restart.
  WrongReceiver,
  UnknownWorkspace,
  Malformed,
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_GRANTRESULT_H
