#ifndef REDWINGRACK_PLANS_ISSUEKEY_H
#define REDWINGRACK_PLANS_ISSUEKEY_H

#include <string>

namespace rr {

/// Intent: let a new key act for a workspace. The key itself is shown to the
/// operator only and is part of no row.
struct IssueKey {
  std::string Workspace;
  /// SHA-256 of the key, 64 hexadecimal characters.
  std::string KeyHash;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_ISSUEKEY_H
