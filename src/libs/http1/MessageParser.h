#ifndef REDWINGRACK_HTTP1_MESSAGEPARSER_H
#define REDWINGRACK_HTTP1_MESSAGEPARSER_H

#include "http1/HttpMessage.h"
#include "http1/MessageFault.h"
#include "http1/ParseError.h"
#include "http1/ParserLimits.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace rr {

/// Incremental parser for one HTTP/1.1 message. Accepts less than the parser
/// library: only what MessageSyntax lets pass, requests with exactly one Host
/// field, and no transfer coding but "chunked", because proxies and servers
/// interpret other messages differently.
class MessageParser {
public:
  enum class Kind { Request, Response };

  MessageParser(Kind MessageKind, ParserLimits Limits);
  ~MessageParser();
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  /// Consumes bytes up to the end of the message and returns their number.
  std::size_t feed(std::string_view Bytes);
  /// Reports the end of the stream. Completes a response whose body is
  /// delimited by the end of the connection.
  void finish();

  /// Treats the response as one without a body, whatever its header says
  /// (method HEAD).
  void expectNoBody();

  bool hasStarted() const;
  bool isHeaderComplete() const;
  bool isComplete() const;
  /// Whether the client expects a 100 (Continue) response before it sends the
  /// body. Valid once the header is complete.
  bool wantsContinue() const;
  ParseError error() const;
  /// What makes the message malformed or too large; MessageFault::None if it is
  /// neither, or only truncated.
  MessageFault fault() const;
  /// What was received so far. The header fields are valid once the header is
  /// complete.
  const HttpMessage &message() const;
  /// Moves the complete message out of the parser.
  HttpMessage take();

private:
  struct State;
  std::unique_ptr<State> Core;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_MESSAGEPARSER_H
