#ifndef REDWINGRACK_USAGE_USAGETESTBED_H
#define REDWINGRACK_USAGE_USAGETESTBED_H

#include "tables/FakeTables.h"
#include "tables/TableWatch.h"
#include "usage/FakeUsageApi.h"
#include "usage/UsageReporter.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace rr {

/// Reporters of several instances on a paused clock, with tables, links and the
/// platform's API in memory, and faults of each.
class UsageTestBed {
public:
  struct Node {
    std::string Name;
    std::unique_ptr<asio::io_context> Context;
    TableStore Store;
    std::unique_ptr<TableWatch> Watch;
    std::unique_ptr<UsageReporter> Reporter;
    Metrics Counters;
    Clock::time_point FrozenUntil{};
    /// Added to the true time.
    Clock::duration ClockError{0};
    /// The store, the API or the other instances do not answer.
    bool StoreCut = false;
    bool ApiCut = false;
    bool PeersCut = false;
    /// The store does not take writes, but answers reads.
    bool WritesRefused = false;
    /// Commits are executed and answered so much later.
    Clock::duration CommitDelay{0};
    /// Commits are executed, and their answers are lost.
    bool LosesCommitAnswers = false;
    /// Calls of the API are received, and their answers are lost.
    bool LosesApiAnswers = false;
    bool Candidate = true;
    bool Standby = false;
    int Starts = 0;
  };

  explicit UsageTestBed(std::size_t Count);
  ~UsageTestBed();
  UsageTestBed(const UsageTestBed &) = delete;
  UsageTestBed &operator=(const UsageTestBed &) = delete;

  void start(Node &Item);
  void kill(Node &Item);
  void advance(Clock::duration Time);
  /// Advances until a node holds the lease and has read the stored reports, at
  /// most for \p Limit.
  Node *awaitHolder(Clock::duration Limit = std::chrono::seconds(20));
  Node *holder();
  /// Advances until \p Condition holds. Returns whether it does.
  bool awaitThat(const std::function<bool()> &Condition,
                 Clock::duration Limit = std::chrono::seconds(30));
  /// Counts requests that began now.
  void record(Node &Item, const std::string &Workspace, int Count);
  UsageWindow window() const;
  /// Time from now to \p After past the beginning of the next window.
  void advanceToWindow(Clock::duration After);
  /// Total of a window that was reported; empty if it was not.
  std::optional<std::uint64_t> reported(UsageWindow Window) const;
  /// Stored reports.
  std::size_t storedReports() const;

  UsageSettings Settings;
  asio::io_context Shared;
  FakeTables Tables;
  FakeUsageApi Api{std::chrono::seconds(3)};
  /// Status of the API's answers.
  int ApiStatus = 200;
  std::vector<std::unique_ptr<Node>> Nodes;

private:
  TableStore storeFor(Node &Item);
  UsageChannel channelFor(Node &Item);
  UsageApi apiFor(Node &Item);
  Node *find(const std::string &Name);
  asio::awaitable<Outcome<StoreVersion>> commit(Node &Item,
                                                std::vector<TableWrite> Writes);
};

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGETESTBED_H
