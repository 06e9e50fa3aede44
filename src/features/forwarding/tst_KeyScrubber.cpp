#include "forwarding/HeaderRules.h"
#include "forwarding/KeyScrubber.h"

#include <catch2/catch.hpp>

using namespace rr;

namespace {

const KeyScrubber Scrubber{
    [](const std::string &Text) { return Text == "other-key"; }};

} // namespace

// Guards against a key that reaches a backend server in the query, plain,
// encoded once or encoded twice, or the key of somebody else.
TEST_CASE("Query parameters that carry a key are dropped") {
  CHECK(queryForServer(Scrubber, "a=1&key=x&b=2", "secret") == "a=1&b=2");
  CHECK(queryForServer(Scrubber, "a=secret", "secret").empty());
  CHECK(queryForServer(Scrubber, "a=%73ecret", "secret").empty());
  CHECK(queryForServer(Scrubber, "a=%2573ecret", "secret").empty());
  CHECK(queryForServer(Scrubber, "secret&c=3", "secret") == "c=3");
  CHECK(queryForServer(Scrubber, "a=other-key", "secret").empty());
}

TEST_CASE("A key in the path, in a header or in the body is found") {
  CHECK(carriesKey(Scrubber, "/a/secret/b", {}, "", "secret"));
  CHECK(carriesKey(Scrubber, "/a/%73ecret", {}, "", "secret"));
  CHECK(carriesKey(Scrubber, "/a", {{"Accept", "other-key"}}, "", "secret"));
  CHECK(carriesKey(Scrubber, "/a", {}, "x=secret", "secret"));
  CHECK_FALSE(carriesKey(Scrubber, "/a", {}, "x=1", "secret"));
}

// Guards against new header fields passing because nobody thought of them.
TEST_CASE("Only listed header fields reach a backend server") {
  const HttpHeaders FromCaller = {{"Authorization", "Bearer k"},
                                  {"Cookie", "key=k"},
                                  {"X-Api-Key", "k"},
                                  {"Accept", "text/plain"},
                                  {"Range", "bytes=0-1"},
                                  {"Connection", "close, Range"}};
  const HttpHeaders Passed = headersForServer(FromCaller);
  REQUIRE(Passed.size() == 1);
  CHECK(Passed[0].Name == "Accept");
  CHECK(bearerKey(FromCaller) == "k");
}
