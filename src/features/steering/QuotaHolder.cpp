#include "steering/QuotaHolder.h"

#include "steering/StableHash.h"

#include <algorithm>

namespace rr {

std::string chooseQuotaHolder(const std::vector<std::string> &Candidates,
                              const std::string &Workspace) {
  const auto Rank = [&](const std::string &Name) {
    return mixHashes(stableHash(Workspace), stableHash(Name));
  };
  const auto Best = std::max_element(Candidates.begin(), Candidates.end(),
                                     [&](const auto &Left, const auto &Right) {
                                       return Rank(Left) < Rank(Right);
                                     });
  return Best == Candidates.end() ? std::string() : *Best;
}

} // namespace rr
