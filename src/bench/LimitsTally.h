#ifndef REDWINGRACK_BENCH_LIMITSTALLY_H
#define REDWINGRACK_BENCH_LIMITSTALLY_H

#include "bench/LimitsScenario.h"
#include "bench/ReferenceBucket.h"

#include <string>
#include <vector>

namespace rr {

/// Counts what a policy did with each request, against the ideal bucket.
class LimitsTally {
public:
  explicit LimitsTally(const LimitsScenario &Scenario);

  /// Notes an arrival and returns its number.
  std::size_t arrived(std::size_t Workspace, double Now);
  /// The request is admitted now and learns of it after \p Delay seconds.
  void admitted(std::size_t Request, double Now, double Delay = 0);
  void refused(std::size_t Request, double Now);
  /// A request at an instance that has no freshness proof or does not run. The
  /// ideal bucket does not see it, as the fleet could not serve it.
  void unserved() { ++this->Unserved; }
  void message() { ++this->Messages; }

  /// One line of figures.
  void print(const std::string &Name) const;
  /// Wrongful refusals in one second, of all workspaces, in percent.
  double wrongfulInSecond(std::size_t Second) const;

  std::uint64_t overAdmitted() const { return this->Over; }

private:
  struct Request {
    std::size_t Workspace;
    double At;
    bool Ideal;
  };
  struct PerWorkspace {
    std::uint64_t Requests = 0;
    std::uint64_t Refused = 0;
    std::uint64_t Wrongful = 0;
    std::uint64_t IdealAdmitted = 0;
    std::uint64_t Admitted = 0;
  };

  std::chrono::seconds Length;
  std::vector<ReferenceBucket> Ideal;
  /// Charged with what the policy admitted, when it did.
  std::vector<ReferenceBucket> Charged;
  std::vector<PerWorkspace> Workspaces;
  std::vector<Request> Requests;
  std::vector<double> Waits;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Seconds;
  std::uint64_t Unserved = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Over = 0;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_LIMITSTALLY_H
