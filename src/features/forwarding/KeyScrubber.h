#ifndef REDWINGRACK_FORWARDING_KEYSCRUBBER_H
#define REDWINGRACK_FORWARDING_KEYSCRUBBER_H

#include "base/HttpHeader.h"

#include <functional>
#include <string>
#include <vector>

namespace rr {

/// Prevents callers' API keys from reaching backend servers.
struct KeyScrubber {
  /// Whether \p Text is a key that was ever issued.
  std::function<bool(const std::string &Text)> IsIssuedKey;
};

/// Removes query parameters that have a credential name such as "token", and
/// those whose name or value, percent-encoded or decoded, is an issued key or
/// contains \p PresentedKey.
std::string scrubQuery(const KeyScrubber &Scrubber, const std::string &Query,
                       const std::string &PresentedKey);

/// Whether a path segment, a header value or the body contains
/// \p PresentedKey, or a path segment or header value is an issued key. Such a
/// request cannot be forwarded unchanged and is refused.
bool containsKey(const KeyScrubber &Scrubber, const std::string &Path,
                 const HttpHeaders &Headers, const std::string &Body,
                 const std::string &PresentedKey);

/// Decodes percent escapes; malformed ones are copied unchanged.
std::string decodePercent(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_FORWARDING_KEYSCRUBBER_H
