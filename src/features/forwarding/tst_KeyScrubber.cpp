#include "forwarding/HeaderRules.h"
#include "forwarding/KeyScrubber.h"

#include <catch2/catch.hpp>

using namespace rr;

namespace {

const KeyScrubber Scrubber{
    [](const std::string &Text) { return Text == "other-key"; }};

} // namespace

// Guards against forwarding a key to a backend server in the query: the
// caller's own key, plain or percent-encoded once or twice, or another issued
// key.
TEST_CASE("Query parameters that carry a key are dropped") {
  CHECK(scrubQuery(Scrubber, "a=1&key=x&b=2", "secret") == "a=1&b=2");
  CHECK(scrubQuery(Scrubber, "a=secret", "secret").empty());
  CHECK(scrubQuery(Scrubber, "a=%73ecret", "secret").empty());
  CHECK(scrubQuery(Scrubber, "a=%2573ecret", "secret").empty());
  CHECK(scrubQuery(Scrubber, "secret&c=3", "secret") == "c=3");
  CHECK(scrubQuery(Scrubber, "a=other-key", "secret").empty());
}

TEST_CASE("A key in the path, in a header or in the body is found") {
  CHECK(containsKey(Scrubber, "/a/secret/b", {}, "", "secret"));
  CHECK(containsKey(Scrubber, "/a/%73ecret", {}, "", "secret"));
  CHECK(containsKey(Scrubber, "/a", {{"Accept", "other-key"}}, "", "secret"));
  CHECK(containsKey(Scrubber, "/a", {}, "x=secret", "secret"));
  CHECK_FALSE(containsKey(Scrubber, "/a", {}, "x=1", "secret"));
}

// Guards against forwarding header fields that are not on the allowlist.
TEST_CASE("Only listed header fields reach a backend server") {
  const HttpHeaders RequestHeaders = {{"Authorization", "Bearer k"},
                                      {"Cookie", "key=k"},
                                      {"X-Api-Key", "k"},
                                      {"Accept", "text/plain"},
                                      {"Range", "bytes=0-1"},
                                      {"Connection", "close, Range"}};
  const HttpHeaders Forwarded = headersForServer(RequestHeaders);
  REQUIRE(Forwarded.size() == 1);
  CHECK(Forwarded[0].Name == "Accept");
  CHECK(bearerKey(RequestHeaders) == "k");
}
