#ifndef REDWINGRACK_BASE_DIGEST_H
#define REDWINGRACK_BASE_DIGEST_H

#include <string>
#include <string_view>

namespace rr {

/// Lower-case hexadecimal SHA-256 of \p Data (64 characters).
std::string sha256Hex(std::string_view Data);

/// Lower-case hexadecimal HMAC-SHA-256 (64 characters).
std::string hmacSha256Hex(std::string_view Secret, std::string_view Data);

/// Compares in a time that does not depend on where strings of the same length
/// differ, to prevent timing attacks.
bool equalConstantTime(std::string_view Left, std::string_view Right);

} // namespace rr

#endif // REDWINGRACK_BASE_DIGEST_H
