#include "http1/ByteBudget.h"
#include "http1/HttpServer.h"
#include "http1/LoopbackClient.h"

#include "base/OneShotEvent.h"
#include "testing/RunReady.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

#include <malloc.h>

#include <string_view>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const std::string Filler(1000, 'x');

struct Shape {
  const char *Name;
  std::string Head;
  /// Repeated without end; nothing follows the head if it is empty.
  std::string Piece;
};

std::string repeated(const std::string &Text, std::size_t Bytes) {
  std::string Result;
  while (Result.size() < Bytes)
    Result += Text;
  return Result;
}

const Shape Shapes[] = {
    {"header", "POST / HTTP/1.1\r\nHost: h\r\nA: ", Filler},
    {"header fields", "POST / HTTP/1.1\r\nHost: h\r\n",
     "A: " + Filler + "\r\n"},
    {"target", "GET /", Filler},
    // Just below the limit for one header, whose end never comes.
    {"unfinished header",
     "POST / HTTP/1.1\r\nHost: h\r\n" +
         repeated("A: " + Filler + "\r\n", 15000),
     ""},
    {"unfinished header of short fields",
     "POST / HTTP/1.1\r\nHost: h\r\n" + repeated("A:\r\n", 10000), ""},
    {"body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n",
     Filler},
    {"chunks",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
     "3e8\r\n" + Filler + "\r\n"},
    {"trailer",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\nA: ",
     Filler},
    // Later requests wait while the first one runs.
    {"pipelined requests", "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n",
     "GET / HTTP/1.1\r\nHost: h\r\nA: " + Filler + "\r\n\r\n"},
};

/// Caller that sends as much as its connection takes.
struct EndlessCaller {
  EndlessCaller(asio::io_context &Context, std::uint16_t Port)
      : Socket(Context) {
    this->Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
    this->Socket.set_option(asio::socket_base::send_buffer_size(8192));
    this->Socket.non_blocking(true);
  }

  /// Sends until the connection takes no more. Returns the number of bytes.
  std::size_t send(const Shape &Sent) {
    std::size_t Count = 0;
    asio::error_code Error;
    while (!Error) {
      if (this->Left.empty())
        this->Left = this->Begun ? Sent.Piece : Sent.Head;
      this->Begun = true;
      if (this->Left.empty())
        break;
      const std::size_t Length = this->Socket.write_some(
          asio::buffer(this->Left.data(), this->Left.size()), Error);
      this->Left.remove_prefix(Length);
      Count += Length;
    }
    return Count;
  }

  asio::ip::tcp::socket Socket;
  /// Of the shape, which outlives the caller.
  std::string_view Left;
  bool Begun = false;
};

} // namespace

// Guards against running out of memory when many callers send without end, each
// of them within the limits for one connection.
TEST_CASE("Endless requests of many connections stay within the memory budget",
          "[http1]") {
  const Shape &Sent =
      GENERATE(from_range(std::begin(Shapes), std::end(Shapes)));
  CAPTURE(Sent.Name);
  constexpr std::size_t Connections = 400;
  constexpr std::size_t Capacity = std::size_t{1} << 20;
  // Sockets, coroutines and timers of a connection, its read buffer, and what
  // the buffers of one message hold beyond its bytes.
  constexpr std::size_t ConnectionBytes = 12U << 10;
  TestLoop Loop;
  const auto Budget = std::make_shared<ByteBudget>(Capacity);
  OneShotEvent Never(Loop.context().get_executor());
  HttpServer Server(Loop.context(),
                    [&](HttpMessage Request, const CancellationPtr &)
                        -> asio::awaitable<HttpMessage> {
                      if (Request.Target == "/hold")
                        co_await Never.wait();
                      HttpMessage Reply;
                      Reply.Status = 200;
                      co_return Reply;
                    });
  HttpServerLimits Limits;
  Limits.Message = {16U << 10, 64U << 20, Budget};
  Server.setLimits(Limits);
  REQUIRE(Server.listen("127.0.0.1:0"));
  std::vector<std::unique_ptr<EndlessCaller>> Callers;
  for (std::size_t Index = 0; Index < Connections; ++Index) {
    Callers.push_back(
        std::make_unique<EndlessCaller>(Loop.context(), Server.port()));
    runReady(Loop.context());
  }
  const std::size_t Before = ::mallinfo2().uordblks;
  std::size_t Most = 0;
  std::size_t MostReserved = 0;
  for (int Round = 0; Round < 30; ++Round) {
    for (const auto &Caller : Callers)
      Caller->send(Sent);
    runReady(Loop.context());
    const std::size_t Now = ::mallinfo2().uordblks;
    Most = std::max(Most, Now > Before ? Now - Before : 0);
    MostReserved = std::max(MostReserved, Budget->usedBytes());
  }
  CHECK(MostReserved <= Capacity);
  // Buffers that grow by doubling hold up to twice their bytes.
  CHECK(Most <= 2 * Capacity + Connections * ConnectionBytes);
  // Whoever is refused gives back what it held.
  Callers.clear();
  Never.set();
  for (int Round = 0; Round < 20; ++Round)
    Loop.advance(1s);
  CHECK(Budget->usedBytes() == 0);
}
