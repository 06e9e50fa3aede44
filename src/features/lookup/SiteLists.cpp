#include "lookup/SiteLists.h"

#include <algorithm>
#include <xxhash.h>

namespace rr {

namespace {

constexpr std::size_t FirstBuckets = 64;

} // namespace

SiteLists::SiteLists() : Offsets(1), Buckets(FirstBuckets) {}

std::size_t SiteLists::bucketOf(std::span<const std::uint16_t> Wanted) const {
  const std::size_t Mask = this->Buckets.size() - 1;
  std::size_t Bucket = XXH64(Wanted.data(), Wanted.size_bytes(), 0) & Mask;
  while (this->Buckets[Bucket] != 0 &&
         !std::ranges::equal(this->get(this->Buckets[Bucket] - 1), Wanted))
    Bucket = (Bucket + 1) & Mask;
  return Bucket;
}

void SiteLists::growBuckets() {
  this->Buckets.assign(this->Buckets.size() * 2, 0);
  for (std::uint32_t List = 0; List < this->size(); ++List)
    this->Buckets[this->bucketOf(this->get(List))] = List + 1;
}

std::uint32_t SiteLists::add(std::span<const std::uint16_t> Added) {
  std::size_t Bucket = this->bucketOf(Added);
  if (this->Buckets[Bucket] != 0)
    return this->Buckets[Bucket] - 1;
  this->Sites.insert(this->Sites.end(), Added.begin(), Added.end());
  this->Offsets.push_back(static_cast<std::uint32_t>(this->Sites.size()));
  const auto List = static_cast<std::uint32_t>(this->size() - 1);
  this->Buckets[Bucket] = List + 1;
  if (2 * this->size() > this->Buckets.size())
    this->growBuckets();
  return List;
}

std::span<const std::uint16_t> SiteLists::get(std::uint32_t List) const {
  return {this->Sites.data() + this->Offsets[List],
          this->Sites.data() + this->Offsets[List + 1]};
}

std::size_t SiteLists::memoryBytes() const {
  return this->Sites.capacity() * sizeof(std::uint16_t) +
         (this->Offsets.capacity() + this->Buckets.capacity()) *
             sizeof(std::uint32_t);
}

} // namespace rr
