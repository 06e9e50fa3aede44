#ifndef REDWINGRACK_HTTP1_PARSERLIMITS_H
#define REDWINGRACK_HTTP1_PARSERLIMITS_H

#include <cstddef>

namespace rr {

/// Largest message that MessageParser accepts, in bytes.
struct ParserLimits {
  std::size_t HeaderBytes = 16U << 10;
  std::size_t BodyBytes = 64U << 20;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_PARSERLIMITS_H
