#include "app/CommandLine.h"
#include "app/ExitCode.h"
#include "app/PlanCommands.h"
#include "app/QueryCommands.h"
#include "app/Serve.h"
#include "logging/EventLog.h"
#include "platform/RunOnPlatform.h"
#include "telemetry/Metrics.h"

#include <iostream>

using namespace rr;

namespace {

int run(const Arguments &Args) {
  if (isGiven(Args, "serve"))
    return runServe(Args);
  if (isGiven(Args, "steer"))
    return platform::runOnPlatform();
  if (isGiven(Args, "check-config"))
    return runCheckConfig(Args);
  if (isGiven(Args, "lookup"))
    return runLookup(Args);
  if (isGiven(Args, "plan"))
    return runPlan(Args);
  if (isGiven(Args, "show"))
    return runShow(Args);
  if (isGiven(Args, "confirm"))
    return runConfirm(Args);
  if (isGiven(Args, "take-back"))
    return runTakeBack(Args);
  if (isGiven(Args, "watch"))
    return runWatch(Args);
  if (isGiven(Args, "key-report"))
    return runKeyReport(Args);
  if (isGiven(Args, "events"))
    std::cout << eventCatalogue();
  if (isGiven(Args, "metrics"))
    std::cout << metricCatalogue();
  for (const char *Path : {"status", "fleet", "audit"})
    if (isGiven(Args, Path))
      return runRead(Args, std::string("/") + Path);
  return ExitSuccess;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return run(docopt::docopt_parse(UsageText, {Argv + 1, Argv + Argc}));
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << UsageText;
    return ExitSuccess;
  } catch (const docopt::DocoptExitVersion &) {
    std::cout << "redwingrack " REDWINGRACK_VERSION "\n";
    return ExitSuccess;
  } catch (const docopt::DocoptArgumentError &Error) {
    std::cerr << "invalid usage; see redwingrack --help\n";
    return ExitWrongUsage;
  }
}
