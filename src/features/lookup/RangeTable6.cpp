#include "lookup/RangeTable6.h"

#include "lookup/RangeSearch.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::size_t SampleDistance = 64;

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
  this->Samples.clear();
  for (std::size_t I = 0; I < this->Highs.size(); I += SampleDistance)
    this->Samples.push_back(this->Highs[I]);
}

std::size_t RangeTable6::lastWithHigh(std::uint64_t High) const {
  const std::size_t Block =
      countNotAbove(this->Samples.data(), this->Samples.size(), High) - 1;
  const std::size_t Begin = Block * SampleDistance;
  const std::size_t Count =
      std::min(SampleDistance, this->Highs.size() - Begin);
  return Begin + countNotAbove(this->Highs.data() + Begin, Count, High) - 1;
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
  return (this->Samples.capacity() + this->Highs.capacity() +
          this->Lows.capacity()) *
             sizeof(std::uint64_t) +
         this->Values.capacity() * sizeof(std::uint32_t);
}

} // namespace rr
