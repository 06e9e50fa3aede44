#include "admin/OperatorIdentity.h"

#include "base/Digest.h"
#include "forwarding/HeaderRules.h"
#include "settings/OperatorToken.h"

namespace rr {

OperatorIdentity identifyOperator(const std::vector<OperatorToken> &Tokens,
                                  const HttpHeaders &Headers) {
  OperatorIdentity Result;
  const std::string Presented = bearerKey(Headers);
  if (Presented.empty())
    return Result;
  const std::string Hash = sha256Hex(Presented);
  // Every token is compared, so that the time does not tell which one matched.
  for (const OperatorToken &Token : Tokens)
    if (equalConstantTime(Token.Sha256, Hash))
      Result = {Token.Name,
                Token.ReadOnly ? OperatorRole::Read : OperatorRole::Operate};
  return Result;
}

} // namespace rr
