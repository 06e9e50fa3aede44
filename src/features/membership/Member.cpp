#include "membership/Member.h"

#include <tuple>

namespace rr {

namespace {

auto mergeRank(const Member &Item) {
  return std::tie(Item.Incarnation, Item.State, Item.Zone, Item.Region,
                  Item.CallerAddress, Item.PeerAddress);
}

} // namespace

const Member &newerOf(const Member &Left, const Member &Right) {
  return mergeRank(Left) < mergeRank(Right) ? Right : Left;
}

} // namespace rr
