#include "instance/StoreCounter.h"

#include "telemetry/Metrics.h"
#include "telemetry/SpanExporter.h"

#include <utility>

namespace rr {

namespace {

const char *resultName(const std::error_code &Error) {
  if (Error == Errc::Conflict)
    return "conflict";
  return Error == Errc::Unknown ? "unknown" : "failed";
}

template <typename Value>
asio::awaitable<Outcome<Value>> count(asio::awaitable<Outcome<Value>> Call,
                                      const char *Name, Metrics *Counters,
                                      SpanExporter *Spans) {
  SpanScope Span(Spans, std::string("platform.") + Name, nullptr);
  auto Result = co_await std::move(Call);
  Counters->add(
      Metric::StoreCalls,
      {{"call", Name}, {"result", Result ? "ok" : resultName(Result.error())}});
  if (!Result)
    Span.fail();
  co_return Result;
}

template <typename Value, typename... Arguments>
void wrap(
    std::function<asio::awaitable<Outcome<Value>>(Arguments...)> &Function,
    const char *Name, Metrics &Counters, SpanExporter *Spans) {
  Function = [Inner = std::move(Function), Name, &Counters,
              Spans](Arguments... Given) {
    return count<Value>(Inner(std::move(Given)...), Name, &Counters, Spans);
  };
}

} // namespace

Platform countStoreCalls(Platform Store, Metrics &Counters,
                         SpanExporter *Spans) {
  wrap(Store.ReadRow, "read_row", Counters, Spans);
  wrap(Store.ListRows, "list_rows", Counters, Spans);
  wrap(Store.Commit, "commit", Counters, Spans);
  wrap(Store.GetObject, "get_object", Counters, Spans);
  wrap(Store.PutObject, "put_object", Counters, Spans);
  wrap(Store.ListInstances, "list_instances", Counters, Spans);
  wrap(Store.AnnounceInstance, "announce_instance", Counters, Spans);
  return Store;
}

} // namespace rr
