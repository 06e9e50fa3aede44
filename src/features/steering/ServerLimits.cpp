#include "steering/ServerLimits.h"

namespace rr {

namespace {

/// The senders of a limited server hear of the limit with each answer. If none
/// did for this long, nobody sends to the server.
constexpr Clock::duration LimitLifetime = std::chrono::seconds(30);
/// Time for which an instance tells the others; they read its row several times
/// meanwhile.
constexpr Clock::duration ReportTime = std::chrono::seconds(10);

} // namespace

bool noteLimit(BackendState &Server, std::optional<double> RequestsPerSecond,
               Clock::time_point SentAt, Clock::time_point Now,
               Clock::duration StoreTime) {
  const bool WasLimited = Server.Limit.RequestsPerSecond.has_value();
  if (!RequestsPerSecond && (!WasLimited || SentAt <= Server.LimitKnownAt))
    return false;
  Server.Limit = {RequestsPerSecond, StoreTime};
  Server.LimitKnownAt = Now;
  Server.HeardLimit = true;
  return WasLimited != RequestsPerSecond.has_value();
}

bool adoptLimit(BackendState &Server, const ServerLimitReport &Report,
                Clock::time_point Now) {
  if (Report.SaidAt <= Server.Limit.SaidAt)
    return false;
  const bool WasLimited = Server.Limit.RequestsPerSecond.has_value();
  Server.Limit = Report;
  Server.LimitKnownAt = Now;
  Server.HeardLimit = false;
  return WasLimited != Report.RequestsPerSecond.has_value();
}

std::optional<double> currentLimit(const BackendState &Server,
                                   Clock::duration StoreTime) {
  if (Server.Limit.SaidAt + LimitLifetime <= StoreTime)
    return std::nullopt;
  return Server.Limit.RequestsPerSecond;
}

void forgetLapsedLimits(const BackendPool &Servers, Clock::duration StoreTime) {
  for (const BackendPtr &Server : Servers.all())
    if (!currentLimit(*Server, StoreTime))
      Server->Limit.RequestsPerSecond.reset();
}

std::map<std::string, ServerLimitReport>
limitReports(const BackendPool &Servers, Clock::duration StoreTime) {
  std::map<std::string, ServerLimitReport> Reports;
  for (const BackendPtr &Server : Servers.all())
    if (Server->HeardLimit && Server->Limit.SaidAt + ReportTime > StoreTime)
      Reports[Server->Record.Id] = Server->Limit;
  return Reports;
}

} // namespace rr
