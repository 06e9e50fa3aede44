#ifndef REDWINGRACK_QUARANTINE_SUSPECTMESSAGE_H
#define REDWINGRACK_QUARANTINE_SUSPECTMESSAGE_H

#include "base/Outcome.h"
#include "quarantine/SuspectRecord.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace rr {

/// Message `suspect` between instances.
struct SuspectMessage {
  std::string Fingerprint;
  SuspectRecord Record;
};

/// Encodes times as remaining durations in ms, because clocks differ between
/// instances.
nlohmann::json encodeSuspect(const SuspectMessage &Value,
                             Clock::time_point Now);
/// Returns Errc::Malformed if \p Value is not a valid `suspect` message.
Outcome<SuspectMessage> decodeSuspect(const nlohmann::json &Value,
                                      Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_SUSPECTMESSAGE_H
