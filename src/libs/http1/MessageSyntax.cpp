#include "http1/MessageSyntax.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::string_view VersionText = "HTTP/1.";
constexpr std::size_t StatusDigits = 3;

constexpr bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

/// Bytes of a reason phrase (RFC 9112, section 4).
constexpr bool isText(char Byte) {
  constexpr char Delete = 0x7F;
  const auto Code = static_cast<unsigned char>(Byte);
  return Byte == '\t' || (Code >= ' ' && Byte != Delete);
}

std::size_t textLength(std::string_view Bytes) {
  const auto End = std::find_if_not(Bytes.begin(), Bytes.end(), isText);
  return std::size_t(End - Bytes.begin());
}

} // namespace

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
    if (this->Current == State::Reason)
      Checked += textLength(Bytes.substr(Checked));
    if (Checked == Bytes.size() || !this->step(Bytes[Checked]))
      break;
    ++Checked;
  }
  return Checked;
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

bool MessageSyntax::step(char Byte) {
  switch (this->Current) {
  case State::Version:
    return this->checkVersion(Byte);
  case State::AfterVersion:
    return this->expect(Byte == ' ', State::StatusCode,
                        MessageFault::StartLine);
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
  default:
    return this->expect(Byte == '\n', State::Body, MessageFault::LineEnd);
  }
}

} // namespace rr
