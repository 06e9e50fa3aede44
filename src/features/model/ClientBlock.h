#ifndef REDWINGRACK_MODEL_CLIENTBLOCK_H
#define REDWINGRACK_MODEL_CLIENTBLOCK_H

#include <string>
#include <vector>

namespace rr {

/// An IP prefix and the sites that its clients use, nearest first.
struct ClientBlock {
  /// In the form ADDRESS/LENGTH, IPv4 or IPv6.
  std::string Prefix;
  std::vector<std::string> Sites;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_CLIENTBLOCK_H
