#ifndef REDWINGRACK_APP_COMMANDLINE_H
#define REDWINGRACK_APP_COMMANDLINE_H

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace rr {

using Arguments = std::map<std::string, docopt::value>;

/// Text of --help, from which the arguments are read.
extern const char *const UsageText;

/// Value of an option; \p Default when it was not given.
std::string optionText(const Arguments &Args, const std::string &Name,
                       const std::string &Default = "");
bool isGiven(const Arguments &Args, const std::string &Name);
/// Reads a number; prints an error and returns false for anything else.
bool optionNumber(const Arguments &Args, const std::string &Name,
                  double &Value);

} // namespace rr

#endif // REDWINGRACK_APP_COMMANDLINE_H
