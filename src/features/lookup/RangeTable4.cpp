#include "lookup/RangeTable4.h"

#include "lookup/RangeSearch.h"

namespace rr {

namespace {

constexpr std::size_t IndexSize = (std::size_t{1} << 16) + 1;

} // namespace

void RangeTable4::reserve(std::size_t Ranges) {
  this->Index.reserve(IndexSize);
  this->Lows.reserve(Ranges);
  this->Values.reserve(Ranges);
}

void RangeTable4::append(std::uint32_t First, std::uint32_t Value) {
  if (!this->Values.empty()) {
    if (this->LastFirst == First) {
      this->Values.back() = Value;
      return;
    }
    if (this->Values.back() == Value)
      return;
  }
  while (this->Index.size() <= First >> 16)
    this->Index.push_back(static_cast<std::uint32_t>(this->Values.size()));
  this->Lows.push_back(static_cast<std::uint16_t>(First));
  this->Values.push_back(Value);
  this->LastFirst = First;
}

void RangeTable4::finish() {
  this->Index.resize(IndexSize,
                     static_cast<std::uint32_t>(this->Values.size()));
  this->Lows.shrink_to_fit();
  this->Values.shrink_to_fit();
}

std::uint32_t RangeTable4::find(std::uint32_t Address) const {
  const std::uint32_t Bucket = Address >> 16;
  const std::uint32_t Begin = this->Index[Bucket];
  const std::size_t Count = this->Index[Bucket + 1] - Begin;
  // An address before the first start of its bucket belongs to the last range
  // of an earlier bucket, which is the element before Begin.
  const std::size_t Position =
      Begin + countNotAbove(this->Lows.data() + Begin, Count,
                            static_cast<std::uint16_t>(Address));
  return this->Values[Position - 1];
}

std::size_t RangeTable4::memoryBytes() const {
  return this->Index.capacity() * sizeof(std::uint32_t) +
         this->Lows.capacity() * sizeof(std::uint16_t) +
         this->Values.capacity() * sizeof(std::uint32_t);
}

} // namespace rr
