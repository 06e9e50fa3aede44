#ifndef REDWINGRACK_HTTP1_MESSAGESYNTAX_H
#define REDWINGRACK_HTTP1_MESSAGESYNTAX_H

#include "http1/MessageFault.h"

#include <cstddef>
#include <string_view>

namespace rr {

/// Checks the status line of a response against the grammar of RFC 9112
/// (section 4) before the parser library reads it. The library accepts more.
/// A status line that ends after the status code is accepted beyond the
/// grammar.
class MessageSyntax {
public:
  /// Checks \p Bytes, which follow those of earlier calls. Returns how many of
  /// them conform. It is less than all of them after a fault.
  std::size_t check(std::string_view Bytes);
  MessageFault fault() const { return this->Fault; }

private:
  enum class State {
    Version,
    AfterVersion,
    StatusCode,
    AfterStatusCode,
    Reason,
    StartLineEnd,
    Body,
  };

  /// Checks one byte. Returns false after a fault.
  bool step(char Byte);
  bool enter(State Next);
  bool fail(MessageFault Reason);
  /// Enters \p Next if \p Conforms, and fails with \p Reason otherwise.
  bool expect(bool Conforms, State Next, MessageFault Reason);
  bool checkVersion(char Byte);
  bool checkStatusCode(char Byte);

  State Current = State::Version;
  MessageFault Fault = MessageFault::None;
  /// Characters of the version or of the status code that were checked.
  std::size_t Position = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_MESSAGESYNTAX_H
