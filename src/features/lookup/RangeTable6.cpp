#include "lookup/RangeTable6.h"

#include "lookup/RangeSearch.h"

#include <algorithm>

namespace rr {

namespace {

// Two cache lines; measured faster than a binary search, which touches more.
constexpr std::size_t NodeSize = 16;

using Keys = std::vector<std::uint64_t>;

Keys sample(const Keys &Below) {
  Keys Result;
  Result.reserve((Below.size() + NodeSize - 1) / NodeSize);
  for (std::size_t I = 0; I < Below.size(); I += NodeSize)
    Result.push_back(Below[I]);
  return Result;
}

// Last element of a node that is not above the key. The first one never is.
std::size_t lastInNode(const Keys &Level, std::size_t Node, std::uint64_t Key) {
  const std::size_t Begin = Node * NodeSize;
  const std::size_t End = std::min(Begin + NodeSize, Level.size());
  std::size_t Count = 0;
  // The compiler unrolls the loop only when the count is fixed.
  if (End - Begin == NodeSize) {
    const std::uint64_t *Data = Level.data() + Begin;
#pragma GCC unroll 16
    for (std::size_t I = 0; I < NodeSize; ++I)
      Count += Data[I] <= Key ? 1 : 0;
    return Begin + Count - 1;
  }
  for (std::size_t I = Begin; I < End; ++I)
    Count += Level[I] <= Key ? 1 : 0;
  return Begin + Count - 1;
}

} // namespace

void RangeTable6::reserve(std::size_t Ranges) {
  this->Highs.reserve(Ranges);
  this->Values.reserve(Ranges);
}

void RangeTable6::append(Key6 First, std::uint32_t Value) {
  if (!this->Values.empty()) {
    if (this->LastFirst == First) {
      this->Values.back() = Value;
      return;
    }
    if (this->Values.back() == Value)
      return;
  }
  if (this->Lows.empty() && First.Low != 0)
    this->Lows.resize(this->Highs.size());
  if (!this->Lows.empty() || First.Low != 0)
    this->Lows.push_back(First.Low);
  this->Highs.push_back(First.High);
  this->Values.push_back(Value);
  this->LastFirst = First;
}

void RangeTable6::finish() {
  this->Highs.shrink_to_fit();
  this->Lows.shrink_to_fit();
  this->Values.shrink_to_fit();
  this->Levels.clear();
  for (const Keys *Below = &this->Highs; Below->size() > NodeSize;
       Below = &this->Levels.back())
    this->Levels.push_back(sample(*Below));
}

std::size_t RangeTable6::lastWithHigh(std::uint64_t High) const {
  std::size_t Node = 0;
  for (auto Level = this->Levels.rbegin(); Level != this->Levels.rend();
       ++Level)
    Node = lastInNode(*Level, Node, High);
  return lastInNode(this->Highs, Node, High);
}

std::uint32_t RangeTable6::find(Key6 Address) const {
  const std::size_t Last = this->lastWithHigh(Address.High);
  if (this->Lows.empty() || this->Highs[Last] != Address.High)
    return this->Values[Last];
  const std::size_t Begin =
      Address.High == 0 ? 0 : this->lastWithHigh(Address.High - 1) + 1;
  const std::size_t Count =
      countNotAbove(this->Lows.data() + Begin, Last + 1 - Begin, Address.Low);
  return this->Values[Begin + Count - 1];
}

std::size_t RangeTable6::memoryBytes() const {
  std::size_t Words = this->Highs.capacity() + this->Lows.capacity();
  for (const Keys &Level : this->Levels)
    Words += Level.capacity();
  return Words * sizeof(std::uint64_t) +
         this->Values.capacity() * sizeof(std::uint32_t);
}

} // namespace rr
