#ifndef REDWINGRACK_QUARANTINE_FINGERPRINT_H
#define REDWINGRACK_QUARANTINE_FINGERPRINT_H

#include <string>
#include <string_view>
#include <vector>

namespace rr {

/// Number of characters of a fingerprint, lower-case hexadecimal.
constexpr std::size_t FingerprintSize = 32;

/// Tells requests apart that may crash a server: a hash of what the server
/// gets to see of them.
std::string requestFingerprint(std::string_view Workspace,
                               std::string_view Method, std::string_view Path,
                               std::string_view Body);

/// Instance that runs a suspect request, by rendezvous hash over the live
/// instances; empty without any.
std::string trialOwner(const std::string &Fingerprint,
                       const std::vector<std::string> &LiveInstances);

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_FINGERPRINT_H
