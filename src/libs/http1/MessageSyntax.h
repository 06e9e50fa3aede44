#ifndef REDWINGRACK_HTTP1_MESSAGESYNTAX_H
#define REDWINGRACK_HTTP1_MESSAGESYNTAX_H

#include "http1/MessageFault.h"

#include <cstddef>
#include <string_view>

namespace rr {

/// Checks the start line and the fields of one message against the grammar of
/// RFC 9112 (sections 2 to 5) before the parser library reads them. The library
/// accepts more, and where it does, it and the peer may disagree on where a
/// message ends.
///
/// Accepted beyond the grammar: a status line that ends after the status code,
/// and empty lines before a request line (section 2.2). Not accepted, as the
/// RFC leaves it to the recipient: LF without CR, and line folding.
class MessageSyntax {
public:
  enum class Start { RequestLine, StatusLine };

  explicit MessageSyntax(Start First);

  /// Checks \p Bytes, which follow those of earlier calls. Returns how many of
  /// them conform. It is less than all of them after a fault, and at the end of
  /// the header section; the body is not checked.
  std::size_t check(std::string_view Bytes);
  MessageFault fault() const { return this->Fault; }
  /// The empty line after the header section was checked.
  bool isHeaderComplete() const { return this->HeaderComplete; }

private:
  enum class State {
    Version,
    AfterVersion,
    StatusCode,
    AfterStatusCode,
    Reason,
    EmptyLines,
    EmptyLineEnd,
    Method,
    TargetStart,
    Target,
    StartLineEnd,
    FieldStart,
    FieldName,
    FieldValue,
    FieldEnd,
    SectionEnd,
    Body,
  };

  /// Checks one byte. Returns false after a fault.
  bool step(char Byte);
  bool stepStartLine(char Byte);
  bool stepField(char Byte);
  /// Number of leading bytes that leave the state as it is.
  std::size_t skip(std::string_view Bytes);
  bool enter(State Next);
  bool fail(MessageFault Reason);
  /// Enters \p Next if \p Conforms, and fails with \p Reason otherwise.
  bool expect(bool Conforms, State Next, MessageFault Reason);
  bool checkVersion(char Byte);
  bool checkStatusCode(char Byte);

  Start First;
  State Current;
  MessageFault Fault = MessageFault::None;
  bool HeaderComplete = false;
  /// Characters of the version or of the status code that were checked.
  std::size_t Position = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_MESSAGESYNTAX_H
