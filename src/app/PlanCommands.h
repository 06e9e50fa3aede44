#ifndef REDWINGRACK_APP_PLANCOMMANDS_H
#define REDWINGRACK_APP_PLANCOMMANDS_H

#include "app/CommandLine.h"

namespace rr {

/// `plan ...`: asks for a plan and prints it.
int runPlan(const Arguments &Given);
int runShow(const Arguments &Given);
int runConfirm(const Arguments &Given);
int runTakeBack(const Arguments &Given);
/// Prints a line for each change of the plan until it has ended.
int runWatch(const Arguments &Given);

} // namespace rr

#endif // REDWINGRACK_APP_PLANCOMMANDS_H
