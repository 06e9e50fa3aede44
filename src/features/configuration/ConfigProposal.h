#ifndef REDWINGRACK_CONFIGURATION_CONFIGPROPOSAL_H
#define REDWINGRACK_CONFIGURATION_CONFIGPROPOSAL_H

#include "base/Outcome.h"
#include "model/FleetConfig.h"
#include "platform/Platform.h"

#include <string>
#include <vector>

namespace rr {

/// A configuration change proposed by an operator.
struct ConfigProposal {
  /// The version that the change is based on.
  std::uint64_t BaseVersion = 0;
  /// The new configuration; proposeChange() sets its version number.
  FleetConfig Next;
  /// Rows written in the same transaction, such as the plan.
  Transaction AdditionalWrites;
};

struct ProposalResult {
  /// The new version, or one of these errors:
  /// - Errc::Conflict: the configuration is no longer at the base version, or a
  ///   condition of ConfigProposal::AdditionalWrites does not hold.
  /// - Errc::Unavailable: the store is down; nothing was changed.
  /// - Errc::Unknown: the outcome of the commit could not be determined.
  /// - Errc::Malformed: the proposal or the row control/head is invalid.
  Outcome<std::uint64_t> Version = failure(Errc::Unavailable);
  /// After Errc::Conflict, the changes since the base version; after
  /// Errc::Malformed, the errors in the proposal.
  std::vector<std::string> Details;
};

/// Commits the change as a new version, provided that the configuration is
/// still at the base version. Of several concurrent proposals with the same
/// base version, only one succeeds.
asio::awaitable<ProposalResult> proposeChange(const Platform &Store,
                                              ConfigProposal Proposal);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGPROPOSAL_H
