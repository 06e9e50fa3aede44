#include "http1/MessageParser.h"

#include "http1/ByteBudget.h"
#include "http1/MessageFraming.h"
#include "http1/MessageSyntax.h"

#include <http_parser.h>

#include <utility>

namespace rr {

namespace {

void trimTrailingWhitespace(std::string &Value) {
  Value.erase(Value.find_last_not_of(" \t") + 1);
}

MessageFault faultOf(http_errno Code) {
  switch (Code) {
  case HPE_INVALID_CONTENT_LENGTH:
  case HPE_UNEXPECTED_CONTENT_LENGTH:
    return MessageFault::BodyLength;
  case HPE_INVALID_TRANSFER_ENCODING:
    return MessageFault::TransferCoding;
  case HPE_INVALID_CHUNK_SIZE:
    return MessageFault::Chunk;
  case HPE_INVALID_HEADER_TOKEN:
    return MessageFault::FieldValue;
  case HPE_INVALID_VERSION:
    return MessageFault::Version;
  default:
    return MessageFault::StartLine;
  }
}

} // namespace

struct MessageParser::State {
  explicit State(MessageSyntax::Start First) : Syntax(First) {}

  MessageSyntax Syntax;
  http_parser Parser{};
  http_parser_settings Callbacks{};
  ParserLimits Limits;
  HttpMessage Message;
  std::shared_ptr<ByteBudget::Reservation> Reservation;
  std::size_t HeaderBytes = 0;
  bool LastWasValue = false;
  bool Started = false;
  bool HeaderComplete = false;
  bool Complete = false;
  bool NoBody = false;
  ParseError Error = ParseError::None;
  MessageFault Fault = MessageFault::None;

  static State &fromParser(http_parser *Parser) {
    return *static_cast<State *>(Parser->data);
  }

  /// Records the error; the returned value makes the library stop parsing.
  int stop(ParseError Reason) {
    this->Error = Reason;
    return 1;
  }

  int stop(MessageFault Reason) {
    this->Fault = Reason;
    return this->stop(ParseError::Malformed);
  }

  int addHeaderBytes(std::size_t Length) {
    this->HeaderBytes += Length;
    if (this->HeaderBytes > this->Limits.MaxHeaderBytes)
      return this->stop(ParseError::HeaderTooLarge);
    return this->reserve(Length, 0);
  }

  /// Reserves memory for a part of the message that leaves \p KeepFree bytes of
  /// the budget.
  int reserve(std::size_t Length, std::size_t KeepFree) {
    if (!this->Limits.BodyBudget)
      return 0;
    if (!this->Reservation) {
      this->Reservation =
          std::make_shared<ByteBudget::Reservation>(this->Limits.BodyBudget);
      this->Message.BodyReservation = this->Reservation;
    }
    if (!this->Reservation->tryReserve(Length, KeepFree))
      return this->stop(ParseError::BodyBudgetExhausted);
    return 0;
  }

  /// What the budget must have left after \p Length more bytes of the body. A
  /// response may hold at most as much as it leaves to others, so that
  /// responses that do not end, however many, never use up the memory.
  std::size_t bytesLeftFree(std::size_t Length) const {
    const std::size_t Kept = this->Limits.BodyBudget->headerReserve();
    if (this->Parser.type == HTTP_REQUEST)
      return Kept;
    const std::size_t Held = this->Reservation ? this->Reservation->bytes() : 0;
    return Kept + Held + Length;
  }

  int onField(const char *Data, std::size_t Length) {
    if (this->HeaderComplete)
      return 0; // Trailer fields are ignored.
    if (this->LastWasValue || this->Message.Headers.empty()) {
      // A short field takes far more memory than it has bytes.
      if (this->reserve(sizeof(HttpHeader), 0) != 0)
        return 1;
      this->Message.Headers.emplace_back();
    }
    this->LastWasValue = false;
    this->Message.Headers.back().Name.append(Data, Length);
    return this->addHeaderBytes(Length + 2);
  }

  int onValue(const char *Data, std::size_t Length) {
    if (this->HeaderComplete || this->Message.Headers.empty())
      return 0;
    this->LastWasValue = true;
    this->Message.Headers.back().Value.append(Data, Length);
    return this->addHeaderBytes(Length + 2);
  }

  int onHeadersComplete() {
    this->HeaderComplete = true;
    for (HttpHeader &Field : this->Message.Headers)
      trimTrailingWhitespace(Field.Value);
    if (this->Parser.type == HTTP_REQUEST) {
      this->Message.Method =
          http_method_str(static_cast<http_method>(this->Parser.method));
      int Hosts = 0;
      for (const HttpHeader &Field : this->Message.Headers)
        Hosts += equalIgnoreCase(Field.Name, "Host") ? 1 : 0;
      if (Hosts != 1)
        return this->stop(ParseError::Malformed);
    } else {
      this->Message.Status = static_cast<int>(this->Parser.status_code);
      // No request of this program asks for a switch of protocols.
      if (this->Message.Status == HTTP_STATUS_SWITCHING_PROTOCOLS)
        return this->stop(MessageFault::Upgrade);
      if (this->NoBody || isBodyless(this->Message.Status))
        return 1;
    }
    const bool Chunked = (this->Parser.flags & F_CHUNKED) != 0;
    if (const MessageFault Found = framingFault(this->Message.Headers);
        Found != MessageFault::None)
      return this->stop(Found);
    // The library reads a body that it does not take for chunked up to the end
    // of the connection. In HTTP/1.0 the coding makes the framing faulty.
    if (findHeader(this->Message.Headers, "Transfer-Encoding") &&
        (!Chunked || this->Parser.http_minor == 0))
      return this->stop(MessageFault::TransferCoding);
    const bool HasLength = (this->Parser.flags & F_CONTENTLENGTH) != 0;
    if (HasLength && this->Parser.content_length > this->Limits.MaxBodyBytes)
      return this->stop(ParseError::BodyTooLarge);
    if (Chunked)
      this->Syntax.expectChunks();
    return 0;
  }

  int onBody(const char *Data, std::size_t Length) {
    if (this->Message.Body.size() + Length > this->Limits.MaxBodyBytes)
      return this->stop(ParseError::BodyTooLarge);
    if (this->Limits.BodyBudget &&
        this->reserve(Length, this->bytesLeftFree(Length)) != 0)
      return 1;
    this->Message.Body.append(Data, Length);
    return 0;
  }

  /// Feeds bytes that conform to the grammar to the library. Returns how many
  /// it has used.
  std::size_t parse(std::string_view Bytes);

  int onComplete() {
    this->Message.KeepAlive = http_should_keep_alive(&this->Parser) != 0;
    this->Complete = true;
    // Leave the bytes after this message to the caller.
    http_parser_pause(&this->Parser, 1);
    return 0;
  }
};

MessageParser::MessageParser(Kind MessageKind, ParserLimits Limits)
    : Core(std::make_unique<State>(MessageKind == Kind::Request
                                       ? MessageSyntax::Start::RequestLine
                                       : MessageSyntax::Start::StatusLine)) {
  State &S = *this->Core;
  S.Limits = Limits;
  http_parser_init(&S.Parser,
                   MessageKind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  S.Parser.data = &S;
  http_parser_settings_init(&S.Callbacks);
  S.Callbacks.on_url = [](http_parser *P, const char *Data,
                          std::size_t Length) {
    State::fromParser(P).Message.Target.append(Data, Length);
    return State::fromParser(P).addHeaderBytes(Length);
  };
  S.Callbacks.on_header_field = [](http_parser *P, const char *Data,
                                   std::size_t Length) {
    return State::fromParser(P).onField(Data, Length);
  };
  S.Callbacks.on_header_value = [](http_parser *P, const char *Data,
                                   std::size_t Length) {
    return State::fromParser(P).onValue(Data, Length);
  };
  S.Callbacks.on_headers_complete = [](http_parser *P) {
    return State::fromParser(P).onHeadersComplete();
  };
  S.Callbacks.on_body = [](http_parser *P, const char *Data,
                           std::size_t Length) {
    return State::fromParser(P).onBody(Data, Length);
  };
  S.Callbacks.on_message_complete = [](http_parser *P) {
    return State::fromParser(P).onComplete();
  };
}

MessageParser::~MessageParser() = default;

std::size_t MessageParser::State::parse(std::string_view Bytes) {
  if (Bytes.empty())
    return 0;
  const std::size_t Used = http_parser_execute(&this->Parser, &this->Callbacks,
                                               Bytes.data(), Bytes.size());
  const auto Code = HTTP_PARSER_ERRNO(&this->Parser);
  if (this->Error != ParseError::None)
    return Used;
  if (Code == HPE_HEADER_OVERFLOW)
    this->stop(ParseError::HeaderTooLarge);
  else if (Code != HPE_OK && Code != HPE_PAUSED)
    this->stop(faultOf(Code));
  else if (this->Parser.upgrade && this->Complete)
    this->Message.KeepAlive = false;
  return Used;
}

std::size_t MessageParser::feed(std::string_view Bytes) {
  State &S = *this->Core;
  std::size_t Used = 0;
  while (Used < Bytes.size() && !S.Complete && S.Error == ParseError::None) {
    S.Started = true;
    const std::string_view Rest = Bytes.substr(Used);
    const std::size_t Checked = S.Syntax.check(Rest);
    if (S.Syntax.discardedBytes() > S.Limits.MaxHeaderBytes) {
      S.stop(ParseError::HeaderTooLarge);
      break;
    }
    Used += S.parse(Rest.substr(0, Checked));
    if (S.Complete || S.Error != ParseError::None)
      break;
    if (S.Syntax.fault() != MessageFault::None)
      S.stop(S.Syntax.fault());
    else if (S.Syntax.isHeaderComplete() != S.HeaderComplete || Checked == 0)
      // The library sees another end of the header section or of the message.
      S.stop(MessageFault::LineEnd);
  }
  return Used;
}

void MessageParser::finish() {
  State &S = *this->Core;
  if (S.Complete || S.Error != ParseError::None)
    return;
  http_parser_execute(&S.Parser, &S.Callbacks, nullptr, 0);
  if (!S.Complete && S.Error == ParseError::None)
    S.stop(ParseError::Malformed);
}

void MessageParser::expectNoBody() { this->Core->NoBody = true; }
bool MessageParser::hasStarted() const { return this->Core->Started; }
bool MessageParser::isHeaderComplete() const {
  return this->Core->HeaderComplete;
}
bool MessageParser::isComplete() const {
  return this->Core->Complete && this->Core->Error == ParseError::None;
}
bool MessageParser::wantsContinue() const {
  const auto *Field = findHeader(this->Core->Message.Headers, "Expect");
  return Field && equalIgnoreCase(*Field, "100-continue");
}
ParseError MessageParser::error() const { return this->Core->Error; }
MessageFault MessageParser::fault() const {
  switch (this->Core->Error) {
  case ParseError::HeaderTooLarge:
    return MessageFault::HeaderTooLarge;
  case ParseError::BodyTooLarge:
    return MessageFault::BodyTooLarge;
  default:
    return this->Core->Fault;
  }
}
const HttpMessage &MessageParser::message() const {
  return this->Core->Message;
}
HttpMessage MessageParser::take() { return std::move(this->Core->Message); }

} // namespace rr
