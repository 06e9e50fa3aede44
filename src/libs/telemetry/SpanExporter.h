#ifndef REDWINGRACK_TELEMETRY_SPANEXPORTER_H
#define REDWINGRACK_TELEMETRY_SPANEXPORTER_H

#include "telemetry/Span.h"

#include <fstream>
#include <functional>
#include <string>
#include <vector>

namespace rr {

/// Buffers ended spans and exports them as OTLP JSON, one export request per
/// line, to a file and to a function that posts them.
class SpanExporter {
public:
  using Sender = std::function<void(std::string OtlpJson)>;

  /// \p File and \p Send may be empty. Spans are discarded when both are.
  SpanExporter(std::string Instance, const std::string &File, Sender Send);

  void add(Span Ended);
  /// Exports the buffered spans. To be called once a second and on shutdown.
  void flush();
  /// Number of spans dropped because the buffer was full.
  std::uint64_t dropped() const { return this->Dropped; }

private:
  std::string format() const;

  std::string Instance;
  std::ofstream Output;
  Sender Send;
  std::vector<Span> Buffer;
  std::uint64_t Dropped = 0;
};

/// Span that ends, and is exported if its trace is sampled, on destruction.
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
