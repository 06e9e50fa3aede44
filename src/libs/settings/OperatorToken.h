#ifndef REDWINGRACK_SETTINGS_OPERATORTOKEN_H
#define REDWINGRACK_SETTINGS_OPERATORTOKEN_H

#include <string>

namespace rr {

/// Credential of an operator for the administration API.
struct OperatorToken {
  std::string Name;
  /// Hexadecimal SHA-256 hash of the token.
  std::string Sha256;
  /// Whether the operator may only read.
  bool ReadOnly = true;
};

} // namespace rr

#endif // REDWINGRACK_SETTINGS_OPERATORTOKEN_H
