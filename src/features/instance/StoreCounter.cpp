#include "instance/StoreCounter.h"

#include "telemetry/Metrics.h"

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
                                      const char *Name, Metrics *Counters) {
  auto Result = co_await std::move(Call);
  Counters->add(
      Metric::StoreCalls,
      {{"call", Name}, {"result", Result ? "ok" : resultName(Result.error())}});
  co_return Result;
}

template <typename Value, typename... Arguments>
void wrap(
    std::function<asio::awaitable<Outcome<Value>>(Arguments...)> &Function,
    const char *Name, Metrics &Counters) {
  Function = [Inner = std::move(Function), Name,
              &Counters](Arguments... Given) {
    return count<Value>(Inner(std::move(Given)...), Name, &Counters);
  };
}

} // namespace

Platform countStoreCalls(Platform Store, Metrics &Counters) {
  wrap(Store.ReadRow, "read_row", Counters);
  wrap(Store.ListRows, "list_rows", Counters);
  wrap(Store.Commit, "commit", Counters);
  wrap(Store.GetObject, "get_object", Counters);
  wrap(Store.PutObject, "put_object", Counters);
  wrap(Store.ListInstances, "list_instances", Counters);
  wrap(Store.AnnounceInstance, "announce_instance", Counters);
  return Store;
}

} // namespace rr
