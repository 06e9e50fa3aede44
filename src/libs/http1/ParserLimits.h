#ifndef REDWINGRACK_HTTP1_PARSERLIMITS_H
#define REDWINGRACK_HTTP1_PARSERLIMITS_H

#include <cstddef>
#include <memory>

namespace rr {

class ByteBudget;

/// Limits on the messages that MessageParser accepts.
struct ParserLimits {
  std::size_t MaxHeaderBytes = 16U << 10;
  std::size_t MaxBodyBytes = 64U << 20;
  /// Limit shared with other messages, for headers and bodies; null for none.
  std::shared_ptr<ByteBudget> BodyBudget = nullptr;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_PARSERLIMITS_H
