#ifndef REDWINGRACK_FORWARDING_KEYSCRUBBER_H
#define REDWINGRACK_FORWARDING_KEYSCRUBBER_H

#include "base/HttpHeader.h"

#include <functional>
#include <string>
#include <vector>

namespace rr {

/// Keeps callers' keys away from backend servers.
struct KeyScrubber {
  /// Whether a text is a key that was ever issued.
  std::function<bool(const std::string &Text)> IsIssuedKey;
};

/// The query without parameters whose name is that of a credential or whose
/// value, decoded or not, is a key or holds \p PresentedKey.
std::string scrubQuery(const KeyScrubber &Scrubber, const std::string &Query,
                       const std::string &PresentedKey);

/// Whether any path segment or the body holds \p PresentedKey,
/// or a path segment or header value is a key. Such a request cannot be passed
/// on unchanged and is refused.
bool containsKey(const KeyScrubber &Scrubber, const std::string &Path,
                 const HttpHeaders &Headers, const std::string &Body,
                 const std::string &PresentedKey);

/// Decodes percent escapes; malformed ones stay as they are.
std::string decodePercent(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_FORWARDING_KEYSCRUBBER_H
