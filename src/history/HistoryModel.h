#ifndef REDWINGRACK_HISTORY_HISTORYMODEL_H
#define REDWINGRACK_HISTORY_HISTORYMODEL_H

#include "history/History.h"

#include <cstdint>
#include <map>

namespace rr::history {

/// Reference model for tests: a small fleet, written without the features, that
/// keeps all promises and records what observers would see of it.
class HistoryModel {
public:
  HistoryModel();

  /// Lets time pass, then does one thing that \p Choice selects.
  void step(std::uint32_t Choice);
  /// Ends what is running and hands out the history.
  History finish();

private:
  struct Server {
    std::string Region, Version;
    unsigned Outstanding = 0;
    bool Draining = false;
    Clock::time_point DrainedAt{};
  };
  struct Run {
    CallerSent Sent;
    std::string Server;
    Clock::time_point End;
    bool CallerGone = false;
    bool Again = false;
  };
  struct Bucket {
    double Rate, Burst, Tokens;
  };

  void advance(Clock::duration Step);
  void endRun(std::size_t Index);
  void request(std::uint32_t Choice);
  std::string chooseServer(const CallerSent &Sent, std::uint32_t Choice);
  bool mayRun(const CallerSent &Sent, const std::string &Name) const;
  void begin(const CallerSent &Sent, const std::string &Name);
  void operate(std::uint32_t Choice);
  void changeInstance(const std::string &Name, std::uint32_t Choice);
  void changeConfig(const std::string &Name, std::uint32_t Choice);
  void changeVersion(std::uint32_t Choice);

  Clock::time_point Now;
  History Recorded;
  unsigned NextId = 0;
  std::map<std::string, Server> Servers;
  std::map<std::string, Bucket> Buckets;
  std::map<std::string, Clock::time_point> Withdrawn;
  std::map<std::string, bool> Stopping;
  std::map<std::string, std::uint64_t> InForce;
  std::vector<Clock::time_point> Accepted;
  std::vector<Run> Running;
  // Deficit counters of the shift and of the rollout.
  double ShiftShare = 0.25, ShiftCredit = 0;
  double NewShare = 0.1, NewCredit = 0;
  bool Faulty = false;
  Clock::time_point FaultyAt;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_HISTORYMODEL_H
