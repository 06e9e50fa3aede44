#include "app/CommandLine.h"
#include "app/ExitCode.h"
#include "app/OtherCommands.h"
#include "app/PlanCommands.h"
#include "app/Serve.h"
#include "logging/EventLog.h"
#include "platform/RunOnPlatform.h"
#include "telemetry/Metrics.h"

#include <iostream>

using namespace rr;

namespace {

int run(const Arguments &Given) {
  if (isGiven(Given, "serve"))
    return runServe(Given);
  if (isGiven(Given, "steer"))
    return platform::runOnPlatform();
  if (isGiven(Given, "check-config"))
    return runCheckConfig(Given);
  if (isGiven(Given, "lookup"))
    return runLookup(Given);
  if (isGiven(Given, "plan"))
    return runPlan(Given);
  if (isGiven(Given, "show"))
    return runShow(Given);
  if (isGiven(Given, "confirm"))
    return runConfirm(Given);
  if (isGiven(Given, "take-back"))
    return runTakeBack(Given);
  if (isGiven(Given, "watch"))
    return runWatch(Given);
  if (isGiven(Given, "key-report"))
    return runKeyReport(Given);
  if (isGiven(Given, "events"))
    std::cout << eventCatalogue();
  if (isGiven(Given, "metrics"))
    std::cout << metricCatalogue();
  for (const char *Path : {"status", "fleet", "audit"})
    if (isGiven(Given, Path))
      return runRead(Given, std::string("/") + Path);
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
    std::cerr << "wrong usage; see redwingrack --help\n";
    return ExitWrongUsage;
  }
}
