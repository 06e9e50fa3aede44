#ifndef REDWINGRACK_GATEWAY_SOAKFLEET_H
#define REDWINGRACK_GATEWAY_SOAKFLEET_H

#include "gateway/SoakNotice.h"
#include "gateway/SoakRestores.h"
#include "gateway/SteeringInstance.h"
#include "gateway/TestPlatform.h"
#include "http1/HttpConnectionPool.h"
#include "http1/HttpServer.h"
#include "tables/FakeTables.h"
#include "usage/FakeUsageApi.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rr {

/// Real instances, backend servers and callers over loopback on a paused clock,
/// with random faults. Requests and answers are checked against the guarantees
/// in docs/on-the-platform.md.
class SoakFleet {
public:
  explicit SoakFleet(unsigned Seed);
  ~SoakFleet();
  SoakFleet(const SoakFleet &) = delete;
  SoakFleet &operator=(const SoakFleet &) = delete;

  /// Runs load and injects a random fault every few seconds; restores of the
  /// store are among them if \p WithRestores.
  void runWithFaults(Clock::duration Time, bool WithRestores);
  /// Runs load while the operator changes orders and the store comes back from
  /// copies every few seconds, without other faults.
  void runWithRestores(Clock::duration Time);
  /// Runs load and disturbs the instance that reports usage every few seconds.
  void runWithUsageFaults(Clock::duration Time);
  /// Ends all faults and runs load.
  void runWithoutFaults(Clock::duration Time);
  /// Waits for outstanding answers and checks all requests.
  void finish();

  /// Violated guarantees, with time and details.
  const std::vector<std::string> &violations() const {
    return this->Violations;
  }
  /// Calm windows whose reported usage differs too much from the requests that
  /// ran.
  const std::vector<std::string> &usageGaps() const { return this->UsageGaps; }
  /// Requests that ran above the workspace's rate.
  const std::vector<std::string> &rateExcess() const {
    return this->RateExcess;
  }
  /// Restores of the store after which it was called too often.
  const std::vector<std::string> &callGrowth() const {
    return this->CallGrowth;
  }
  /// Injected faults in order, for reports.
  const std::vector<std::string> &faults() const { return this->Faults; }
  std::size_t sent() const { return this->Requests.size(); }
  /// Share of the requests sent from \p From to \p To that were answered with
  /// success or refused because of the rate.
  double servedShare(Clock::time_point From, Clock::time_point To) const;

private:
  static const std::vector<std::string> Zones;
  /// Takes servers several times as long as other requests.
  static const std::string SlowPath;
  /// Of a request whose body does not fit into the socket buffers.
  static constexpr std::size_t LongBodyBytes = std::size_t{8} << 20;
  /// Of the workspace, in requests per second and requests.
  static constexpr double Rate = 60;
  static constexpr double Burst = 60;
  static constexpr Clock::duration QuotaWindow = std::chrono::seconds(5);
  static constexpr Clock::duration RevocationTime = std::chrono::seconds(5);
  /// That servers in need name, in requests per second.
  static constexpr double ServerLimit = 2;
  static constexpr Clock::duration UsageLease = std::chrono::seconds(3);
  static constexpr Clock::duration UsageWindowLength = std::chrono::seconds(5);
  static constexpr Clock::duration MaxDrainDelay =
      std::chrono::milliseconds(2500);
  static constexpr Clock::duration MaxEvacuationDelay = std::chrono::seconds(5);
  struct Node {
    std::string Name;
    std::string Zone;
    std::string CallerAddress;
    std::string PeerAddress;
    std::unique_ptr<asio::io_context> Context;
    std::unique_ptr<SteeringInstance> Instance;
    double CpuShare = 1;
    Clock::time_point DisconnectedUntil{};
    /// Reads of backend rows that wait for changes get no answer.
    Clock::time_point ReadsStallUntil{};
    /// Time limits are not checked for this instance until then.
    Clock::time_point DisturbedUntil{};
    Clock::time_point KillAt = Clock::time_point::max();
    Clock::time_point FrozenUntil{};
    Clock::time_point RestartAt{};
    Clock::time_point StartedAt{};
    /// Calls that reached the store lately.
    std::deque<Clock::time_point> StoreCalls;
    /// When the store last accepted the instance's own row.
    Clock::time_point RowWrittenAt{};
    /// Since the last restore, something kept the instance from writing its
    /// row.
    bool RowExcused = false;
    /// Writes are executed seconds after they were sent, and not answered.
    Clock::time_point WritesLateUntil{};
    /// When a planned stop begins.
    Clock::time_point StopAt = Clock::time_point::max();
    bool Stopping = false;
    /// Number of times that the instance was killed.
    int Kills = 0;
    /// Kills at the end of a stop, whose requests have to be answered before.
    int PlannedKills = 0;
  };
  struct Server {
    std::string Zone;
    std::string Address;
    std::unique_ptr<HttpServer> Http;
    std::optional<SoakNotice> Drain;
    Clock::time_point EndsAt{};
    bool Crashed = false;
    /// The server names a limit in its answers during this time.
    Clock::time_point LimitedFrom{};
    Clock::time_point LimitedUntil{};
    /// When each instance passed on an answer with the limit first.
    std::map<const Node *, Clock::time_point> ToldAt;
    /// Times of requests from instances that must keep the limit.
    std::deque<Clock::time_point> LimitedArrivals;
  };
  struct Request {
    Clock::time_point SentAt;
    const Node *Entry = nullptr;
    bool Unsafe = false;
    /// Crashes the server that runs it.
    bool Crashing = false;
    /// Has a body that does not fit into the socket buffers.
    bool LongBody = false;
    std::string Key;
    /// Configuration version that added the route; 0 for the other routes.
    std::uint64_t Since = 0;
    int EntryKills = 0;
    int Runs = 0;
    int Status = 0;
    bool Ended = false;
  };

  /// Fleets with an odd seed have one region, whose holder has the whole stock
  /// of a workspace; the others have two.
  std::string regionOf(const std::string &Zone) const {
    return this->OneRegion ? "z" : Zone.substr(0, 1);
  }
  void step();
  void sendRequests();
  void injectFault(bool WithRestores);
  void addNode(const std::string &Name, const std::string &Zone,
               double CpuShare);
  /// Adds an open route for each version up to that of \p Config, which shows
  /// callers the version in use.
  static std::shared_ptr<const SteeringConfig>
  withVersionRoutes(SteeringConfig Config);
  /// Disturbances that give one workspace's tokens two holders, or take an
  /// instance back to an older configuration.
  void injectHolderFault();
  void delayWrites(Node &Item, Clock::duration Time);
  void suspendHolder(Node &Item);
  /// The store rejects an instance while a configuration is adopted and the
  /// others of its region restart in turn.
  void rejectDuringRestarts(Node &Item);
  /// The instance in service that holds the workspace's tokens for the region
  /// of \p Zone.
  Node &holderIn(const std::string &Zone);
  void stopDueNodes();
  /// Withdraws a random key or adds it again. Returns whether it was withdrawn.
  bool changeKey();
  /// Begins or ends an evacuation of a random zone.
  void changeEvacuation();
  /// Lets the store go away and come back from a copy, once or twice.
  void scheduleRestore();
  /// Called in each step: takes copies, plays the scheduled restores, and lets
  /// the operator and the servers write their lost rows again.
  void maintainRestores();
  void loseStore();
  void returnStore();
  /// Notes which instances must know the notices that were acknowledged.
  void noteKnownNotices();
  /// Notes what the store lost, and when it is written again.
  void scheduleRewrites();
  /// Writes the row as the operator or the server wants it to be.
  void writeAgain(const std::string &Table, const std::string &Key);
  /// The row that the operator or the server wants; none if there is none.
  std::optional<std::string> wantedRow(const std::string &Table,
                                       const std::string &Key) const;
  /// Value of a row; none if it does not exist.
  static std::optional<std::string> rowIn(const FakeTables::Copy &Stored,
                                          const std::string &Table,
                                          const std::string &Key);
  /// Called when the store has the newest configuration.
  void onConfigurationWritten();
  /// Called when a notice of \p Key was written again.
  void onNoticeWritten(const std::string &Key);
  /// Whether \p Entry, and all that it may pass a request on to, must know
  /// \p Notice since before the store was lost.
  bool mustKnow(const SoakNotice &Notice, const Node &Entry) const;
  /// Whether \p Entry has to act by \p Notice by now.
  bool isOverdue(const SoakNotice &Notice, Clock::duration Bound,
                 const Node &Entry) const;
  /// Checks that the instances wrote their rows again in time.
  void checkOwnRows();
  /// Checks that the instances call the store no more than twice as often after
  /// a restore.
  void checkStoreCalls();
  std::size_t countStoreCalls(Clock::time_point From,
                              Clock::time_point To) const;
  /// Whether nothing but restores disturbed the calls to the store since
  /// \p From.
  bool areCallsUndisturbed(Clock::time_point From) const;
  /// Checks that keys that an instance refused stay refused by it.
  void checkRefusedKey(const Request &Item, const Node &Entry);
  /// Checks that \p Entry did not refuse for lack of a configuration that had
  /// to be in force.
  void checkConfigurationInForce(const Request &Item, const Node &Entry);
  /// Executes \p Writes \p Delay later, if their conditions hold then.
  void commitLater(std::vector<TableWrite> Writes, Clock::duration Delay);
  /// Sends requests that show the configuration of the watched instance.
  void watchConfiguration();
  /// Checks that \p Entry does not answer by an older configuration than it
  /// did before.
  void checkConfiguration(const Request &Item, const Node &Entry);
  /// The instance for the next request; a standby gets few, except in a burst.
  const Node &pickEntry();
  void disconnectFromStore(Node &Item, Clock::duration Time);
  void restartNodes();
  void maintainServers();
  asio::awaitable<void> call(std::string Id, std::string Path,
                             const Node &Entry);
  asio::awaitable<HttpMessage> serve(std::string Server, HttpMessage Message);
  /// Adds a request with the given path, for a caller to send to \p Entry.
  std::string addRequest(const Node &Entry, bool Unsafe,
                         const std::string &Key);
  /// Stops an instance and sends it slow uploads meanwhile. Returns whether the
  /// instance was running.
  bool stopWithUploads(Node &Item);
  /// Requests a stop. Returns whether the instance was running.
  bool stopNode(Node &Item);
  /// Uploads a body in two parts, at \p First and \p Second. If \p HalfClose,
  /// the second part is missing and the caller closes its side instead.
  asio::awaitable<void> upload(std::string Id, const Node &Entry,
                               Clock::time_point First,
                               Clock::time_point Second, bool HalfClose);
  /// Replaces a server by one that answers an upload without a length before it
  /// has read the body and is killed in the middle of the answer.
  void killServerInAnswer();
  struct DyingServer;
  asio::awaitable<void> acceptAndDie(std::shared_ptr<DyingServer> Dying);
  asio::awaitable<void> answerAndDie(std::shared_ptr<DyingServer> Dying,
                                     std::size_t Index);
  void checkRun(const std::string &Server, const HttpMessage &Message);
  void checkServerMayServe(const std::string &Id, const Server &Item,
                           const Node &Entry);
  /// Checks a request to a server that names a limit.
  void checkLimit(const std::string &Server, const Node &Entry);
  /// The API for usage reports as \p Item reaches it.
  UsageApi usageApiFor(const Node &Item);
  /// Kills, freezes or disconnects the instance that reports usage.
  void disturbUsageHolder();
  /// Checks the reports that the API received.
  void checkUsage();
  /// Checks a run of the request that crashes servers.
  void checkCrash(const Node &Entry);

  void startNode(Node &Item);
  void killNode(Node &Item, Clock::duration Down);
  void addServer(const std::string &Zone);
  void putServer(const std::string &Id);
  void configure();
  TableStore storeFor(Node &Item);

  bool chance(double Probability);
  std::size_t pickIndex(std::size_t Size);
  Clock::duration randomDuration(std::chrono::milliseconds Min,
                                 std::chrono::milliseconds Max);
  /// Whether no fault of the store, or of an instance that may have sent a
  /// request that came in at \p Entry, happened now or in the last seconds.
  bool isUndisturbed(const Node &Entry) const;
  /// The same, apart from restores of the store.
  bool isUndisturbedByOthers(const Node &Entry) const;
  void extendDisturbance(Clock::duration Time);
  void extendDisturbance(Node &Item, Clock::duration Time);
  void drainServer();
  /// Lets a server name a limit for some seconds.
  void limitServer();
  /// Ends a server with all its connections; another one replaces it later.
  void crashServer(const std::string &Id);
  /// Sends callers to the standby and kills the other instances of its region
  /// once it is in service, while its reads of backend rows stall.
  void activateStandby();
  void logFault(const std::string &Fault);
  void reportViolation(const std::string &Violation);

  std::mt19937 Random;
  bool OneRegion;
  asio::io_context SharedContext;
  /// Of the instances, for the whole run.
  std::vector<asio::ip::tcp::socket> ReservedPorts;
  FakeTables Tables;
  TestConfigurations Configs;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::map<std::string, Server> Servers;
  /// Servers that ended; their handlers may still run.
  std::vector<std::unique_ptr<HttpServer>> StoppedServers;
  HttpConnectionPool CallerLinks;
  std::map<std::string, Request> Requests;
  std::deque<Clock::time_point> Admitted;
  std::set<std::string> Keys{"k0", "k1"};
  std::map<std::string, SoakNotice> Withdrawn;
  std::map<std::string, SoakNotice> Evacuated;
  /// Servers that drained and ended. They go on listening, so that requests
  /// that still come are seen.
  std::map<std::string, Server> GoneServers;
  /// When the store acknowledged each configuration; Clock::time_point::max()
  /// while it has lost it.
  std::map<std::uint64_t, Clock::time_point> ConfigAcknowledged;
  SoakRestores Restores;
  Clock::time_point StoreDownUntil{};
  Clock::time_point WritesRefusedUntil{};
  Clock::time_point AnswersLostUntil{};
  /// The API for usage reports is out of reach.
  Clock::time_point UsageApiDownUntil{};
  /// It refuses reports until then, or takes them without an answer.
  Clock::time_point UsageApiTroubleUntil{};
  bool UsageCallsLost = false;
  FakeUsageApi UsageReports{UsageLease};
  /// Requests of the workspace that servers began to run, by window.
  std::map<UsageWindow, std::uint64_t> UsageRuns;
  /// When the faults ended.
  Clock::time_point CalmSince = Clock::time_point::max();
  /// Many callers use the standby.
  Clock::time_point StandbyBurstUntil{};
  Clock::time_point UndisturbedFrom{};
  Clock::time_point ConfigureAt = Clock::time_point::max();
  Clock::time_point NextDrain{};
  Clock::time_point NextLimit{};
  /// When the request that crashes servers is sent again.
  Clock::time_point NextCrashingRequest{};
  /// Times at which it crashed a server.
  std::vector<Clock::time_point> Crashes;
  /// Crashes of which the fleet should have prevented most.
  int LateCrashes = 0;
  std::uint64_t ConfigVersion = 0;
  /// What callers saw of the configuration of one run of an instance.
  struct SeenConfiguration {
    std::uint64_t Version = 0;
    Clock::time_point At;
    int Kills = 0;
  };
  std::map<const Node *, SeenConfiguration> SeenConfigurations;
  /// Callers watch the configuration of this instance until then.
  const Node *Watched = nullptr;
  Clock::time_point WatchedUntil{};
  /// Callers send few requests, so that tokens accumulate.
  Clock::time_point QuietUntil{};
  int LastId = 0;
  int LastServer = 0;
  bool ServersFail = true;
  std::vector<std::string> Violations;
  std::vector<std::string> UsageGaps;
  std::vector<std::string> CallGrowth;
  std::vector<std::string> RateExcess;
  std::vector<std::string> Faults;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_SOAKFLEET_H
