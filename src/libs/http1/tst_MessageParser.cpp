#include "http1/MessageParser.h"
#include "http1/MessageSerializer.h"

#include <catch2/catch.hpp>

using namespace rr;

namespace {

ParseError errorOf(const std::string &Text, ParserLimits Limits = {}) {
  MessageParser Parser(MessageParser::Kind::Request, Limits);
  Parser.feed(Text);
  return Parser.error();
}

} // namespace

TEST_CASE("A request is parsed in parts of any size, and bytes after it are "
          "left",
          "[http1]") {
  const std::string Text = "POST /a?b HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /";
  for (std::size_t Piece = 1; Piece < Text.size(); ++Piece) {
    MessageParser Parser(MessageParser::Kind::Request, {});
    std::size_t At = 0;
    while (At < Text.size() && !Parser.isComplete()) {
      const std::string_view Bytes = std::string_view(Text).substr(At, Piece);
      At += Parser.feed(Bytes);
    }
    REQUIRE(Parser.isComplete());
    CHECK(Text.substr(At) == "GET /");
    const HttpMessage Request = Parser.take();
    CHECK(Request.Method == "POST");
    CHECK(Request.Target == "/a?b");
    CHECK(Request.Body == "abcde");
  }
}

TEST_CASE("Ambiguous requests are malformed", "[http1]") {
  const char *const Requests[] = {
      "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
      "GET / HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
      "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
      "Content-Length: 4\r\n\r\nabcd",
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "nonsense\r\n\r\n",
      "GET / HTTP/1.1\nHost: h\n\n",
      "GET / HTTP/1.1\r\nHost: h\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\n\n",
      "GET / HTTP/1.1\r\nHost: h\r\n\rX: y\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nX: y\rZ: y\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\n\nX: y\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nX: y\r\n Z: y\r\n\r\n",
      "GET / HTTP/1.1\r\n Host: h\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nX\x01: y\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nX: \x01\r\n\r\n",
      "\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /  HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET / HTTP/1.1 \r\nHost: h\r\n\r\n",
      "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n",
      "SOURCE / ICE/1.0\r\nHost: h\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n"
      "\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n"
      "\r\n0\r\n\r\n",
      "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "\r\n2\r\nabXX0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "\r\n2 \r\nab\r\n0\r\n\r\n",
  };
  for (const char *Request : Requests) {
    CAPTURE(Request);
    CHECK(errorOf(Request) == ParseError::Malformed);
  }
}

// Guards against refusing what callers may send.
TEST_CASE("Proper requests are accepted", "[http1]") {
  const char *const Requests[] = {
      "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
      "\r\n\r\nGET / HTTP/1.1\r\nhost:h\r\nX:\r\n\r\n",
      "GET /a%20b?c=d&e=[f]|\"#g HTTP/1.1\r\nHost: h \t\r\n\r\n",
      "GET /\xC3\xA4 HTTP/1.1\r\nHost: h\r\nX: \xE4\t\r\n\r\n",
      "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
      ("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2;a=b\r\nab\r\n0\r\nX: y\r\n\r\n"),
  };
  for (const std::string Request : Requests)
    for (std::size_t Split = 1; Split <= Request.size(); ++Split) {
      CAPTURE(Request, Split);
      MessageParser Parser(MessageParser::Kind::Request, {});
      Parser.feed(Request.substr(0, Split));
      Parser.feed(Request.substr(Split));
      CHECK(Parser.isComplete());
    }
}

TEST_CASE("Headers and bodies above the limits are distinguished", "[http1]") {
  const ParserLimits Limits{100, 10};
  CHECK(errorOf("GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(200, 'a') +
                    "\r\n\r\n",
                Limits) == ParseError::HeaderTooLarge);
  CHECK(errorOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n",
                Limits) == ParseError::BodyTooLarge);
  CHECK(errorOf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\nb\r\n01234567890\r\n",
                Limits) == ParseError::BodyTooLarge);
}

TEST_CASE("A response without a length is complete only when its connection "
          "is closed properly",
          "[http1]") {
  MessageParser Parser(MessageParser::Kind::Response, {});
  Parser.feed("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
  CHECK_FALSE(Parser.isComplete());
  Parser.finish();
  CHECK(Parser.isComplete());
  CHECK(Parser.take().Body == "abc");
}

TEST_CASE("A truncated response is never complete", "[http1]") {
  const char *const Answers[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      "HTTP/1.1 200 OK\r\nContent-Len",
  };
  for (const char *Response : Answers) {
    CAPTURE(Response);
    MessageParser Parser(MessageParser::Kind::Response, {});
    Parser.feed(Response);
    Parser.finish();
    CHECK_FALSE(Parser.isComplete());
    CHECK(Parser.error() == ParseError::Malformed);
  }
}

// Guards against a short answer that looks whole.
TEST_CASE("A response whose head ends at any byte is never complete",
          "[http1]") {
  for (const std::string Head :
       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"})
    for (std::size_t End = 0; End < Head.size(); ++End) {
      CAPTURE(Head, End);
      MessageParser Parser(MessageParser::Kind::Response, {});
      Parser.feed(Head.substr(0, End));
      Parser.finish();
      CHECK_FALSE(Parser.isComplete());
      CHECK(Parser.error() == ParseError::Malformed);
    }
}

TEST_CASE("Hop-by-hop header fields are removed", "[http1]") {
  HttpHeaders Headers = {{"Connection", "close, X-Private"},
                         {"X-Private", "1"},
                         {"Keep-Alive", "timeout=4"},
                         {"Transfer-Encoding", "chunked"},
                         {"Content-Length", "3"},
                         {"X-Kept", "1"}};
  removeHopByHopHeaders(Headers);
  REQUIRE(Headers.size() == 1);
  CHECK(Headers.front().Name == "X-Kept");
}
