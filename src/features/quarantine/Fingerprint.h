#ifndef REDWINGRACK_QUARANTINE_FINGERPRINT_H
#define REDWINGRACK_QUARANTINE_FINGERPRINT_H

#include <string>
#include <string_view>
#include <vector>

namespace rr {

/// Number of characters of a fingerprint, lower-case hexadecimal.
constexpr std::size_t FingerprintSize = 32;

/// Identifies requests that may crash a server: a hash of the parts of the
/// request that the server receives.
std::string requestFingerprint(std::string_view Workspace,
                               std::string_view Method, std::string_view Path,
                               std::string_view Body);

/// Returns the instance that runs a suspect request, chosen by rendezvous
/// hashing over the live instances; empty if there are none.
std::string trialOwner(const std::string &Fingerprint,
                       const std::vector<std::string> &LiveInstances);

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_FINGERPRINT_H
