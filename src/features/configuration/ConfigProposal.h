#ifndef REDWINGRACK_CONFIGURATION_CONFIGPROPOSAL_H
#define REDWINGRACK_CONFIGURATION_CONFIGPROPOSAL_H

#include "base/Outcome.h"
#include "model/FleetConfig.h"
#include "platform/Platform.h"

#include <string>
#include <vector>

namespace rr {

/// A change of the configuration by an operator.
struct ConfigProposal {
  /// The version that the change was made from.
  std::uint64_t BaseVersion = 0;
  /// Its version number is set by proposeChange().
  FleetConfig Next;
  /// Rows that are to be written with it, such as the plan.
  Transaction AdditionalWrites;
};

struct ProposalResult {
  /// The new version. Errc::Conflict when the configuration is no longer at
  /// the base version, or when a condition of ConfigProposal::AdditionalWrites
  /// does not hold; Errc::Unavailable when nothing was changed because the
  /// store is down; Errc::Unknown when the store cannot tell; Errc::Malformed.
  Outcome<std::uint64_t> Version = failure(Errc::Unavailable);
  /// After a conflict: what changed since the base version. After
  /// Errc::Malformed: the mistakes.
  std::vector<std::string> Details;
};

/// Makes the change a new version, on condition that the configuration is
/// still at the base version. Of several that race one succeeds.
asio::awaitable<ProposalResult> proposeChange(const Platform &Store,
                                              ConfigProposal Proposal);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGPROPOSAL_H
