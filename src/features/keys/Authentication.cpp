#include "keys/Authentication.h"

#include "keys/KeySet.h"

namespace rr {

Authentication authenticate(const KeySet &Keys, std::string_view Presented,
                            const Freshness &Proof) {
  using Verdict = Authentication::Verdict;
  const auto Found = Keys.find(hashOfKey(Presented));
  // A withdrawal is final, so an old view suffices to refuse.
  if (Found && Found->Withdrawn)
    return {Verdict::Withdrawn, {}};
  if (Proof.Now > Proof.ValidUntil)
    return {Verdict::StaleView, {}};
  if (!Found)
    return {Verdict::UnknownKey, {}};
  return {Verdict::Accepted, Found->Workspace};
}

} // namespace rr
