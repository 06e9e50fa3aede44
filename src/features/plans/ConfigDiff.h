#ifndef REDWINGRACK_PLANS_CONFIGDIFF_H
#define REDWINGRACK_PLANS_CONFIGDIFF_H

#include <string>
#include <vector>

namespace rr {

struct FleetConfig;

/// A line for each item that differs, at most \p Most and a count of the rest.
std::vector<std::string> describeChanges(const FleetConfig &Before,
                                         const FleetConfig &After,
                                         std::size_t Most = 50);

} // namespace rr

#endif // REDWINGRACK_PLANS_CONFIGDIFF_H
