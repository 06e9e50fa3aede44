#include "telemetry/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace rr {

namespace {

enum class Kind { Counter, Gauge, Histogram };

struct MetricInfo {
  Kind Type;
  const char *Name;
  const char *LabelNames;
  const char *Help;
};

constexpr std::array Catalogue = {
#define METRIC(KIND, IDENTIFIER, NAME, LABELS, HELP)                           \
  MetricInfo{Kind::KIND, NAME, LABELS, HELP},
#include "telemetry/Metrics.def"
#undef METRIC
};

const MetricInfo &metricInfo(Metric Id) {
  return Catalogue[static_cast<std::size_t>(Id)];
}

prometheus::Histogram::BucketBoundaries bucketBoundaries() {
  return {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
          0.1,    0.2,   0.5,   1,     2,    5,    10};
}

const char *kindName(Kind Type) {
  switch (Type) {
  case Kind::Counter:
    return "counter";
  case Kind::Gauge:
    return "gauge";
  case Kind::Histogram:
    return "histogram (seconds)";
  }
  return "";
}

} // namespace

class Metrics::Implementation {
public:
  prometheus::Family<prometheus::Counter> &counters(Metric Id) {
    auto *&Found = this->Counters[Id];
    if (!Found)
      Found = &prometheus::BuildCounter()
                   .Name(metricInfo(Id).Name)
                   .Help(metricInfo(Id).Help)
                   .Register(this->Registry);
    return *Found;
  }

  prometheus::Family<prometheus::Gauge> &gauges(Metric Id) {
    auto *&Found = this->Gauges[Id];
    if (!Found)
      Found = &prometheus::BuildGauge()
                   .Name(metricInfo(Id).Name)
                   .Help(metricInfo(Id).Help)
                   .Register(this->Registry);
    return *Found;
  }

  prometheus::Family<prometheus::Histogram> &histograms(Metric Id) {
    auto *&Found = this->Histograms[Id];
    if (!Found)
      Found = &prometheus::BuildHistogram()
                   .Name(metricInfo(Id).Name)
                   .Help(metricInfo(Id).Help)
                   .Register(this->Registry);
    return *Found;
  }

  prometheus::Registry Registry;

private:
  std::map<Metric, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<Metric, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<Metric, prometheus::Family<prometheus::Histogram> *> Histograms;
};

Metrics::Metrics() : Impl(std::make_unique<Implementation>()) {}

Metrics::~Metrics() = default;

void Metrics::add(Metric Id, const Labels &LabelSet, double Amount) {
  this->Impl->counters(Id).Add(LabelSet).Increment(Amount);
}

void Metrics::set(Metric Id, const Labels &LabelSet, double Value) {
  this->Impl->gauges(Id).Add(LabelSet).Set(Value);
}

void Metrics::observe(Metric Id, const Labels &LabelSet,
                      std::chrono::nanoseconds Time) {
  this->Impl->histograms(Id)
      .Add(LabelSet, bucketBoundaries())
      .Observe(std::chrono::duration<double>(Time).count());
}

std::string Metrics::format() const {
  return prometheus::TextSerializer().Serialize(this->Impl->Registry.Collect());
}

std::string metricCatalogue() {
  std::string Result =
      "| name | kind | labels | meaning |\n| --- | --- | --- | --- |\n";
  for (const MetricInfo &Info : Catalogue)
    Result += std::string("| ") + Info.Name + " | " + kindName(Info.Type) +
              " | " + Info.LabelNames + " | " + Info.Help + " |\n";
  return Result;
}

} // namespace rr
