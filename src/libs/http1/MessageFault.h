#ifndef REDWINGRACK_HTTP1_MESSAGEFAULT_H
#define REDWINGRACK_HTTP1_MESSAGEFAULT_H

namespace rr {

/// What makes the bytes of a peer no valid HTTP/1.1 message (RFC 9112).
enum class MessageFault {
  None,
  /// The request or status line, apart from the version and the status code.
  StartLine,
  /// The protocol version is not 1.x.
  Version,
  /// The status code has not exactly three digits, or is not 100 to 599.
  StatusCode,
  FieldName,
  FieldValue,
  /// A line does not end with CRLF.
  LineEnd,
  /// The length of the body is missing, ambiguous or not a number.
  BodyLength,
  /// A transfer coding other than a single "chunked".
  TransferCoding,
  /// A chunk size is missing or not a number, or its data is not followed by
  /// CRLF.
  Chunk,
  /// A switch of protocols (101) that was not requested.
  Upgrade,
  /// More interim responses (1xx) than are read for one request.
  InterimResponses,
  /// The response names another request.
  OtherRequest,
  HeaderTooLarge,
  BodyTooLarge,
};

/// Name of \p Fault in log fields and metric labels.
const char *messageFaultName(MessageFault Fault);

} // namespace rr

#endif // REDWINGRACK_HTTP1_MESSAGEFAULT_H
