#ifndef REDWINGRACK_BENCH_SHARENODE_H
#define REDWINGRACK_BENCH_SHARENODE_H

#include "bench/LimitsWorkload.h"
#include "limits/ShareAdmission.h"

#include <map>

namespace rr {

/// One simulated instance.
struct ShareNode {
  ShareNode(std::size_t Index, std::uint64_t Incarnation)
      : Index(Index),
        Ledger({std::to_string(Index), Incarnation}, Clock::now()),
        Planner(this->Ledger.self(), "r" + std::to_string(regionOf(Index))),
        Admission(this->Ledger, this->Meter, this->Planner) {}

  /// A report and when it was made.
  struct Seen {
    DemandReport Report;
    Clock::time_point At;
  };

  /// Takes over a report that is newer than the known one.
  void note(const Seen &Entry) {
    const ShareHolder &Holder = Entry.Report.Holder;
    const auto Known = this->Members.find(Holder);
    if (Known != this->Members.end() && Known->second.At >= Entry.At)
      return;
    this->Members[Holder] = Entry;
    this->Planner.update(Entry.Report, Entry.At);
  }

  std::size_t Index;
  bool Running = true;
  ShareLedger Ledger;
  DemandMeter Meter;
  BorrowPlanner Planner;
  ShareAdmission Admission;
  /// Latest report of every member.
  std::map<ShareHolder, Seen> Members;
  std::optional<Clock::time_point> WakeAt;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_SHARENODE_H
