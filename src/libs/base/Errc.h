#ifndef REDWINGRACK_BASE_ERRC_H
#define REDWINGRACK_BASE_ERRC_H

#include <system_error>

namespace rr {

/// Error conditions that the libraries and features return. The messages of
/// errorCategory() are used as metric label values and must not change.
enum class Errc {
  Timeout = 1,
  Unavailable,
  ConnectionRefused,
  ConnectionLost,
  Cancelled,
  Conflict,
  NotFound,
  Malformed,
  TooLarge,
  Unauthorized,
  Stale,
  LimitReached,
  Unknown,
};

const std::error_category &errorCategory() noexcept;
std::error_code make_error_code(Errc Value) noexcept;

} // namespace rr

template <> struct std::is_error_code_enum<rr::Errc> : std::true_type {};

#endif // REDWINGRACK_BASE_ERRC_H
