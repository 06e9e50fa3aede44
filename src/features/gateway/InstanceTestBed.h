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

/// One instance over loopback, with tables in memory and backend servers whose
/// answers a test sets. The clock is paused and moves only in advance().
class InstanceTestBed {
public:
  struct Backend {
    std::unique_ptr<HttpServer> Server;
    std::vector<HttpMessage> Requests;
    /// Queued answers; goodAnswer() is used if there is none.
    std::deque<std::function<HttpMessage(const HttpMessage &)>> Answers;
    /// While true, requests are not answered.
    bool Hold = false;
    /// Number of cancelled requests.
    int Cancelled = 0;
    std::string Address;
  };

  /// \p Capacity is the CPU share of the instance, which decides whether it is
  /// a standby beside others of its zone. \p Descriptors is the number of file
  /// descriptors that it may use; 0 for those of the test process. Usage is
  /// reported by \p ReportUsage, unless it is empty. \p MemoryMiB is the memory
  /// that the instance may use.
  explicit InstanceTestBed(double Capacity = 1, std::size_t Descriptors = 0,
                           UsageApi ReportUsage = nullptr,
                           double MemoryMiB = 256);
  ~InstanceTestBed();

  Backend &addBackend(const std::string &Id, const std::string &Zone = "z-a");
  /// Writes the row of a backend server.
  void putBackend(const std::string &Id, const std::string &Zone,
                  bool Draining = false);
  /// Writes a configuration with a safe route below /safe/, an unsafe one below
  /// /order/ and one without a key below /open/.
  void configure(std::uint64_t Version, std::vector<std::string> Keys,
                 double Rate = 0);
  /// Advances the clock, and runs I/O handlers and due timers meanwhile.
  void advance(Clock::duration Time);
  /// Sends a request on a new connection and returns the whole answer.
  std::string request(const std::string &Method, const std::string &Target,
                      const std::string &Key = "key");
  /// The metrics of the instance as text.
  std::string metrics();
  /// Number of requests that all backend servers received.
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
