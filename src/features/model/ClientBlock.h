#ifndef REDWINGRACK_MODEL_CLIENTBLOCK_H
#define REDWINGRACK_MODEL_CLIENTBLOCK_H

#include <string>
#include <vector>

namespace rr {

/// An IP prefix and the sites for its clients, nearest first.
struct ClientBlock {
  /// IPv4 or IPv6 prefix in the form ADDRESS/LENGTH.
  std::string Prefix;
  std::vector<std::string> Sites;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_CLIENTBLOCK_H
