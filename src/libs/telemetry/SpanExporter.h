#ifndef REDWINGRACK_TELEMETRY_SPANEXPORTER_H
#define REDWINGRACK_TELEMETRY_SPANEXPORTER_H

#include "telemetry/Span.h"

#include <fstream>
#include <functional>
#include <string>
#include <vector>

namespace rr {

/// Collects ended spans and writes them in the OTLP JSON format, one export
/// request a line, to a file or through a function that posts them.
class SpanExporter {
public:
  using Sender = std::function<void(std::string OtlpJson)>;

  /// \p File and \p Send may be empty; spans then go nowhere.
  SpanExporter(std::string Instance, const std::string &File, Sender Send);

  void add(Span Ended);
  /// Writes what has been collected. Called once a second and at the end.
  void flush();
  /// Spans that were dropped because the buffer was full.
  std::uint64_t dropped() const { return this->Dropped; }

private:
  std::string format() const;

  std::string Instance;
  std::ofstream Output;
  Sender Send;
  std::vector<Span> Buffer;
  std::uint64_t Dropped = 0;
};

/// Ends and exports a span when it leaves its scope.
class SpanScope {
public:
  /// Starts a span; \p Exporter may be null.
  SpanScope(SpanExporter *Exporter, std::string Name,
            const TraceContext *Parent);
  ~SpanScope();
  SpanScope(const SpanScope &) = delete;
  SpanScope &operator=(const SpanScope &) = delete;

  const TraceContext &context() const { return this->Current.Context; }
  void set(const std::string &Name, std::string Value);
  void fail() { this->Current.Failed = true; }

private:
  SpanExporter *Exporter;
  Span Current;
};

} // namespace rr

#endif // REDWINGRACK_TELEMETRY_SPANEXPORTER_H
