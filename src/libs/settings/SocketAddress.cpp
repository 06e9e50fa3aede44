#include "settings/SocketAddress.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace rr {

std::string formatAddress(const SocketAddress &Address) {
  const bool IsV6 = Address.Ip.find(':') != std::string::npos;
  const std::string Ip = IsV6 ? "[" + Address.Ip + "]" : Address.Ip;
  return Ip + ":" + std::to_string(Address.Port);
}

bool parseAddress(const std::string &Text, SocketAddress &Address) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Ip = Text.substr(0, Colon);
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  asio::error_code Error;
  asio::ip::make_address(Ip, Error);
  std::uint16_t Port = 0;
  const char *const End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error || Read.ec != std::errc() || Read.ptr != End)
    return false;
  Address = {Ip, Port};
  return true;
}

} // namespace rr
