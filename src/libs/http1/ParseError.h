#ifndef REDWINGRACK_HTTP1_PARSEERROR_H
#define REDWINGRACK_HTTP1_PARSEERROR_H

namespace rr {

/// Why an HTTP/1.1 message was not accepted.
enum class ParseError {
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  /// The body does not fit into what is left of the shared ByteBudget.
  BodyBudgetExhausted,
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_PARSEERROR_H
