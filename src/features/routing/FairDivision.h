#ifndef REDWINGRACK_ROUTING_FAIRDIVISION_H
#define REDWINGRACK_ROUTING_FAIRDIVISION_H

#include <vector>

namespace rr {

/// Divides \p Total so that the smallest unmet share is as large as possible
/// and nobody gets more than asked. Negative asks count as 0.
std::vector<double> divideFairly(double Total, const std::vector<double> &Asks);

} // namespace rr

#endif // REDWINGRACK_ROUTING_FAIRDIVISION_H
