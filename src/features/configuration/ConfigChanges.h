#ifndef REDWINGRACK_CONFIGURATION_CONFIGCHANGES_H
#define REDWINGRACK_CONFIGURATION_CONFIGCHANGES_H

#include <string>
#include <vector>

namespace rr {

/// Returns the differences between two configurations in JSON, one line each,
/// such as "servers: x changed". Lists at most 100 differences; a further line
/// gives the number of those omitted. Empty if either text is not a JSON
/// object.
std::vector<std::string> describeChanges(const std::string &Before,
                                         const std::string &After);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGCHANGES_H
