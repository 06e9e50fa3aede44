#ifndef REDWINGRACK_APP_PLANCOMMANDS_H
#define REDWINGRACK_APP_PLANCOMMANDS_H

#include "app/CommandLine.h"

namespace rr {

/// `plan ...`: requests a plan and prints it.
int runPlan(const Arguments &Args);
int runShow(const Arguments &Args);
int runConfirm(const Arguments &Args);
int runTakeBack(const Arguments &Args);
/// `watch`: prints a line for each change of a plan until it has ended or the
/// watch time is over.
int runWatch(const Arguments &Args);

} // namespace rr

#endif // REDWINGRACK_APP_PLANCOMMANDS_H
