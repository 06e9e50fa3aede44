#ifndef REDWINGRACK_STEERING_QUOTAHOLDER_H
#define REDWINGRACK_STEERING_QUOTAHOLDER_H

#include <string>
#include <vector>

namespace rr {

/// Chooses the holder of a workspace's tokens by rendezvous hashing: the same
/// on all instances with the same \p Candidates, and spread over the
/// workspaces. Empty without candidates.
std::string chooseQuotaHolder(const std::vector<std::string> &Candidates,
                              const std::string &Workspace);

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTAHOLDER_H
