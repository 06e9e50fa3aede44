#include "bench/AllocationCounter.h"

#include <algorithm>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

bool Counting = false;
std::int64_t Kept = 0;
std::int64_t Peak = 0;

void release(void *Block) noexcept {
  if (Counting)
    Kept -= static_cast<std::int64_t>(malloc_usable_size(Block));
  std::free(Block);
}

} // namespace

// Replaced for the whole program, which costs one branch while nothing counts.
void *operator new(std::size_t Size) {
  void *Block = std::malloc(Size == 0 ? 1 : Size);
  if (!Block)
    throw std::bad_alloc();
  if (Counting) {
    Kept += static_cast<std::int64_t>(malloc_usable_size(Block));
    Peak = std::max(Peak, Kept);
  }
  return Block;
}

void operator delete(void *Block) noexcept { release(Block); }
void operator delete(void *Block, std::size_t) noexcept { release(Block); }

namespace rr {

AllocationCounter::AllocationCounter() {
  Kept = 0;
  Peak = 0;
  Counting = true;
}

AllocationCounter::~AllocationCounter() { Counting = false; }

std::int64_t AllocationCounter::keptBytes() const { return Kept; }

std::int64_t AllocationCounter::peakBytes() const { return Peak; }

} // namespace rr
