#ifndef REDWINGRACK_STEERING_REGIONMIX_H
#define REDWINGRACK_STEERING_REGIONMIX_H

#include "steering/BackendPool.h"

#include <map>
#include <string>
#include <vector>

namespace rr {

/// Shares of a region's requests that each region should serve by its slots,
/// when all regions have the same demand. Empty without servers.
std::map<std::string, double> regionMix(const std::vector<BackendPtr> &Servers,
                                        const std::string &Region);

} // namespace rr

#endif // REDWINGRACK_STEERING_REGIONMIX_H
