#include "routing/Rendezvous.h"

#include <xxhash.h>

namespace rr {

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node) {
  return XXH64(Node.data(), Node.size(), XXH64(Key.data(), Key.size(), 0));
}

} // namespace rr
