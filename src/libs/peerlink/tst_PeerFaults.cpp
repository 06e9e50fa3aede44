#include "peerlink/Envelope.h"
#include "peerlink/Handshake.h"
#include "peerlink/MessageBody.h"
#include "peerlink/PeerTestBed.h"
#include "peerlink/WebSocketCodec.h"

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rr;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

// TCP client that sends only what the test passes to it.
struct RawPeer {
  explicit RawPeer(std::uint16_t Port) : Socket(Context) {
    this->Socket.connect({asio::ip::address_v4::loopback(), Port});
    this->Socket.non_blocking(true);
  }

  void write(const std::string &Bytes) {
    asio::error_code Ignored;
    asio::write(this->Socket, asio::buffer(Bytes), Ignored);
  }
  // Returns the bytes received so far and detects when the other end closes.
  std::string read() {
    std::string Result(65536, '\0');
    asio::error_code Error;
    Result.resize(this->Socket.read_some(asio::buffer(Result), Error));
    this->Closed = this->Closed || (Error && Error != asio::error::would_block);
    return Result;
  }
  bool isClosed() {
    this->read();
    return this->Closed;
  }

  asio::io_context Context;
  tcp::socket Socket;
  bool Closed = false;
};

// Dialer that implements WebSocket but not the handshake.
struct SocketPeer {
  explicit SocketPeer(std::uint16_t Port)
      : Raw(Port),
        Codec(WebSocketCodec::Role::Dialer, 1 << 20,
              {[this](const char *Data, std::size_t Size) {
                 this->Raw.write(std::string(Data, Size));
               },
               [] {}, [this](std::string Payload) { this->Received = Payload; },
               [](const std::string &) {}}) {
    this->Codec.start();
  }
  std::string received() {
    const std::string Bytes = this->Raw.read();
    this->Codec.feed(Bytes.data(), Bytes.size());
    return this->Received;
  }

  RawPeer Raw;
  std::string Received;
  WebSocketCodec Codec;
};

// Listener whose connections are accepted by the kernel and never answered.
struct SilentListener {
  SilentListener() : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {}
  std::string address() {
    return PeerTestBed::address(this->Acceptor.local_endpoint().port());
  }
  asio::io_context Context;
  tcp::acceptor Acceptor;
};

} // namespace

// Guards against links to dialers or acceptors that do not know the secret.
TEST_CASE("No link is established with a wrong secret") {
  PeerTestBed Bed;
  auto Options = PeerTestBed::options("b");
  Options.SharedSecret = "other";
  const auto A = Bed.node("a"), B = Bed.node(Options);
  int ReceivedCount = 0;
  B->onMessage("news",
               [&](const std::string &, const Message &) { ++ReceivedCount; });
  REQUIRE(A->connect("b", PeerTestBed::address(B->port())));
  CHECK(Bed.waitFor([&] { return B->counters().WrongSecrets == 1; }));
  CHECK(Bed.waitFor([&] {
    return Bed.saw(PeerEvent::Kind::HandshakeFailed,
                   LinkEndReason::WrongSecret);
  }));
  CHECK(A->send("b", {"news", ""}).error() == Errc::Unavailable);
  CHECK_FALSE(Bed.saw(PeerEvent::Kind::LinkUp));
  CHECK(ReceivedCount == 0);
}

// Guards against processing messages of unauthenticated connections.
TEST_CASE("A message before the handshake closes the connection") {
  PeerTestBed Bed;
  const auto A = Bed.node("a");
  int ReceivedCount = 0;
  A->onMessage("news",
               [&](const std::string &, const Message &) { ++ReceivedCount; });
  SocketPeer Stranger(A->port());
  REQUIRE(Bed.waitFor([&] { return !Stranger.received().empty(); }));
  Envelope News;
  News.Content.Method = "news";
  Stranger.Codec.sendBinary(encodeEnvelope(News));
  CHECK(Bed.waitFor([&] { return A->counters().MalformedPeers == 1; }));
  CHECK(Bed.waitFor([&] { return Stranger.Raw.isClosed(); }));
  CHECK(ReceivedCount == 0);
}

// Guards against replay attacks: the proof must depend on the acceptor's nonce.
TEST_CASE("A replayed hello is rejected on another connection") {
  Handshake Dialer(1, {"a", "z", "i"}, "secret");
  Handshake First(1, {"b", "z", "j"}, "secret");
  Handshake Second(1, {"b", "z", "j"}, "secret");
  REQUIRE_FALSE(Dialer.readChallenge(First.challenge()));
  const std::string Hello = Dialer.hello();
  CHECK_FALSE(First.readHello(Hello));
  CHECK(Second.readHello(Hello) == LinkEndReason::WrongSecret);
  Handshake Imposter(1, {"b", "z", "j"}, "other");
  CHECK(Dialer.readWelcome(Imposter.welcome()) == LinkEndReason::WrongSecret);
  CHECK(Dialer.readWelcome(Second.welcome()) == LinkEndReason::WrongSecret);
  CHECK_FALSE(Dialer.readWelcome(First.welcome()));
  CHECK(Dialer.peer().Name == "b");
}

// Guards against links between instances of different protocol versions.
TEST_CASE("A protocol mismatch is refused and counted") {
  PeerTestBed Bed;
  auto Options = PeerTestBed::options("b");
  Options.Protocol = PeerOptions::CurrentProtocol + 1;
  const auto A = Bed.node("a"), B = Bed.node(Options);
  REQUIRE(A->connect("b", PeerTestBed::address(B->port())));
  CHECK(Bed.waitFor([&] { return A->counters().ProtocolMismatches == 1; }));
  CHECK(Bed.waitFor([&] { return B->counters().ProtocolMismatches == 1; }));
  CHECK_FALSE(A->isLinked("b"));
}

// Guards against linking to another instance that has taken over the address of
// the peer.
TEST_CASE("A link to an instance of another name is refused") {
  PeerTestBed Bed;
  const auto A = Bed.node("a"), C = Bed.node("c");
  REQUIRE(A->connect("b", PeerTestBed::address(C->port())));
  CHECK(Bed.waitFor([&] {
    return Bed.saw(PeerEvent::Kind::HandshakeFailed, LinkEndReason::WrongName);
  }));
  CHECK_FALSE(A->isLinked("b"));
}

// Guards against input that crashes the process, and against connections that
// stay open without a handshake.
TEST_CASE("Invalid or missing input closes a connection but no other link") {
  PeerTestBed Bed;
  const auto A = Bed.node("a"), B = Bed.node("b");
  REQUIRE(Bed.link(*A, *B, "b"));
  RawPeer Garbage(A->port()), Mute(A->port());
  Garbage.write("\x16\x03\x01 garbage \xff\xfe\r\n\r\n");
  CHECK(Bed.waitFor([&] { return Garbage.isClosed(); }));
  CHECK(A->counters().MalformedPeers == 1);
  CHECK(Bed.Events.back().Address ==
        PeerTestBed::address(Garbage.Socket.local_endpoint().port()));
  Bed.advance(4s);
  CHECK(Bed.waitFor([&] { return Mute.isClosed(); }));
  CHECK(A->counters().HandshakeTimeouts == 1);
  CHECK(A->isLinked("b"));
}

// Guards against buffering messages above the maximum size.
TEST_CASE("An oversize message closes the link to its sender") {
  PeerTestBed Bed;
  auto Small = PeerTestBed::options("b");
  Small.Limits.MaxMessageBytes = 1000;
  const auto A = Bed.node("a"), B = Bed.node(Small);
  REQUIRE(Bed.link(*A, *B, "b"));
  REQUIRE(A->send("b", {"news", std::string(2000, 'x')}));
  CHECK(Bed.waitFor([&] { return B->counters().OversizeMessages == 1; }));
  CHECK(Bed.waitFor([&] {
    return Bed.saw(PeerEvent::Kind::LinkDown, LinkEndReason::Oversize);
  }));
}

// Guards against waiting forever for a listener that accepts connections but
// does not respond, and against reporting its process as ended.
TEST_CASE(
    "An unresponsive listener causes a handshake timeout, not a refusal") {
  PeerTestBed Bed;
  const auto A = Bed.node("a");
  SilentListener Silent;
  REQUIRE(A->connect("b", Silent.address()));
  Bed.advance(4s);
  CHECK(Bed.saw(PeerEvent::Kind::HandshakeFailed,
                LinkEndReason::HandshakeTimeout));
  CHECK_FALSE(Bed.saw(PeerEvent::Kind::ConnectRefused));
}

// Guards against keeping a half-open link, whose connection is established but
// whose other end no longer sends anything.
TEST_CASE("A link is closed after 3 s of silence, not before") {
  PeerTestBed Bed;
  const auto A = Bed.node("a");
  SocketPeer Peer(A->port());
  REQUIRE(Bed.waitFor([&] { return !Peer.received().empty(); }));
  Handshake Auth(PeerOptions::CurrentProtocol, {"b", "z", "i"}, "secret");
  REQUIRE_FALSE(Auth.readChallenge(Peer.Received));
  Peer.Codec.sendBinary(Auth.hello());
  REQUIRE(Bed.waitFor([&] { return A->isLinked("b"); }));
  Bed.advance(2900ms);
  CHECK(A->isLinked("b"));
  Bed.advance(200ms);
  CHECK_FALSE(A->isLinked("b"));
  CHECK(Bed.saw(PeerEvent::Kind::LinkDown, LinkEndReason::Silent));
  CHECK(A->counters().SilentLinks == 1);
}

// Guards against heartbeats that stop, which would close an idle link.
TEST_CASE("An idle link between live instances stays up") {
  PeerTestBed Bed;
  const auto A = Bed.node("a"), B = Bed.node("b");
  REQUIRE(Bed.link(*A, *B, "b"));
  Bed.advance(30s);
  CHECK(A->isLinked("b"));
  CHECK(A->counters().LinksDown == 0);
  CHECK(A->roundTrip("b").has_value());
}

// Guards against deep nesting, which overflows the stack of the parser, and
// against invalid lengths and invalid UTF-8.
TEST_CASE("Malformed bodies are refused") {
  const auto Sample = nlohmann::json::parse(R"({"a": [1, -2, 3.5, "\u00e9"],
    "b": {"c": null, "d": true}})");
  CHECK(*decodeBody(encodeBody(Sample)) == Sample);
  const std::string Good = encodeBody(Sample);
  for (std::size_t Size = 0; Size < Good.size(); ++Size)
    CHECK_FALSE(decodeBody(std::string_view(Good).substr(0, Size)));
  CHECK_FALSE(decodeBody(Good + "x"));
  CHECK_FALSE(decodeBody(std::string(1 << 20, '\x81')));
  CHECK_FALSE(decodeBody(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff")));
  CHECK_FALSE(decodeBody("\x62\xc3\x28"));
  CHECK_FALSE(decodeBody("\x9f\x01\xff"));
  CHECK_FALSE(decodeEnvelope(Good));
}
