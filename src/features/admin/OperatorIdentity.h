#ifndef REDWINGRACK_ADMIN_OPERATORIDENTITY_H
#define REDWINGRACK_ADMIN_OPERATORIDENTITY_H

#include "admin/OperatorRole.h"
#include "base/HttpHeader.h"

#include <string>
#include <vector>

namespace rr {

struct OperatorToken;

/// Who calls the administration API.
struct OperatorIdentity {
  std::string Name;
  OperatorRole Role = OperatorRole::None;
};

/// Finds the operator of an "Authorization: Bearer TOKEN" field. Compares
/// hashes in constant time.
OperatorIdentity identifyOperator(const std::vector<OperatorToken> &Tokens,
                                  const HttpHeaders &Headers);

} // namespace rr

#endif // REDWINGRACK_ADMIN_OPERATORIDENTITY_H
