#ifndef REDWINGRACK_HTTP1_PARSEERROR_H
#define REDWINGRACK_HTTP1_PARSEERROR_H

namespace rr {

/// Why bytes are not an acceptable HTTP/1.1 message.
enum class ParseError {
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  /// Bodies of other messages hold all the memory that there is for them.
  BodyBudgetExhausted,
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_PARSEERROR_H
