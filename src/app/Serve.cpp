#include "app/Serve.h"

#include "app/ExitCode.h"
#include "instance/Instance.h"
#include "logging/EventLog.h"
#include "settings/SettingsFile.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <iostream>

namespace rr {

int runServe(const Arguments &Args) {
  Diagnostics Found;
  const auto Loaded = loadSettings(optionText(Args, "--config"), Found);
  for (const std::string &Line : Found.Lines)
    std::cerr << Line << "\n";
  if (!Loaded)
    return ExitFailure;
  startEventLog({Loaded->LogJson, Loaded->LogLevel});
  asio::io_context Context;
  try {
    Instance Process(Context, *Loaded);
    Process.start();
    asio::signal_set Signals(Context, SIGINT, SIGTERM);
    Signals.async_wait([&](const asio::error_code &Error, int) {
      if (!Error)
        Process.beginStop();
    });
    Context.run();
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return ExitFailure;
  }
  return ExitSuccess;
}

} // namespace rr
