#ifndef REDWINGRACK_LIMITS_GRANTRESULT_H
#define REDWINGRACK_LIMITS_GRANTRESULT_H

namespace rr {

/// What became of a received grant.
enum class GrantResult {
  Added,
  Duplicate,
  /// Of an epoch before the own one, whose shares were divided anew.
  OlderEpoch,
  /// Of an epoch that is not adopted yet. The caller fetches the epoch and
  /// passes the same grant again.
  NewerEpoch,
  /// For another holder, or for this instance before its restart.
  WrongReceiver,
  UnknownWorkspace,
  Malformed,
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_GRANTRESULT_H
