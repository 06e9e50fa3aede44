#ifndef REDWINGRACK_GATEWAY_FLEETTESTBED_H
#define REDWINGRACK_GATEWAY_FLEETTESTBED_H

#include "gateway/SteeringInstance.h"
#include "gateway/TestPlatform.h"
#include "http1/HttpConnectionPool.h"
#include "http1/HttpServer.h"
#include "tables/FakeTables.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rr {

/// Several instances of one region over loopback, which share tables in memory
/// and backend servers. The clock is paused and moves only in advance().
class FleetTestBed {
public:
  struct Server {
    std::unique_ptr<HttpServer> Http;
    std::string Address;
    /// When each request arrived.
    std::vector<Clock::time_point> Arrivals;
    /// Headers that are added to each answer.
    HttpHeaders AnswerHeaders;
  };
  struct Call {
    bool Ended = false;
    /// 0 if the connection was closed without an answer.
    int Status = 0;
    HttpHeaders Headers;
  };

  explicit FleetTestBed(std::size_t InstanceCount,
                        PlaceByCost ByCost = PlaceByCost::Auto);
  ~FleetTestBed();
  FleetTestBed(const FleetTestBed &) = delete;
  FleetTestBed &operator=(const FleetTestBed &) = delete;

  Server &addServer(const std::string &Id);
  /// Ids of all servers, also of those that ended.
  std::vector<std::string> ids() const;
  /// Ends a server; another one with a new id registers at once.
  void crash(const std::string &Id);
  /// Advances the clock, and runs I/O handlers and due timers meanwhile.
  void advance(Clock::duration Time);
  /// Starts a safe request on a new connection to an instance.
  std::shared_ptr<Call> send(std::size_t Instance, const std::string &Path,
                             const std::string &Body = "");
  /// Sends a request and waits for its end.
  Call request(std::size_t Instance, const std::string &Path,
               const std::string &Body = "");
  /// Starts one more instance and waits until it is in service.
  void addInstance();

  /// Declared before everything that runs in it: timers and sockets of the
  /// instances refer to its services until they are destroyed.
  asio::io_context Context;
  /// A server that gets a request with this body crashes.
  std::string CrashingBody;
  /// Servers close the connections of requests without an answer, and go on.
  bool ResetConnections = false;
  /// Times of the crashes.
  std::vector<Clock::time_point> Crashes;
  /// Time for which servers work on a request.
  Clock::duration WorkTime = std::chrono::milliseconds(50);
  std::map<std::string, Server> Servers;
  std::vector<std::unique_ptr<SteeringInstance>> Instances;
  FakeTables Tables;

private:
  void startInstance();
  void listen(const std::string &Id, const std::string &Address);
  /// Closes the listener and all connections of a server.
  void close(Server &Item);
  asio::awaitable<HttpMessage> serve(std::string Id, HttpMessage Message);

  PlaceByCost ByCost;
  TestConfigurations Configs;
  HttpConnectionPool CallerLinks;
  /// Crashed servers, whose connections are closed in the next step.
  std::vector<std::unique_ptr<HttpServer>> Ended;
  int LastRequest = 0;
  int LastServer = 0;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_FLEETTESTBED_H
