#include "peerlink/LinkEnd.h"

#include <array>

namespace rr {

namespace {

struct Entry {
  LinkEnd Reason;
  std::uint16_t CloseCode;
  const char *Name;
};

// RFC 6455 section 7.4: 1000 to 2999 are defined by the protocol, 4000 to 4999
// are free for private use.
constexpr std::array<Entry, 10> Entries{{
    {LinkEnd::Lost, 4000, "lost"},
    {LinkEnd::Silent, 4001, "silent"},
    {LinkEnd::HandshakeTimeout, 4002, "handshake_timeout"},
    {LinkEnd::Malformed, 1002, "malformed"},
    {LinkEnd::Oversize, 1009, "oversize"},
    {LinkEnd::WrongSecret, 4003, "wrong_secret"},
    {LinkEnd::ProtocolMismatch, 4004, "protocol_mismatch"},
    {LinkEnd::WrongName, 4005, "wrong_name"},
    {LinkEnd::Duplicate, 4006, "duplicate"},
    {LinkEnd::Stopped, 1001, "stopped"},
}};

} // namespace

const char *linkEndName(LinkEnd Reason) {
  for (const Entry &Candidate : Entries)
    if (Candidate.Reason == Reason)
      return Candidate.Name;
  return "unknown";
}

std::uint16_t closeCodeOf(LinkEnd Reason) {
  for (const Entry &Candidate : Entries)
    if (Candidate.Reason == Reason)
      return Candidate.CloseCode;
  return 1001;
}

LinkEnd linkEndOf(std::uint16_t CloseCode) {
  for (const Entry &Candidate : Entries)
    if (Candidate.CloseCode == CloseCode)
      return Candidate.Reason;
  return LinkEnd::Lost;
}

} // namespace rr
