#include "gateway/ServerLimitLog.h"

#include "logging/EventLog.h"

namespace rr {

void logServerLimit(const BackendState &Server, const std::string &Source) {
  const auto &Limit = Server.Limit.RequestsPerSecond;
  if (Limit)
    logEvent(Event::ServerLimitBegun, {{"server", Server.Record.Id},
                                       {"per_s", std::to_string(*Limit)},
                                       {"heard_by", Source}});
  else
    logEvent(Event::ServerLimitEnded,
             {{"server", Server.Record.Id}, {"heard_by", Source}});
}

} // namespace rr
