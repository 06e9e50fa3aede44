#ifndef REDWINGRACK_PLANS_KEYCHANGE_H
#define REDWINGRACK_PLANS_KEYCHANGE_H

#include <string>

namespace rr {

/// Issue or withdrawal of one key.
struct KeyChange {
  std::string Hash;
  /// Empty for a withdrawal.
  std::string Workspace;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_KEYCHANGE_H
