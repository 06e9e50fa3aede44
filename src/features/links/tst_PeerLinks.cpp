#include "links/PeerLinks.h"

#include "testing/TestLoop.h"

#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// Two instances; the second one answers the method "echo".
struct LinksBed {
  LinksBed() {
    this->Second.onCall("echo", [](IncomingCall Call) {
      Call.Answer(Message{"echo", Call.Request.Body});
    });
    this->First.start("secret");
    this->Second.start("secret");
  }
  ~LinksBed() {
    this->First.stop();
    this->Second.stop();
    this->advance(1s);
  }

  /// Sleeps between steps of the paused clock, so that the kernel delivers
  /// data.
  void advance(Clock::duration Time) {
    for (Clock::duration Passed{0}; Passed < Time; Passed += 50ms) {
      Clock::advance(50ms);
      for (int Round = 0; Round < 3; ++Round) {
        this->Loop.run();
        std::this_thread::sleep_for(200us);
      }
    }
  }

  Outcome<Message> echo(const std::string &Text) {
    std::optional<Outcome<Message>> Answer;
    this->Loop.spawn([&]() -> asio::awaitable<void> {
      Message Question{"echo", Text};
      Answer = co_await this->First.call("second", std::move(Question),
                                         Clock::now() + 1s);
    });
    for (int Step = 0; Step < 40 && !Answer; ++Step)
      this->advance(50ms);
    return Answer.value_or(failure(Errc::Timeout));
  }

  PeerLinks::Peers second() const {
    return {{"second", "127.0.0.1:" + std::to_string(this->Second.port())}};
  }

  TestLoop Loop;
  PeerLinks First{this->Loop.context(), {"first", "z", "127.0.0.1:0"}};
  PeerLinks Second{this->Loop.context(), {"second", "z", "127.0.0.1:0"}};
};

} // namespace

// Guards against a feature that closes a link that another feature still uses.
TEST_CASE("A link stays up while at least one user needs it", "[links]") {
  LinksBed Bed;
  Bed.First.setDesiredPeers("tables", Bed.second());
  Bed.First.setDesiredPeers("quota", Bed.second());
  Bed.advance(1s);
  REQUIRE(Bed.First.isLinked("second"));
  Bed.First.setDesiredPeers("tables", {});
  Bed.advance(1s);
  CHECK(Bed.First.isLinked("second"));
  CHECK(Bed.echo("x")->Body == "x");
  Bed.First.setDesiredPeers("quota", {});
  Bed.advance(1s);
  CHECK_FALSE(Bed.First.isLinked("second"));
}

// Guards against peers that are requested before the secret is known and then
// never linked.
TEST_CASE("Peers requested before the start are linked after it", "[links]") {
  LinksBed Bed;
  PeerLinks Third(Bed.Loop.context(), {"third", "z", "127.0.0.1:0"});
  Third.setDesiredPeers("quota", Bed.second());
  CHECK_FALSE(Third.send("second", {"echo", ""}));
  Third.start("secret");
  Bed.advance(1s);
  CHECK(Third.isLinked("second"));
  Third.stop();
  Bed.advance(1s);
}

// Guards against calls without a link that report a result other than
// "not sent".
TEST_CASE("A call without a link fails as unavailable", "[links]") {
  LinksBed Bed;
  const auto Answer = Bed.echo("x");
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error() == make_error_code(Errc::Unavailable));
}

// Guards against an instance that stays without links for its whole life
// because another socket used its port for a moment.
TEST_CASE("Links begin to listen once their port is free", "[links]") {
  TestLoop Loop;
  std::optional<asio::ip::tcp::acceptor> Occupant;
  Occupant.emplace(Loop.context(), asio::ip::tcp::endpoint(
                                       asio::ip::make_address("127.0.0.1"), 0));
  const std::string Address =
      "127.0.0.1:" + std::to_string(Occupant->local_endpoint().port());
  PeerLinks Links(Loop.context(), {"first", "z", Address});
  Links.start("secret");
  CHECK_FALSE(Links.isStarted());
  Occupant.reset();
  Links.start("secret");
  CHECK(Links.isStarted());
  Links.stop();
  Loop.run();
}
