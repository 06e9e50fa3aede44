#ifndef REDWINGRACK_CONFIGURATION_CONFIGCHANGES_H
#define REDWINGRACK_CONFIGURATION_CONFIGCHANGES_H

#include <string>
#include <vector>

namespace rr {

/// Differences between two configurations in JSON, one line each, such as
/// "servers: x changed". At most 100 lines; a last line says when there are
/// more.
std::vector<std::string> describeChanges(const std::string &Before,
                                         const std::string &After);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGCHANGES_H
