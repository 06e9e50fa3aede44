#ifndef REDWINGRACK_BASE_OUTCOME_H
#define REDWINGRACK_BASE_OUTCOME_H

#include "base/Errc.h"

#include <tl/expected.hpp>

namespace rr {

/// A value or an error code.
template <typename T> using Outcome = tl::expected<T, std::error_code>;

/// Converts \p Value to an Outcome that holds an error.
inline tl::unexpected<std::error_code> failure(Errc Value) {
  return tl::unexpected<std::error_code>(make_error_code(Value));
}

} // namespace rr

#endif // REDWINGRACK_BASE_OUTCOME_H
