#include "telemetry/SpanExporter.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::size_t MaxBufferedSpans = 4096;
constexpr int SpanKindServer = 2;
constexpr int StatusError = 2;

// Converts from the monotonic rr::Clock to nanoseconds since the Unix epoch, as
// OTLP requires.
std::string unixNanoseconds(Clock::time_point Time) {
  const auto Ago = Clock::now() - Time;
  const auto Wall = std::chrono::system_clock::now().time_since_epoch();
  const auto Nanoseconds =
      std::chrono::duration_cast<std::chrono::nanoseconds>(Wall) - Ago;
  return std::to_string(Nanoseconds.count());
}

json attribute(const std::string &Name, const std::string &Value) {
  return {{"key", Name}, {"value", {{"stringValue", Value}}}};
}

json toJson(const Span &Item) {
  json Attributes = json::array();
  for (const auto &[Name, Value] : Item.Attributes)
    Attributes.push_back(attribute(Name, Value));
  json Result = {{"traceId", Item.Context.TraceId},
                 {"spanId", Item.Context.SpanId},
                 {"name", Item.Name},
                 {"kind", SpanKindServer},
                 {"startTimeUnixNano", unixNanoseconds(Item.Start)},
                 {"endTimeUnixNano", unixNanoseconds(Item.End)},
                 {"attributes", Attributes}};
  if (!Item.ParentSpanId.empty())
    Result["parentSpanId"] = Item.ParentSpanId;
  if (Item.Failed)
    Result["status"] = {{"code", StatusError}};
  return Result;
}

} // namespace

SpanExporter::SpanExporter(std::string Instance, const std::string &File,
                           Sender Send)
    : Instance(std::move(Instance)), Send(std::move(Send)) {
  if (!File.empty())
    this->Output.open(File, std::ios::app);
}

void SpanExporter::add(Span Ended) {
  if (!this->Output.is_open() && !this->Send)
    return;
  if (this->Buffer.size() >= MaxBufferedSpans)
    ++this->Dropped;
  else
    this->Buffer.push_back(std::move(Ended));
}

std::string SpanExporter::format() const {
  json Spans = json::array();
  for (const Span &Item : this->Buffer)
    Spans.push_back(toJson(Item));
  const json Resource = {
      {"attributes",
       json::array({attribute("service.name", "redwingrack"),
                    attribute("service.instance.id", this->Instance)})}};
  const json Scope = {{"scope", {{"name", "redwingrack"}}}, {"spans", Spans}};
  const json Document = {
      {"resourceSpans", json::array({{{"resource", Resource},
                                      {"scopeSpans", json::array({Scope})}}})}};
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

void SpanExporter::flush() {
  if (this->Buffer.empty())
    return;
  std::string Text = this->format();
  this->Buffer.clear();
  if (this->Output.is_open()) {
    this->Output << Text << '\n';
    this->Output.flush();
  }
  if (this->Send)
    this->Send(std::move(Text));
}

SpanScope::SpanScope(SpanExporter *Exporter, std::string Name,
                     const TraceContext *Parent)
    : Exporter(Exporter) {
  this->Current.Name = std::move(Name);
  this->Current.Context = Parent ? childOf(*Parent) : newTrace();
  this->Current.ParentSpanId = Parent ? Parent->SpanId : std::string();
  this->Current.Start = Clock::now();
}

SpanScope::~SpanScope() {
  this->Current.End = Clock::now();
  if (this->Exporter && this->Current.Context.Sampled)
    this->Exporter->add(std::move(this->Current));
}

void SpanScope::set(const std::string &Name, std::string Value) {
  this->Current.Attributes[Name] = std::move(Value);
}

} // namespace rr
