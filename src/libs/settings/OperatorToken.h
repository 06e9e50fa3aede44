#ifndef REDWINGRACK_SETTINGS_OPERATORTOKEN_H
#define REDWINGRACK_SETTINGS_OPERATORTOKEN_H

#include <string>

namespace rr {

/// Credential of an operator for the administration API.
struct OperatorToken {
  std::string Name;
  /// SHA-256 of the token, hexadecimal.
  std::string Sha256;
  /// May only read.
  bool ReadOnly = true;
};

} // namespace rr

#endif // REDWINGRACK_SETTINGS_OPERATORTOKEN_H
