#ifndef REDWINGRACK_HTTP1_MESSAGEPARSER_H
#define REDWINGRACK_HTTP1_MESSAGEPARSER_H

#include "http1/HttpMessage.h"
#include "http1/ParseError.h"
#include "http1/ParserLimits.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace rr {

/// Reads one HTTP/1.1 message from bytes as they come. Stricter than the
/// parser library: white space before a colon, and a request with no Host or
/// with several, are malformed.
class MessageParser {
public:
  enum class Kind { Request, Response };

  MessageParser(Kind MessageKind, ParserLimits Limits);
  ~MessageParser();
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  /// Consumes bytes up to the end of the message and returns how many.
  std::size_t feed(std::string_view Bytes);
  /// The connection ended in an orderly way. Completes an answer whose body
  /// has no length.
  void finish();

  /// The next answer has no body whatever its header says (method HEAD).
  void expectNoBody();

  bool hasStarted() const;
  bool isHeaderComplete() const;
  bool isComplete() const;
  /// The header is complete and asks for a 100 answer before the body.
  bool wantsContinue() const;
  ParseError error() const;
  /// The complete message.
  HttpMessage take();

private:
  struct State;
  std::unique_ptr<State> Core;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_MESSAGEPARSER_H
