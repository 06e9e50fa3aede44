#include "settings/SocketAddress.h"
#include "standins/BackendStandin.h"
#include "standins/PlatformStandin.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <iostream>

using namespace rr;

namespace {

const char *const Usage =
    R"(Stand-ins for the platform and for backend servers.

Usage:
  redwingrack-standin platform --listen=ADDRESS
  redwingrack-standin backend --listen=ADDRESS --name=NAME --service=NAME
                      [--version=NAME] [--slots=N] [--latency-ms=N]
  redwingrack-standin --help

Options:
  --listen=ADDRESS  IP:PORT
  --version=NAME    Version that it serves [default: 1]
  --slots=N         Requests that it runs at once [default: 4]
  --latency-ms=N    Time that a request takes [default: 2]
)";

ListenerSettings listenerSettings(const std::string &Text) {
  SocketAddress Address;
  if (!parseAddress(Text, Address)) {
    std::cerr << "not an IP:PORT address: " << Text << "\n";
    std::exit(2);
  }
  ListenerSettings Result;
  Result.Address = Address.Ip;
  Result.Port = Address.Port;
  Result.MaxBodyBytes = 64U << 20;
  return Result;
}

BackendStandin::Options
backendOptions(std::map<std::string, docopt::value> &Arguments) {
  BackendStandin::Options Result;
  Result.Name = Arguments["--name"].asString();
  Result.Service = Arguments["--service"].asString();
  Result.Version = Arguments["--version"].asString();
  Result.Slots = static_cast<std::uint32_t>(Arguments["--slots"].asLong());
  Result.Latency =
      std::chrono::milliseconds(Arguments["--latency-ms"].asLong());
  return Result;
}

} // namespace

int main(int Argc, char **Argv) {
  auto Arguments = docopt::docopt(Usage, {Argv + 1, Argv + Argc}, true);
  asio::io_context Context;
  asio::signal_set Stop(Context, SIGINT, SIGTERM);
  Stop.async_wait([&](const asio::error_code &, int) { Context.stop(); });
  const auto Address = listenerSettings(Arguments["--listen"].asString());
  try {
    if (Arguments["platform"].asBool()) {
      PlatformStandin Server(Context, Address);
      Context.run();
    } else {
      BackendStandin Server(Context, Address, backendOptions(Arguments));
      Context.run();
    }
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 1;
  }
  return 0;
}
