#ifndef REDWINGRACK_TELEMETRY_METRICS_H
#define REDWINGRACK_TELEMETRY_METRICS_H

#include "telemetry/Metric.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace rr {

/// Counters, gauges and histograms of the process.
class Metrics {
public:
  using Labels = std::map<std::string, std::string>;

  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void add(Metric Id, const Labels &LabelSet = {}, double Amount = 1);
  void set(Metric Id, const Labels &LabelSet, double Value);
  void observe(Metric Id, const Labels &LabelSet,
               std::chrono::nanoseconds Time);

  /// All metrics in the Prometheus text format.
  std::string format() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

/// All metrics as a Markdown table.
std::string metricCatalogue();

} // namespace rr

#endif // REDWINGRACK_TELEMETRY_METRICS_H
