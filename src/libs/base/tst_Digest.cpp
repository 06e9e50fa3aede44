#include "base/Digest.h"

#include <catch2/catch.hpp>

using namespace rr;

// Guards against digests that are not interoperable with other programs.
TEST_CASE("SHA-256 agrees with the published test vector") {
  CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb"
                            "410ff61f20015ad");
}

TEST_CASE("Constant-time comparison distinguishes equal and different texts") {
  CHECK(equalConstantTime("abc", "abc"));
  CHECK_FALSE(equalConstantTime("abc", "abd"));
  CHECK_FALSE(equalConstantTime("abc", "ab"));
}
