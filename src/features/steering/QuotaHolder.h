#ifndef REDWINGRACK_STEERING_QUOTAHOLDER_H
#define REDWINGRACK_STEERING_QUOTAHOLDER_H

#include <string>
#include <vector>

namespace rr {

/// Which of \p Candidates holds a workspace's rate: the same for all instances
/// that know the same ones, and another one for other workspaces. Empty when
/// there is none.
std::string chooseQuotaHolder(const std::vector<std::string> &Candidates,
                              const std::string &Workspace);

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTAHOLDER_H
