#ifndef REDWINGRACK_HTTP1_PARSEERROR_H
#define REDWINGRACK_HTTP1_PARSEERROR_H

namespace rr {

/// Why bytes are not an acceptable HTTP/1.1 message.
enum class ParseError {
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_PARSEERROR_H
