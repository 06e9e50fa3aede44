#include "http1/MessageSyntax.h"

#include <algorithm>
#include <array>

namespace rr {

namespace {

constexpr std::string_view VersionText = "HTTP/1.";
constexpr std::size_t StatusDigits = 3;
/// Above any body that is accepted; avoids an overflow of the size.
constexpr std::uint64_t MaxChunkBytes = std::uint64_t{1} << 48;

constexpr bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

constexpr bool isAlpha(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z');
}

/// Bytes by their role in the grammar (RFC 9110, sections 5.5 and 5.6.2).
struct ByteClasses {
  std::array<bool, 256> Token{};
  /// Of field values, reason phrases and chunk extensions.
  std::array<bool, 256> Text{};
  /// Of request targets. Bytes above ASCII are not part of a URI, but callers
  /// that send them unescaped are served.
  std::array<bool, 256> Target{};
};

constexpr ByteClasses makeByteClasses() {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  constexpr unsigned Delete = 0x7F;
  ByteClasses Classes;
  for (unsigned Code = 0; Code < 256; ++Code) {
    const char Byte = static_cast<char>(Code);
    Classes.Token[Code] =
        isDigit(Byte) || isAlpha(Byte) ||
        (Code != 0 && Punctuation.find(Byte) != std::string_view::npos);
    Classes.Target[Code] = Code > ' ' && Code != Delete;
    Classes.Text[Code] = Classes.Target[Code] || Byte == ' ' || Byte == '\t';
  }
  return Classes;
}

constexpr ByteClasses Classes = makeByteClasses();

bool contains(const std::array<bool, 256> &Set, char Byte) {
  return Set[static_cast<unsigned char>(Byte)];
}

std::size_t prefixLength(const std::array<bool, 256> &Set,
                         std::string_view Bytes) {
  const auto End = std::find_if_not(Bytes.begin(), Bytes.end(), [&](char Byte) {
    return contains(Set, Byte);
  });
  return std::size_t(End - Bytes.begin());
}

int hexDigit(char Byte) {
  if (isDigit(Byte))
    return Byte - '0';
  if (Byte >= 'a' && Byte <= 'f')
    return Byte - 'a' + 10;
  return Byte >= 'A' && Byte <= 'F' ? Byte - 'A' + 10 : -1;
}

} // namespace

MessageSyntax::MessageSyntax(Start FirstLine)
    : First(FirstLine),
      Current(FirstLine == Start::StatusLine ? State::Version
                                             : State::EmptyLines) {}

void MessageSyntax::expectChunks() { this->enter(State::ChunkSizeStart); }

bool MessageSyntax::enter(State Next) {
  this->Current = Next;
  this->Position = 0;
  return true;
}

bool MessageSyntax::fail(MessageFault Reason) {
  this->Fault = Reason;
  return false;
}

bool MessageSyntax::expect(bool Conforms, State Next, MessageFault Reason) {
  return Conforms ? this->enter(Next) : this->fail(Reason);
}

std::size_t MessageSyntax::check(std::string_view Bytes) {
  std::size_t Checked = 0;
  while (Checked < Bytes.size() && this->Fault == MessageFault::None) {
    if (this->Current == State::Body)
      return Bytes.size();
    if (this->Current == State::End)
      break;
    const bool Discards = this->isDiscarding();
    const std::size_t Before = Checked;
    Checked += this->skip(Bytes.substr(Checked));
    if (Checked < Bytes.size() && this->step(Bytes[Checked]))
      ++Checked;
    if (Discards)
      this->DiscardedBytes += Checked - Before;
    if (this->Current == State::Body)
      break;
  }
  return Checked;
}

bool MessageSyntax::isDiscarding() const {
  const bool IsField =
      this->Current >= State::FieldStart && this->Current < State::SectionEnd;
  return this->Current == State::ChunkExtension ||
         (this->HeaderComplete && IsField);
}

std::size_t MessageSyntax::skip(std::string_view Bytes) {
  switch (this->Current) {
  case State::FieldName:
    return prefixLength(Classes.Token, Bytes);
  case State::Target:
    return prefixLength(Classes.Target, Bytes);
  case State::Reason:
  case State::FieldValue:
  case State::ChunkExtension:
    return prefixLength(Classes.Text, Bytes);
  case State::ChunkData: {
    const std::uint64_t Length =
        std::min<std::uint64_t>(this->ChunkBytes, Bytes.size());
    this->ChunkBytes -= Length;
    if (this->ChunkBytes == 0)
      this->enter(State::ChunkDataReturn);
    return std::size_t(Length);
  }
  default:
    return 0;
  }
}

bool MessageSyntax::step(char Byte) {
  if (this->Current < State::FieldStart)
    return this->stepStartLine(Byte);
  if (this->Current < State::ChunkSizeStart)
    return this->stepField(Byte);
  return this->stepChunk(Byte);
}

bool MessageSyntax::checkVersion(char Byte) {
  const std::size_t At = this->Position++;
  if (At < VersionText.size()) {
    if (Byte == VersionText[At])
      return true;
    // The protocol has the right name, and another major version.
    const bool IsMajor = At == VersionText.size() - 2 && isDigit(Byte);
    return this->fail(IsMajor ? MessageFault::Version
                              : MessageFault::StartLine);
  }
  return this->expect(isDigit(Byte), State::AfterVersion,
                      MessageFault::StartLine);
}

bool MessageSyntax::checkStatusCode(char Byte) {
  const bool IsClass = this->Position != 0 || (Byte >= '1' && Byte <= '5');
  if (!isDigit(Byte) || !IsClass)
    return this->fail(MessageFault::StatusCode);
  return ++this->Position < StatusDigits || this->enter(State::AfterStatusCode);
}

bool MessageSyntax::stepStartLine(char Byte) {
  switch (this->Current) {
  case State::Version:
    return this->checkVersion(Byte);
  case State::AfterVersion:
    if (this->First == Start::StatusLine)
      return this->expect(Byte == ' ', State::StatusCode,
                          MessageFault::StartLine);
    return this->expect(Byte == '\r', State::StartLineEnd,
                        Byte == '\n' ? MessageFault::LineEnd
                                     : MessageFault::StartLine);
  case State::StatusCode:
    return this->checkStatusCode(Byte);
  case State::AfterStatusCode:
    if (Byte == ' ')
      return this->enter(State::Reason);
    if (isDigit(Byte))
      return this->fail(MessageFault::StatusCode);
    [[fallthrough]];
  case State::Reason:
    return this->expect(Byte == '\r', State::StartLineEnd,
                        Byte == '\n' ? MessageFault::LineEnd
                                     : MessageFault::StartLine);
  case State::EmptyLines:
    if (Byte == '\r')
      return this->enter(State::EmptyLineEnd);
    return this->expect(contains(Classes.Token, Byte), State::Method,
                        MessageFault::StartLine);
  case State::EmptyLineEnd:
    return this->expect(Byte == '\n', State::EmptyLines, MessageFault::LineEnd);
  case State::Method:
    if (contains(Classes.Token, Byte))
      return true;
    return this->expect(Byte == ' ', State::TargetStart,
                        MessageFault::StartLine);
  case State::TargetStart:
    return this->expect(contains(Classes.Target, Byte), State::Target,
                        MessageFault::StartLine);
  case State::Target:
    return this->expect(Byte == ' ', State::Version, MessageFault::StartLine);
  default:
    return this->expect(Byte == '\n', State::FieldStart, MessageFault::LineEnd);
  }
}

bool MessageSyntax::stepField(char Byte) {
  switch (this->Current) {
  case State::FieldStart:
    if (Byte == '\r')
      return this->enter(State::SectionEnd);
    return this->expect(contains(Classes.Token, Byte), State::FieldName,
                        MessageFault::FieldName);
  case State::FieldName:
    return this->expect(Byte == ':', State::FieldValue,
                        MessageFault::FieldName);
  case State::FieldValue:
    return this->expect(Byte == '\r', State::FieldEnd,
                        Byte == '\n' ? MessageFault::LineEnd
                                     : MessageFault::FieldValue);
  case State::FieldEnd:
    return this->expect(Byte == '\n', State::FieldStart, MessageFault::LineEnd);
  default:
    return Byte == '\n' ? this->endSection()
                        : this->fail(MessageFault::LineEnd);
  }
}

bool MessageSyntax::endSection() {
  // A section after the body is that of the trailer fields.
  const State Next = this->HeaderComplete ? State::End : State::Body;
  this->HeaderComplete = true;
  return this->enter(Next);
}

bool MessageSyntax::addChunkSizeDigit(char Byte) {
  const int Digit = hexDigit(Byte);
  if (Digit < 0 || this->ChunkBytes > MaxChunkBytes)
    return this->fail(MessageFault::Chunk);
  this->ChunkBytes = this->ChunkBytes * 16 + std::uint64_t(Digit);
  return this->enter(State::ChunkSize);
}

bool MessageSyntax::stepChunk(char Byte) {
  switch (this->Current) {
  case State::ChunkSizeStart:
    this->ChunkBytes = 0;
    return this->addChunkSizeDigit(Byte);
  case State::ChunkSize:
    if (Byte == '\r')
      return this->enter(State::ChunkSizeEnd);
    [[fallthrough]];
  case State::ChunkPadding:
    if (Byte == ';')
      return this->enter(State::ChunkExtension);
    if (Byte == ' ' || Byte == '\t')
      return this->enter(State::ChunkPadding);
    return this->Current == State::ChunkSize ? this->addChunkSizeDigit(Byte)
                                             : this->fail(MessageFault::Chunk);
  case State::ChunkExtension:
    return this->expect(Byte == '\r', State::ChunkSizeEnd, MessageFault::Chunk);
  case State::ChunkSizeEnd:
    // The last chunk, of size 0, is followed by the trailer fields.
    return this->expect(Byte == '\n',
                        this->ChunkBytes == 0 ? State::FieldStart
                                              : State::ChunkData,
                        MessageFault::Chunk);
  case State::ChunkDataReturn:
    return this->expect(Byte == '\r', State::ChunkDataEnd, MessageFault::Chunk);
  default:
    return this->expect(Byte == '\n', State::ChunkSizeStart,
                        MessageFault::Chunk);
  }
}

} // namespace rr
