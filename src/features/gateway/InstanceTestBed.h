#ifndef REDWINGRACK_GATEWAY_INSTANCETESTBED_H
#define REDWINGRACK_GATEWAY_INSTANCETESTBED_H

#include "gateway/SteeringInstance.h"
#include "gateway/TestPlatform.h"
#include "http1/HttpServer.h"
#include "http1/LoopbackClient.h"
#include "tables/FakeTables.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rr {

/// One instance over loopback, with tables in memory and backend servers that
/// answer as a test tells them. The clock is paused; it moves in advance().
class InstanceTestBed {
public:
  struct Backend {
    std::unique_ptr<HttpServer> Server;
    std::vector<HttpMessage> Requests;
    /// The next answers; a good one when there is none.
    std::deque<std::function<HttpMessage(const HttpMessage &)>> Answers;
    /// Not answered before it becomes false.
    bool Hold = false;
    int Cancelled = 0;
    std::string Address;
  };

  /// \p Capacity of the instance, compared with others of its zone.
  explicit InstanceTestBed(double Capacity = 1);
  ~InstanceTestBed();

  Backend &addBackend(const std::string &Id, const std::string &Zone = "z-a");
  void putBackend(const std::string &Id, const std::string &Zone,
                  bool Draining = false);
  /// Puts a configuration with a safe route below /safe/, an unsafe one below
  /// /order/ and one without a key below /open/.
  void configure(std::uint64_t Version, std::vector<std::string> Keys,
                 double Rate = 0);
  /// Lets real I/O and due timers run while the clock moves.
  void advance(Clock::duration Time);
  /// Sends a request on a new connection and returns the whole answer.
  std::string request(const std::string &Method, const std::string &Target,
                      const std::string &Key = "key");
  /// The metrics of the instance as text.
  std::string metrics();
  /// Number of requests at all backend servers.
  std::size_t arrivals() const;

  static HttpMessage goodAnswer(const HttpMessage &Request);
  static HttpMessage notRunAnswer(const HttpMessage &Request);

  asio::io_context Context;
  FakeTables Tables;
  std::map<std::string, Backend> Backends;
  std::unique_ptr<SteeringInstance> Instance;

private:
  TestConfigurations Configs;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_INSTANCETESTBED_H
