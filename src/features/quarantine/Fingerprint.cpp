#include "quarantine/Fingerprint.h"

#include "base/Digest.h"

namespace rr {

std::string requestFingerprint(std::string_view Workspace,
                               std::string_view Method, std::string_view Path,
                               std::string_view Body) {
  std::string Text;
  // Length prefixes make the concatenation unambiguous.
  for (const std::string_view Part : {Workspace, Method, Path, Body})
    Text.append(std::to_string(Part.size())).append(":").append(Part);
  return sha256Hex(Text).substr(0, FingerprintSize);
}

std::string trialOwner(const std::string &Fingerprint,
                       const std::vector<std::string> &LiveInstances) {
  std::string Best, BestScore;
  for (const std::string &Instance : LiveInstances) {
    std::string Score = sha256Hex(Fingerprint + Instance);
    if (Score > BestScore || (Score == BestScore && Instance < Best)) {
      BestScore = std::move(Score);
      Best = Instance;
    }
  }
  return Best;
}

} // namespace rr
