#include "lookup/RangeTable6.h"

#include "lookup/RangeSearch.h"

#include <algorithm>

namespace rr {

namespace {

// Two cache lines; measured faster than a binary search, which touches more.
constexpr std::size_t NodeSize = 16;

using Keys = std::vector<std::uint64_t>;

// Number of keys that are not above the given one. The compares don't depend
// on each other, unlike the steps of a binary search.
template <std::size_t Size>
std::size_t countInNode(const std::uint64_t *Data, std::uint64_t Key) {
  std::size_t Count = 0;
#pragma GCC unroll 16
  for (std::size_t I = 0; I < Size; ++I)
    Count += Data[I] <= Key ? 1 : 0;
  return Count;
}

// Last element of a node that is not above the key. The first one never is.
std::size_t lastInNode(const Keys &Level, std::size_t Node, std::uint64_t Key) {
  const std::size_t Begin = Node * NodeSize;
  const std::uint64_t *Data = Level.data() + Begin;
  if (Level.size() - Begin >= NodeSize)
    return Begin + countInNode<NodeSize>(Data, Key) - 1;
  return Begin + countNotAbove(Data, Level.size() - Begin, Key) - 1;
}

Keys sample(const Keys &Below) {
  Keys Result;
  Result.reserve((Below.size() + NodeSize - 1) / NodeSize);
  for (std::size_t I = 0; I < Below.size(); I += NodeSize)
    Result.push_back(Below[I]);
  return Result;
}

} // namespace

void RangeTable6::reserve(std::size_t Count) {
  this->Leaves.reserve((Count + LeafSize - 1) / LeafSize);
}

void RangeTable6::append(Key6 First, std::uint32_t Value) {
  if (this->Ranges > 0) {
    std::uint32_t &Last = this->value(this->Ranges - 1);
    if (this->LastFirst == First) {
      Last = Value;
      return;
    }
    if (Last == Value)
      return;
  }
  if (this->Lows.empty() && First.Low != 0)
    this->Lows.resize(this->Ranges);
  if (!this->Lows.empty() || First.Low != 0)
    this->Lows.push_back(First.Low);
  if (this->Ranges % LeafSize == 0) {
    // Unused places of the last leaf are above every start.
    std::ranges::fill(this->Leaves.emplace_back().Highs, ~std::uint64_t{0});
  }
  const std::size_t Range = this->Ranges++;
  this->Leaves.back().Highs[Range % LeafSize] = First.High;
  this->value(Range) = Value;
  this->LastFirst = First;
}

void RangeTable6::finish() {
  this->Leaves.shrink_to_fit();
  this->Lows.shrink_to_fit();
  this->Levels.assign(1, {});
  this->Levels[0].reserve(this->Leaves.size());
  for (const Leaf &Item : this->Leaves)
    this->Levels[0].push_back(Item.Highs[0]);
  while (this->Levels.back().size() > NodeSize)
    this->Levels.push_back(sample(this->Levels.back()));
}

std::size_t RangeTable6::lastWithHigh(std::uint64_t High) const {
  std::size_t Node = 0;
  for (auto Level = this->Levels.rbegin(); Level != this->Levels.rend();
       ++Level)
    Node = lastInNode(*Level, Node, High);
  const std::size_t Count =
      countInNode<LeafSize>(this->Leaves[Node].Highs, High);
  // The highest key also counts the unused places.
  return std::min(Node * LeafSize + Count, this->Ranges) - 1;
}

std::uint32_t RangeTable6::find(Key6 Address) const {
  const std::size_t Last = this->lastWithHigh(Address.High);
  const Leaf &Item = this->Leaves[Last / LeafSize];
  if (this->Lows.empty() || this->high(Last) != Address.High)
    return Item.Values[Last % LeafSize];
  const std::size_t Begin =
      Address.High == 0 ? 0 : this->lastWithHigh(Address.High - 1) + 1;
  const std::size_t Found =
      Begin - 1 +
      countNotAbove(this->Lows.data() + Begin, Last + 1 - Begin, Address.Low);
  return this->Leaves[Found / LeafSize].Values[Found % LeafSize];
}

std::size_t RangeTable6::memoryBytes() const {
  std::size_t Words = this->Lows.capacity();
  for (const Keys &Level : this->Levels)
    Words += Level.capacity();
  return Words * sizeof(std::uint64_t) + this->Leaves.capacity() * sizeof(Leaf);
}

} // namespace rr
