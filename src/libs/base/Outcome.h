#ifndef REDWINGRACK_BASE_OUTCOME_H
#define REDWINGRACK_BASE_OUTCOME_H

#include "base/Errc.h"

#include <tl/expected.hpp>

namespace rr {

/// A value, or the error code that says why there is none.
template <typename T> using Outcome = tl::expected<T, std::error_code>;

/// Returned in place of a value.
inline tl::unexpected<std::error_code> failure(Errc Value) {
  return tl::unexpected<std::error_code>(make_error_code(Value));
}

} // namespace rr

#endif // REDWINGRACK_BASE_OUTCOME_H
