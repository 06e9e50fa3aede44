#include "http1/MessageParser.h"

#include <catch2/catch.hpp>

#include <cctype>
#include <string>
#include <vector>

using namespace rr;

namespace {

struct Parsed {
  bool Complete = false;
  MessageFault Fault = MessageFault::None;
  std::size_t Used = 0;
  HttpMessage Message;
};

/// Feeds \p Text in the pieces that end at \p Ends and at its end.
Parsed parse(const std::string &Text, std::vector<std::size_t> Ends = {},
             bool NoBody = false) {
  MessageParser Parser(MessageParser::Kind::Response, {});
  if (NoBody)
    Parser.expectNoBody();
  Parsed Result;
  Ends.push_back(Text.size());
  std::size_t At = 0;
  for (const std::size_t End : Ends)
    while (At < End && !Parser.isComplete() &&
           Parser.error() == ParseError::None)
      At += Parser.feed(std::string_view(Text).substr(At, End - At));
  Parser.finish();
  Result.Complete = Parser.isComplete();
  Result.Fault = Parser.fault();
  Result.Used = At;
  Result.Message = Parser.take();
  return Result;
}

/// Checks that an answer is refused in one piece, in two pieces split at each
/// byte, and byte by byte.
void checkRefused(const std::string &Text, MessageFault Fault) {
  std::vector<std::size_t> Each;
  CAPTURE(Text);
  const Parsed Whole = parse(Text);
  CHECK_FALSE(Whole.Complete);
  CHECK(std::string(messageFaultName(Whole.Fault)) == messageFaultName(Fault));
  for (std::size_t End = 1; End < Text.size(); ++End) {
    Each.push_back(End);
    const Parsed Split = parse(Text, {End});
    if (Split.Complete || Split.Fault != Fault) {
      CAPTURE(End);
      CHECK_FALSE(Split.Complete);
      CHECK(Split.Fault == Fault);
    }
  }
  const Parsed Single = parse(Text, Each);
  CHECK_FALSE(Single.Complete);
  CHECK(Single.Fault == Fault);
}

/// Checks that an answer is read alike however its bytes are split.
void checkAccepted(const std::string &Text, int Status, const std::string &Body,
                   bool NoBody = false) {
  CAPTURE(Text);
  std::vector<std::size_t> Each;
  for (std::size_t End = 1; End <= Text.size(); ++End) {
    Each.push_back(End);
    const Parsed Split = parse(Text, {End}, NoBody);
    if (Split.Complete && Split.Message.Status == Status &&
        Split.Message.Body == Body)
      continue;
    CAPTURE(End);
    CHECK(Split.Complete);
    CHECK(Split.Message.Status == Status);
    CHECK(Split.Message.Body == Body);
  }
  CHECK(parse(Text, Each, NoBody).Complete);
}

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Rest = "Content-Length: 2\r\n\r\nab";

bool isTokenByte(unsigned char Byte) {
  return std::isalnum(Byte) ||
         (Byte != 0 &&
          std::string("!#$%&'*+-.^_`|~").find(char(Byte)) != std::string::npos);
}

} // namespace

// Guards against answers whose status code is no status code: they were passed
// on as "HTTP/1.1 0 Unknown".
TEST_CASE("An answer whose status code is not 100 to 599 is refused",
          "[malformed-answers]") {
  for (const char *Status :
       {"000", "001", "099", "20", "2", "0200", "2000", "600", "999", "", "2x0",
        "-20", "+20", "2e0", "20 0"})
    checkRefused(std::string("HTTP/1.1 ") + Status + " OK\r\n" + Rest,
                 MessageFault::StatusCode);
  checkRefused("HTTP/1.1 000\r\n" + Rest, MessageFault::StatusCode);
  checkRefused("HTTP/1.1\r\n" + Rest, MessageFault::StartLine);
}

// Guards against answers of another protocol that are read as HTTP/1.1.
TEST_CASE("An answer whose status line is not one of HTTP/1 is refused",
          "[malformed-answers]") {
  for (const char *Version : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/01.1"})
    checkRefused(std::string(Version) + " 200 OK\r\n" + Rest,
                 MessageFault::Version);
  for (const char *Start :
       {"\r\nHTTP/1.1 200 OK", "\nHTTP/1.1 200 OK", " HTTP/1.1 200 OK",
        "http/1.1 200 OK", "HTTP/1.10 200 OK", "HTTP/1.1\t200 OK",
        "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x01K",
        "HTTP/1.1 200 O\x7FK", "ICY 200 OK"})
    checkRefused(std::string(Start) + "\r\n" + Rest, MessageFault::StartLine);
  checkRefused("HTTP/1.1  200 OK\r\n" + Rest, MessageFault::StatusCode);
}

// Guards against answers in which a control byte in the name of a field ends
// the header section for the parser, so that what follows is read as the body.
TEST_CASE("An answer with a blank, control byte or delimiter in the name of a "
          "field is refused",
          "[malformed-answers]") {
  for (unsigned Code = 0; Code < 256; ++Code) {
    const auto Byte = static_cast<unsigned char>(Code);
    // A colon ends the name, and CR LF the line.
    if (isTokenByte(Byte) || Byte == ':')
      continue;
    const std::string Bad(1, static_cast<char>(Byte));
    for (const std::string &Before :
         {std::string(), "Id: 1\r\n" + Rest.substr(0, 19)}) {
      for (const std::string &Name :
           {Bad + "X", "X" + Bad + "Y", "X" + Bad, Bad, " " + Bad + "X"}) {
        const std::string Text = Ok + Before + Name + ": y\r\n" + Rest;
        CAPTURE(Code, Text);
        for (std::size_t End = 0; End <= Text.size(); ++End) {
          const Parsed Split = parse(Text, {End});
          if (!Split.Complete && (Split.Fault == MessageFault::FieldName ||
                                  Split.Fault == MessageFault::LineEnd))
            continue;
          CAPTURE(End);
          CHECK_FALSE(Split.Complete);
          CHECK(Split.Fault == MessageFault::FieldName);
        }
      }
    }
  }
  for (const char *Line : {": y", "X", "X y", " ", "\t"})
    checkRefused(Ok + Line + "\r\n" + Rest, MessageFault::FieldName);
}

// Guards against a line that continues the value of the field before it, which
// a blank before the name of a field makes of it.
TEST_CASE("An answer with a folded line is refused", "[malformed-answers]") {
  for (const char *Fold : {" ", "\t", " X: y", "\tX: y"})
    checkRefused(Ok + "A: b\r\n" + Fold + "\r\n" + Rest,
                 MessageFault::FieldName);
}

// Guards against control bytes in values, which other programs may take for the
// end of the line.
TEST_CASE("An answer with a control byte in the value of a field is refused",
          "[malformed-answers]") {
  for (unsigned Code = 0; Code < 256; ++Code) {
    const std::string Byte(1, static_cast<char>(Code));
    if (Byte == "\t" || (Code >= ' ' && Code != 0x7F))
      continue;
    for (const std::string &Value :
         {Byte, Byte + "y", "y" + Byte, "y" + Byte + "z"})
      for (const char *Name : {"X", "Connection", "Upgrade"}) {
        const Parsed Whole =
            parse(Ok + Name + ": " + Value + "\r\n" + Rest, {});
        CAPTURE(Code, Name, Value);
        CHECK_FALSE(Whole.Complete);
        CHECK((Whole.Fault == MessageFault::FieldValue ||
               Whole.Fault == MessageFault::LineEnd));
      }
  }
}

// Guards against lines that end for this program and not for another one.
TEST_CASE("An answer with a line that does not end with CR LF is refused",
          "[malformed-answers]") {
  for (const std::string &Text :
       {"HTTP/1.1 200 OK\n" + Rest, "HTTP/1.1 200 OK\r" + Rest,
        "HTTP/1.1 200\n" + Rest, "HTTP/1.1 200 OK\r\r\n" + Rest,
        Ok + "X: y\n" + Rest, Ok + "X: y\rZ: y\r\n" + Rest,
        Ok + "X: y\r\r\n" + Rest, Ok + "Content-Length: 2\r\n\rab",
        Ok + "Content-Length: 2\r\n\r\rab"})
    checkRefused(Text, MessageFault::LineEnd);
  checkRefused(Ok + "Content-Length: 2\r\n\nab", MessageFault::FieldName);
}

// Guards against chunk sizes in the body, and against bodies in a coding that
// the caller is not told of.
TEST_CASE("An answer with a transfer coding other than a single \"chunked\" is "
          "refused",
          "[malformed-answers]") {
  const std::string Chunks = "2\r\nab\r\n0\r\n\r\n";
  for (const char *Coding :
       {"xchunked", "chunkedx", "chunked, chunked", "gzip, chunked",
        "chunked, gzip", "gzip", "identity", "identity, chunked", "",
        "chunked;q=1", ",chunked", "chunked,", "\"chunked\"", "chun ked",
        "chunked\r\nTransfer-Encoding: chunked",
        "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: identity"})
    checkRefused(Ok + "Transfer-Encoding: " + Coding + "\r\n\r\n" + Chunks,
                 MessageFault::TransferCoding);
  checkRefused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks,
               MessageFault::TransferCoding);
  checkAccepted(Ok + "transfer-encoding:  Chunked \r\n\r\n" + Chunks, 200,
                "ab");
}

// Guards against answers whose end depends on the reader.
TEST_CASE("An answer with an ambiguous length is refused",
          "[malformed-answers]") {
  for (const char *Length :
       {"2\r\nContent-Length: 3", "2\r\nContent-Length: 2", "2, 2", "+2", "-2",
        "0x2", "2 2", "", "2.0", "2;", "18446744073709551618",
        "2\r\nTransfer-Encoding: chunked"})
    checkRefused(Ok + "Content-Length: " + Length + "\r\n\r\nab",
                 MessageFault::BodyLength);
}

// Guards against a chunk whose end depends on the reader.
TEST_CASE("An answer with a malformed chunk is refused",
          "[malformed-answers]") {
  const std::string Head = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Last = "0\r\n\r\n";
  for (const char *Chunk :
       {"2\r\nabXX", "2\r\nab\n", "2\r\nab\rX", "2\r\nab", "2\r\nabc\r\n",
        "2\nab\r\n", "2\rXab\r\n", " 2\r\nab\r\n", "2 \r\nab\r\n",
        "0x2\r\nab\r\n", "+2\r\nab\r\n", "2 x\r\nab\r\n", "2;a\nb\r\nab\r\n",
        "2;a\rb\r\nab\r\n", "2;\x01\r\nab\r\n", "\r\n", "g\r\nab\r\n",
        "10000000000000002\r\nab\r\n", "2\r\nab\r\n\r\n"})
    checkRefused(Head + Chunk + Last, MessageFault::Chunk);
  checkRefused(Head + "2\r\nab\r\n0\n\n", MessageFault::Chunk);
}

// Guards against trailer fields that end the body elsewhere for another reader.
TEST_CASE("An answer with a malformed trailer field is refused",
          "[malformed-answers]") {
  const std::string Head =
      Ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";
  for (const char *Line : {"X : y", "X\x01: y", " X: y", "X"})
    checkRefused(Head + Line + "\r\n\r\n", MessageFault::FieldName);
  checkRefused(Head + "X: \x01\r\n\r\n", MessageFault::FieldValue);
  checkRefused(Head + "X: y\nZ: y\r\n\r\n", MessageFault::LineEnd);
  checkRefused(Head + "\rX", MessageFault::LineEnd);
}

// Guards against trailer fields without end, and against counting some of their
// bytes twice when they arrive one by one.
TEST_CASE("Chunk extensions and trailer fields are limited like the header "
          "section",
          "[malformed-answers]") {
  const std::string Head = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  for (const bool Allowed : {true, false}) {
    const std::string Long(ParserLimits().MaxHeaderBytes - (Allowed ? 8 : 0),
                           'x');
    for (const std::string &Text :
         {Head + "0\r\nA:" + Long + "\r\n\r\n",
          Head + "2;" + Long + "\r\nab\r\n0\r\n\r\n"}) {
      std::vector<std::size_t> Each;
      for (std::size_t End = 1; End < Text.size(); ++End)
        Each.push_back(End);
      CHECK(parse(Text).Complete == Allowed);
      CHECK(parse(Text, Each).Complete == Allowed);
    }
  }
}

// Guards against a switch of protocols that nobody asked for: what follows is
// not HTTP.
TEST_CASE("An answer that switches protocols is refused",
          "[malformed-answers]") {
  checkRefused("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
               "Connection: upgrade\r\n\r\n",
               MessageFault::Upgrade);
}

// Guards against the bytes of the next answer in the body of one that has none,
// and against waiting for a body that does not come.
TEST_CASE("An answer that has no body by its status or request ends with its "
          "header",
          "[malformed-answers]") {
  for (const char *Status : {"100", "103", "204", "304"})
    for (const char *Fields :
         {"", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"}) {
      const std::string Text =
          std::string("HTTP/1.1 ") + Status + " Reason\r\n" + Fields + "\r\n";
      checkAccepted(Text, std::stoi(Status), "");
      CHECK(parse(Text + "HTTP/1.1 200 OK\r\n").Used == Text.size());
    }
  checkAccepted(Ok + "Content-Length: 2\r\n\r\n", 200, "", true);
  checkAccepted(Ok + "Transfer-Encoding: chunked\r\n\r\n", 200, "", true);
}

// Guards against refusing what servers may send.
TEST_CASE("Proper answers are read alike however their bytes are split",
          "[malformed-answers]") {
  for (const char *Line : {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK",
                           "HTTP/1.2 200 OK", "HTTP/1.1 200 \t\xC3\xA4 b"})
    checkAccepted(std::string(Line) + "\r\n" + Rest, 200, "ab");
  for (const char *Status : {"200", "299", "404", "503", "599"})
    checkAccepted(std::string("HTTP/1.1 ") + Status + " R\r\n" + Rest,
                  std::stoi(Status), "ab");
  checkAccepted("HTTP/1.0 200 OK\r\n\r\nab", 200, "ab");
  checkAccepted(Ok + "Connection: close\r\n\r\nab", 200, "ab");
  checkAccepted(Ok + "X:\r\nY:z\r\n!#$%&'*+-.^_`|~: \xE4\t;\"\r\n" + Rest, 200,
                "ab");
  checkAccepted(Ok + "Content-Length: 02 \r\n\r\nab", 200, "ab");
  checkAccepted(Ok + "Transfer-Encoding: chunked\r\n\r\n"
                     "01;a=\"b;c\"\r\na\r\nB ; x\r\nbcdefghijkl\r\n"
                     "000\r\nX: y\r\nZ:\r\n\r\n",
                200, "abcdefghijkl");
  const Parsed Trimmed = parse(Ok + "X: \t y z \t\r\n" + Rest);
  REQUIRE(Trimmed.Complete);
  CHECK(*findHeader(Trimmed.Message.Headers, "X") == "y z");
}
