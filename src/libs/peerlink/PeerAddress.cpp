#include "peerlink/PeerAddress.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

namespace rr {

Outcome<asio::ip::tcp::endpoint> parsePeerAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return failure(Errc::Malformed);
  std::uint16_t Port = 0;
  const char *const End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Read.ec != std::errc() || Read.ptr != End)
    return failure(Errc::Malformed);
  std::string Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  else if (Host.find(':') != std::string::npos)
    return failure(Errc::Malformed);
  asio::error_code Error;
  const auto Address = asio::ip::make_address(Host, Error);
  if (Error)
    return failure(Errc::Malformed);
  return asio::ip::tcp::endpoint(Address, Port);
}

std::string formatPeerAddress(const asio::ip::tcp::endpoint &Address) {
  const std::string Host = Address.address().to_string();
  const std::string Port = ":" + std::to_string(Address.port());
  return Address.address().is_v6() ? "[" + Host + "]" + Port : Host + Port;
}

} // namespace rr
