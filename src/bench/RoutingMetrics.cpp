#include "bench/RoutingMetrics.h"

#include <algorithm>
#include <cstdio>

namespace rr {

namespace {

double quantile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  const auto Position = static_cast<std::ptrdiff_t>(
      Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + Position, Values.end());
  return Values[static_cast<std::size_t>(Position)];
}

} // namespace

void RoutingMetrics::count(const SimRequest &Request, End How, double Latency) {
  if (this->Workspaces.size() <= Request.Workspace)
    this->Workspaces.resize(Request.Workspace + 1);
  ++this->Workspaces[Request.Workspace].All;
  if (How == End::Answered) {
    ++this->Workspaces[Request.Workspace].Answered;
    this->LatencyMs.push_back(Latency);
  }
  this->Failed += How == End::Failed ? 1 : 0;
  this->Refused += How == End::Refused ? 1 : 0;
}

void printMetricsHeader() {
  std::puts(
      "policy          requests   p50 ms   p99 ms  failed%  refused%  slot "
      "use%  overload%  spilled  into full  link%  headroom%  worst "
      "workspace%");
}

void printMetrics(const char *Policy, RoutingMetrics Metrics) {
  const double All = static_cast<double>(Metrics.LatencyMs.size() +
                                         Metrics.Failed + Metrics.Refused);
  double Worst = 1;
  for (const auto &Item : Metrics.Workspaces)
    if (Item.All > 0)
      Worst = std::min(Worst, static_cast<double>(Item.Answered) /
                                  static_cast<double>(Item.All));
  const double Samples =
      static_cast<double>(std::max<std::uint64_t>(Metrics.Samples, 1));
  std::printf(
      "%-15s %8.0f %8.1f %8.1f %8.2f %9.2f %10.0f %10.2f %8llu %10llu %6.1f "
      "%10.1f %17.2f\n",
      Policy, All, quantile(Metrics.LatencyMs, 0.5),
      quantile(Metrics.LatencyMs, 0.99),
      100 * static_cast<double>(Metrics.Failed) / All,
      100 * static_cast<double>(Metrics.Refused) / All,
      100 * Metrics.HighestSlotUse,
      100 * static_cast<double>(Metrics.OverloadSamples) / Samples,
      static_cast<unsigned long long>(Metrics.Spilled),
      static_cast<unsigned long long>(Metrics.SpilledIntoFull),
      100 * Metrics.HighestLinkUse,
      100 * Metrics.FreeShareSum /
          static_cast<double>(
              std::max<std::uint64_t>(Metrics.FreeShareSamples, 1)),
      100 * Worst);
}

} // namespace rr
