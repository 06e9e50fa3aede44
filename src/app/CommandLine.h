#ifndef REDWINGRACK_APP_COMMANDLINE_H
#define REDWINGRACK_APP_COMMANDLINE_H

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace rr {

using Arguments = std::map<std::string, docopt::value>;

/// Text of --help; docopt parses the command line according to it.
extern const char *const UsageText;

/// Value of an option or argument; \p Default if it was not given.
std::string optionText(const Arguments &Args, const std::string &Name,
                       const std::string &Default = "");
bool isGiven(const Arguments &Args, const std::string &Name);
/// Parses the number in an option into \p Value. Prints an error and returns
/// false if it is not a number.
bool optionNumber(const Arguments &Args, const std::string &Name,
                  double &Value);

} // namespace rr

#endif // REDWINGRACK_APP_COMMANDLINE_H
