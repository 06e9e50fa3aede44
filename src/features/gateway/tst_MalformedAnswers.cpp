#include "gateway/InstanceTestBed.h"
#include "gateway/StandbyBed.h"
#include "http1/RawAnswerServer.h"
#include "logging/EventLog.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// An instance with one backend server whose answers are any bytes. "@" stands
/// for the fields that a proper answer has.
struct RawBed : InstanceTestBed {
  explicit RawBed(std::string Answer)
      : Bytes(std::move(Answer)),
        Raw(this->Context, [this](const std::string &Head) {
          this->LastId = RawAnswerServer::fieldOf(Head, "Id");
          std::string Text = this->Bytes;
          if (const auto At = Text.find('@'); At != std::string::npos)
            Text.replace(At, 1, "Id: " + this->LastId + "\r\nStamp: s\r\n");
          return Text;
        }) {
    this->Tables.put("backends", "raw", this->Raw.address() + " z-a ready");
    this->configure(1, {"key"});
    if (!this->Instance->start())
      std::abort();
    this->advance(100ms);
  }

  /// What a caller gets when the answer with these fields and body is passed
  /// on.
  std::string passedOn(const std::string &StatusLine, const std::string &Length,
                       const std::string &Body) const {
    return StatusLine + "\r\nId: " + this->LastId + "\r\nStamp: s\r\n" +
           Length + "Connection: close\r\n\r\n" + Body;
  }

  std::string Bytes;
  std::string LastId;
  RawAnswerServer Raw;
};

/// The events that are logged during its lifetime.
class LogCapture {
public:
  LogCapture() {
    if (::pipe(this->Pipe) != 0)
      std::abort();
    ::fcntl(this->Pipe[0], F_SETFL, O_NONBLOCK);
    EventLogSettings Settings;
    Settings.Descriptor = this->Pipe[1];
    startEventLog(Settings);
  }
  ~LogCapture() {
    EventLogSettings Settings;
    Settings.Level = "error";
    Settings.Descriptor = ::open("/dev/null", O_WRONLY);
    startEventLog(Settings);
    ::close(this->Pipe[0]);
    ::close(this->Pipe[1]);
  }
  LogCapture(const LogCapture &) = delete;
  LogCapture &operator=(const LogCapture &) = delete;

  /// Lines with \p Text.
  std::vector<std::string> linesWith(const std::string &Text) {
    char Buffer[65536];
    for (ssize_t Length = 1; Length > 0;) {
      Length = ::read(this->Pipe[0], Buffer, sizeof Buffer);
      if (Length > 0)
        this->Received.append(Buffer, std::size_t(Length));
    }
    std::vector<std::string> Lines;
    for (std::size_t At = 0; At < this->Received.size();) {
      const std::size_t End = this->Received.find('\n', At);
      const std::string Line = this->Received.substr(At, End - At);
      if (Line.find(Text) != std::string::npos)
        Lines.push_back(Line);
      At = End == std::string::npos ? End : End + 1;
    }
    return Lines;
  }

private:
  int Pipe[2];
  std::string Received;
};

std::string lostReply(const std::string &Text) {
  return "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/plain\r\n"
         "Content-Length: " +
         std::to_string(Text.size() + 1) + "\r\nConnection: close\r\n\r\n" +
         Text + "\n";
}

const std::string ServerLost = lostReply(
    "no usable answer from the backend server; the request may have run");
const std::string InstanceLost = lostReply(
    "no usable answer from another instance; the request may have run");

struct Malformed {
  std::string Bytes;
  const char *Reason;
};

const std::string Body = "Content-Length: 2\r\n\r\nab";

const std::vector<Malformed> Answers = {
    {"HTTP/1.1 000 OK\r\n@" + Body, "status_code"},
    {"HTTP/1.1 099 OK\r\n@" + Body, "status_code"},
    {"HTTP/1.1 20 OK\r\n@" + Body, "status_code"},
    {"HTTP/1.1 600 OK\r\n@" + Body, "status_code"},
    {"HTTP/2.0 200 OK\r\n@" + Body, "version"},
    {"\r\nHTTP/1.1 200 OK\r\n@" + Body, "start_line"},
    {"HTTP/1.1 200 OK\r\n@X y: z\r\n" + Body, "field_name"},
    {"HTTP/1.1 200 OK\r\n@ X: z\r\n" + Body, "field_name"},
    {"HTTP/1.1 200 OK\r\n@X\x01: z\r\n" + Body, "field_name"},
    {"HTTP/1.1 200 OK\r\n@\nX: z\r\n" + Body, "field_name"},
    {"HTTP/1.1 200 OK\r\n@\rX: z\r\n" + Body, "line_end"},
    {"HTTP/1.1 200 OK\r\n@X: \x01z\r\n" + Body, "field_value"},
    {"HTTP/1.1 200 OK\r\n@Transfer-Encoding: xchunked\r\n\r\n2\r\nab\r\n"
     "0\r\n\r\n",
     "transfer_coding"},
    {"HTTP/1.1 200 OK\r\n@Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n"
     "0\r\n\r\n",
     "transfer_coding"},
    {"HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n2\r\nabXX"
     "0\r\n\r\n",
     "chunk"},
    {"HTTP/1.1 101 Switching Protocols\r\n@\r\n", "upgrade"},
};

/// Two large instances and a standby of one zone, which share the tables and
/// the backend server.
struct StandbyFleet : RawBed {
  explicit StandbyFleet(const std::string &Answer) : RawBed(Answer) {
    this->Configs[1] = testConfiguration(1, {"key"}, 0, 0);
    for (const auto &[Name, Share] :
         {std::pair("large1", 0.5), {"large2", 0.5}, {"small", 0.1}}) {
      GatewaySettings Settings = testSettings();
      Settings.Name = Name;
      Settings.CpuShare = Share;
      this->Others.push_back(std::make_unique<SteeringInstance>(
          this->Context, Settings, this->Tables.tables(),
          testCodec(this->Configs)));
      if (!this->Others.back()->start())
        std::abort();
    }
    this->advance(10s);
  }

  std::string requestThroughStandby(const std::string &Target) {
    LoopbackClient Peer(this->Context, this->Others.back()->callerPort());
    Peer.send("GET " + Target +
              " HTTP/1.1\r\nHost: h\r\nId: through-standby\r\n"
              "Deadline: 1500\r\nKey: key\r\nConnection: close\r\n\r\n");
    for (int Step = 0; Step < 400 && !Peer.Ended; ++Step)
      this->advance(10ms);
    return Peer.Received;
  }

  TestConfigurations Configs;
  std::vector<std::unique_ptr<SteeringInstance>> Others;
};

} // namespace

// Guards against bytes of a server in trouble that reach the caller as an
// answer.
TEST_CASE("A malformed answer is replaced by a refusal that does not say that "
          "the request has not run",
          "[malformed-answers]") {
  for (const bool Closes : {false, true})
    for (const Malformed &Sent : Answers) {
      CAPTURE(Sent.Bytes, Closes);
      RawBed B(Sent.Bytes);
      B.Raw.CloseAfterAnswer = Closes;
      CHECK(B.request("GET", "/order/x") == ServerLost);
      CHECK(B.Raw.Requests == 1);
      B.advance(50ms);
      CHECK(B.Raw.Open == 0);
      CHECK(B.metrics().find("steering_malformed_answers_total{reason=\"" +
                             std::string(Sent.Reason) +
                             "\",sender=\"server\"} 1") != std::string::npos);
    }
}

// Guards against an answer that is recognized only if it arrives in one piece.
TEST_CASE("A malformed answer is refused wherever its bytes are split",
          "[malformed-answers]") {
  for (const Malformed &Sent : Answers) {
    RawBed B(Sent.Bytes);
    for (std::size_t At = 1; At < Sent.Bytes.size() + 20; At += 7) {
      CAPTURE(Sent.Bytes, At);
      B.Raw.SplitAt = At;
      CHECK(B.request("GET", "/order/x") == ServerLost);
      // The server is avoided after failures.
      B.advance(30s);
    }
  }
}

// Guards against a caller that has to repeat what this instance may repeat.
TEST_CASE("A request that may be repeated is sent to another server after a "
          "malformed answer",
          "[malformed-answers]") {
  for (const Malformed &Sent : Answers) {
    CAPTURE(Sent.Bytes);
    RawBed B("HTTP/1.1 200 OK\r\n@" + Body);
    B.addBackend("good");
    B.advance(8s);
    // The retry budget is a share of the requests, so some must be sent first.
    for (int Index = 0; Index < 20; ++Index)
      CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
    B.Bytes = Sent.Bytes;
    const int Before = B.Raw.Requests;
    for (int Round = 0; Round < 50 && B.Raw.Requests == Before; ++Round) {
      const std::string Answer = B.request("GET", "/safe/x");
      REQUIRE_FALSE(B.Backends.at("good").Requests.empty());
      const HttpMessage &Arrived = B.Backends.at("good").Requests.back();
      CHECK(Answer ==
            "HTTP/1.1 200 OK\r\nId: " + *findHeader(Arrived.Headers, "Id") +
                "\r\nStamp: s\r\nContent-Length: 10\r\n"
                "Connection: close\r\n\r\nwhole body");
    }
    CHECK(B.Raw.Requests == Before + 1);
  }
}

// Guards against an incident that cannot be explained from the log.
TEST_CASE("A malformed answer is logged once, with the server, the reason and "
          "the request",
          "[malformed-answers]") {
  RawBed B(Answers.front().Bytes);
  LogCapture Log;
  CHECK(B.request("GET", "/order/x") == ServerLost);
  const auto Lines = Log.linesWith("name=AnswerMalformed");
  REQUIRE(Lines.size() == 1);
  for (const std::string &Field :
       {std::string(" server=raw "), std::string(" reason=status_code "),
        " request=" + B.LastId + " "})
    CHECK(Lines.front().find(Field) != std::string::npos);
  CHECK(Log.linesWith("name=AttemptFailed").empty());
}

// Guards against malformed answers that reach a caller through a standby.
TEST_CASE("A malformed answer does not reach a caller through a standby",
          "[malformed-answers][standby]") {
  for (const Malformed &Sent : Answers) {
    CAPTURE(Sent.Bytes);
    StandbyFleet B(Sent.Bytes);
    REQUIRE(B.Others.back()->state().Standby);
    CHECK(B.requestThroughStandby("/order/x") == ServerLost);
    CHECK(B.LastId == "through-standby");
    CHECK(B.Raw.Requests == 1);
  }
}

// Guards against bytes of whatever listens at the address of another instance.
TEST_CASE("A standby does not pass on a malformed answer of another instance",
          "[malformed-answers][standby]") {
  for (const Malformed &Sent : Answers) {
    CAPTURE(Sent.Bytes);
    StandbyBed B;
    RawAnswerServer Other(B.Context, [&](const std::string &Head) {
      std::string Text = Sent.Bytes;
      if (const auto At = Text.find('@'); At != std::string::npos)
        Text.replace(At, 1,
                     "Id: " + RawAnswerServer::fieldOf(Head, "Id") +
                         "\r\nStamp: s\r\n");
      return Text;
    });
    B.LargeAddress = Other.address();
    for (int Second = 0; Second < 10; ++Second) {
      B.putLarge();
      B.advance(1s);
    }
    LogCapture Log;
    CHECK(B.request("GET", "/order/x") == InstanceLost);
    CHECK(Other.Requests == 1);
    CHECK(Log.linesWith("name=AnswerMalformed").size() == 1);
    B.advance(50ms);
    CHECK(Other.Open == 0);
    CHECK(B.metrics().find("steering_malformed_answers_total{reason=\"" +
                           std::string(Sent.Reason) +
                           "\",sender=\"instance\"} 1") != std::string::npos);
  }
}

// Guards against refusing what servers may send, and against connections that
// are not used again after it.
TEST_CASE("Proper answers are passed on unchanged", "[malformed-answers]") {
  struct Proper {
    const char *Method;
    std::string Bytes;
    const char *StatusLine;
    const char *Length;
    const char *Body;
    bool KeepsConnection = true;
  };
  const char *const Two = "Content-Length: 2\r\n";
  const char *const Zero = "Content-Length: 0\r\n";
  const std::vector<Proper> Sent = {
      {"GET", "HTTP/1.1 200 OK\r\n@" + Body, "HTTP/1.1 200 OK", Two, "ab"},
      {"GET", "HTTP/1.1 200\r\n@" + Body, "HTTP/1.1 200 OK", Two, "ab"},
      {"GET", "HTTP/1.1 200 \r\n@" + Body, "HTTP/1.1 200 OK", Two, "ab"},
      {"GET", "HTTP/1.0 200 OK\r\n@" + Body, "HTTP/1.1 200 OK", Two, "ab",
       false},
      {"GET", "HTTP/1.1 404 Not Found\r\n@" + Body, "HTTP/1.1 404 Not Found",
       Two, "ab"},
      {"GET",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
       "HTTP/1.1 200 OK\r\n@" +
           Body,
       "HTTP/1.1 200 OK", Two, "ab"},
      {"GET",
       "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n1;x=\"y\"\r\na"
       "\r\n1\r\nb\r\n0\r\nX: y\r\n\r\n",
       "HTTP/1.1 200 OK", Two, "ab"},
      {"HEAD", "HTTP/1.1 200 OK\r\n@Content-Length: 2\r\n\r\n",
       "HTTP/1.1 200 OK", Zero, ""},
      {"GET", "HTTP/1.1 204 No Content\r\n@\r\n", "HTTP/1.1 204 No Content", "",
       ""},
      {"GET", "HTTP/1.1 204 No Content\r\n@Content-Length: 0\r\n\r\n",
       "HTTP/1.1 204 No Content", "", ""},
      {"GET", "HTTP/1.1 304 Not Modified\r\n@\r\n", "HTTP/1.1 304 Not Modified",
       "", ""},
      {"GET", "HTTP/1.1 304 Not Modified\r\n@Content-Length: 2\r\n\r\n",
       "HTTP/1.1 304 Not Modified", "", ""},
  };
  for (const Proper &Item : Sent) {
    CAPTURE(Item.Bytes);
    RawBed B(Item.Bytes);
    for (int Round = 0; Round < 2; ++Round) {
      B.Raw.SplitAt = Round == 0 ? 0 : Item.Bytes.size() / 2;
      const std::string Answer = B.request(Item.Method, "/order/x");
      CHECK(Answer == B.passedOn(Item.StatusLine, Item.Length, Item.Body));
    }
    CHECK(B.Raw.Accepted == (Item.KeepsConnection ? 1 : 2));
  }
}

// Guards against an answer without a length that is not passed on at its end.
TEST_CASE("A proper answer that ends with its connection is passed on",
          "[malformed-answers]") {
  for (const char *Version : {"HTTP/1.0", "HTTP/1.1"}) {
    RawBed B(std::string(Version) + " 200 OK\r\n@\r\nab");
    B.Raw.CloseAfterAnswer = true;
    const std::string Answer = B.request("GET", "/order/x");
    CHECK(Answer ==
          B.passedOn("HTTP/1.1 200 OK", "Content-Length: 2\r\n", "ab"));
  }
}
