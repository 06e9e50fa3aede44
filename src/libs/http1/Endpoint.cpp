#include "http1/Endpoint.h"

#include <charconv>
#include <cstdint>

namespace rr {

std::optional<asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  asio::error_code Error;
  const auto Ip = asio::ip::make_address(Address.substr(0, Colon), Error);
  std::uint16_t Port = 0;
  const char *const End = Address.data() + Address.size();
  const auto Read = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Error || Read.ec != std::errc() || Read.ptr != End || Port == 0 ||
      Ip.is_unspecified())
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, Port);
}

} // namespace rr
