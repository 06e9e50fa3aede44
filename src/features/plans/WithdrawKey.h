#ifndef REDWINGRACK_PLANS_WITHDRAWKEY_H
#define REDWINGRACK_PLANS_WITHDRAWKEY_H

#include <string>

namespace rr {

/// Intent: let a key act for nobody from now on.
struct WithdrawKey {
  /// SHA-256 of the key, 64 hexadecimal characters.
  std::string KeyHash;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_WITHDRAWKEY_H
