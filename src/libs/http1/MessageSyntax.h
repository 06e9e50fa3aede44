#ifndef REDWINGRACK_HTTP1_MESSAGESYNTAX_H
#define REDWINGRACK_HTTP1_MESSAGESYNTAX_H

#include "http1/MessageFault.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rr {

/// Checks the bytes of one message against the grammar of RFC 9112 (sections 2
/// to 5 and 7.1) before the parser library reads them. The library accepts
/// more, and where it does, it and the peer may disagree on where a message
/// ends.
///
/// Accepted beyond the grammar: a status line that ends after the status code,
/// and empty lines before a request line (section 2.2). Not accepted, as the
/// RFC leaves it to the recipient: LF without CR, and line folding. The inner
/// syntax of chunk extensions is not checked, because they are ignored.
class MessageSyntax {
public:
  enum class Start { RequestLine, StatusLine };

  explicit MessageSyntax(Start First);

  /// Checks \p Bytes, which follow those of earlier calls. Returns how many of
  /// them conform. It is less than all of them after a fault, and at the end of
  /// the header section and of a chunked body.
  std::size_t check(std::string_view Bytes);
  MessageFault fault() const { return this->Fault; }
  /// The empty line after the header section was checked.
  bool isHeaderComplete() const { return this->HeaderComplete; }
  /// Bytes of chunk extensions and trailer fields so far. They are discarded,
  /// so no other limit covers them.
  std::size_t discardedBytes() const { return this->DiscardedBytes; }
  /// The body, which follows the header section, is chunked. Other bodies are
  /// not checked.
  void expectChunks();

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
    ChunkSizeStart,
    ChunkSize,
    ChunkPadding,
    ChunkExtension,
    ChunkSizeEnd,
    ChunkData,
    ChunkDataReturn,
    ChunkDataEnd,
    Body,
    End,
  };

  /// Checks one byte. Returns false after a fault.
  bool step(char Byte);
  bool stepStartLine(char Byte);
  bool stepField(char Byte);
  bool stepChunk(char Byte);
  /// In a chunk extension or a trailer field.
  bool isDiscarding() const;
  /// Number of leading bytes that leave the state as it is.
  std::size_t skip(std::string_view Bytes);
  bool enter(State Next);
  bool fail(MessageFault Reason);
  /// Enters \p Next if \p Conforms, and fails with \p Reason otherwise.
  bool expect(bool Conforms, State Next, MessageFault Reason);
  bool checkVersion(char Byte);
  bool checkStatusCode(char Byte);
  bool addChunkSizeDigit(char Byte);
  bool endSection();

  Start First;
  State Current;
  MessageFault Fault = MessageFault::None;
  bool HeaderComplete = false;
  /// Characters of the version or of the status code that were checked.
  std::size_t Position = 0;
  std::size_t DiscardedBytes = 0;
  /// Size, or what is left, of the current chunk.
  std::uint64_t ChunkBytes = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_MESSAGESYNTAX_H
