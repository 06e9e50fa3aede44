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

/// Times travel as what is left of them, never as readings of a clock.
nlohmann::json encodeSuspect(const SuspectMessage &Value,
                             Clock::time_point Now);
/// Errc::Malformed for anything that encodeSuspect() does not produce.
Outcome<SuspectMessage> decodeSuspect(const nlohmann::json &Value,
                                      Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_QUARANTINE_SUSPECTMESSAGE_H
