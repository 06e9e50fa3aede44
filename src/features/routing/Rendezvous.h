#ifndef REDWINGRACK_ROUTING_RENDEZVOUS_H
#define REDWINGRACK_ROUTING_RENDEZVOUS_H

#include <cstdint>
#include <string_view>

namespace rr {

/// Rendezvous weight of \p Node for \p Key, the same in every process. The
/// node with the highest weight has the key.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

} // namespace rr

#endif // REDWINGRACK_ROUTING_RENDEZVOUS_H
