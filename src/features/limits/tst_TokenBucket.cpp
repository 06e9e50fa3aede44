#include "limits/DemandMeter.h"
#include "limits/TokenBucket.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{};

TokenBucket bucketOf(MicroRequests Rate, MicroRequests Capacity) {
  TokenBucket Bucket(Start);
  Bucket.setRate(Rate, Start);
  Bucket.setCapacity(Capacity, Start);
  return Bucket;
}

int admitAll(TokenBucket &Bucket, Clock::time_point Now) {
  int Admitted = 0;
  while (Bucket.tryTake(OneRequest, Now))
    ++Admitted;
  return Admitted;
}

} // namespace

// A process that resumes must not get tokens for the whole pause, and an
// earlier clock reading must not remove tokens.
TEST_CASE("A pause grants at most the capacity") {
  TokenBucket Bucket = bucketOf(100 * OneRequest, 5 * OneRequest);
  CHECK(admitAll(Bucket, Start + 24h) == 5);
  Bucket.refill(Start + 24h + 20ms);
  CHECK(admitAll(Bucket, Start + 1h) == 2);
  CHECK(admitAll(Bucket, Start + 24h + 30ms) == 1);
}

// A rate change must not apply to the time before it.
TEST_CASE("A new rate applies from the time of the change") {
  TokenBucket Bucket = bucketOf(OneRequest, 100 * OneRequest);
  Bucket.setRate(10 * OneRequest, Start + 10s);
  CHECK(admitAll(Bucket, Start + 11s) == 20);
  Bucket.setRate(0, Start + 11s);
  CHECK(admitAll(Bucket, Start + 99s) == 0);
  CHECK_FALSE(Bucket.timeUntil(OneRequest));
}

// Rounding must not lose or create tokens. At 3 requests per hour and one
// refill per millisecond, each refill adds less than one unit.
TEST_CASE("Frequent refills neither lose nor create tokens") {
  TokenBucket Bucket = bucketOf(833, 3 * OneRequest);
  for (auto Time = 0ms; Time < 1000s; Time += 1ms)
    Bucket.refill(Start + Time);
  Bucket.refill(Start + 1000s);
  CHECK(Bucket.tokens() == 833'000);
  CHECK(Bucket.timeUntil(833'833) == 1s);
}

// Tokens above a lowered capacity must not be kept.
TEST_CASE("A lowered capacity drops the tokens above it") {
  TokenBucket Bucket = bucketOf(100 * OneRequest, 50 * OneRequest);
  Bucket.setCapacity(2 * OneRequest, Start + 10s);
  Bucket.setCapacity(50 * OneRequest, Start + 10s);
  CHECK(admitAll(Bucket, Start + 10s) == 2);
}

// Demand must not persist after the requests have stopped.
TEST_CASE("Demand follows arrivals and decays") {
  DemandMeter Meter;
  for (auto Time = 0ms; Time < 5s; Time += 10ms)
    Meter.recordArrival("w", Start + Time);
  CHECK(toRequests(Meter.demand("w", Start + 5s)) == Approx(100).epsilon(0.02));
  CHECK(toRequests(Meter.demand("w", Start + 10s)) < 1);
  CHECK(Meter.demand("other", Start + 5s) == 0);
}
