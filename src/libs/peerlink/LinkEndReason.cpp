#include "peerlink/LinkEndReason.h"

#include <array>

namespace rr {

namespace {

struct Entry {
  LinkEndReason Reason;
  std::uint16_t CloseCode;
  const char *Name;
};

// RFC 6455 section 7.4: 1000 to 2999 are defined by the protocol, 4000 to 4999
// are free for private use.
constexpr std::array<Entry, 10> Entries{{
    {LinkEndReason::Lost, 4000, "lost"},
    {LinkEndReason::Silent, 4001, "silent"},
    {LinkEndReason::HandshakeTimeout, 4002, "handshake_timeout"},
    {LinkEndReason::Malformed, 1002, "malformed"},
    {LinkEndReason::Oversize, 1009, "oversize"},
    {LinkEndReason::WrongSecret, 4003, "wrong_secret"},
    {LinkEndReason::ProtocolMismatch, 4004, "protocol_mismatch"},
    {LinkEndReason::WrongName, 4005, "wrong_name"},
    {LinkEndReason::Duplicate, 4006, "duplicate"},
    {LinkEndReason::Stopped, 1001, "stopped"},
}};

} // namespace

const char *linkEndReasonName(LinkEndReason Reason) {
  for (const Entry &Candidate : Entries)
    if (Candidate.Reason == Reason)
      return Candidate.Name;
  return "unknown";
}

std::uint16_t closeCodeOf(LinkEndReason Reason) {
  for (const Entry &Candidate : Entries)
    if (Candidate.Reason == Reason)
      return Candidate.CloseCode;
  return 1001;
}

LinkEndReason linkEndReasonOf(std::uint16_t CloseCode) {
  for (const Entry &Candidate : Entries)
    if (Candidate.CloseCode == CloseCode)
      return Candidate.Reason;
  return LinkEndReason::Lost;
}

} // namespace rr
