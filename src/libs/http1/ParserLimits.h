#ifndef REDWINGRACK_HTTP1_PARSERLIMITS_H
#define REDWINGRACK_HTTP1_PARSERLIMITS_H

#include <cstddef>
#include <memory>

namespace rr {

class ByteBudget;

/// Largest message that MessageParser accepts, in bytes.
struct ParserLimits {
  std::size_t MaxHeaderBytes = 16U << 10;
  std::size_t MaxBodyBytes = 64U << 20;
  /// What bodies may hold together with those of other messages; null for no
  /// bound.
  std::shared_ptr<ByteBudget> BodyBudget = nullptr;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_PARSERLIMITS_H
