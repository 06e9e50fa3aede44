#include "telemetry/Metrics.h"
#include "telemetry/TraceContext.h"

#include <catch2/catch.hpp>

using namespace rr;

// Guards against losing the caller's trace identifier.
TEST_CASE("A caller's trace is continued") {
  const std::string Text =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto Parsed = parseTraceParent(Text);
  REQUIRE(Parsed);
  CHECK(formatTraceParent(*Parsed) == Text);
  CHECK(childOf(*Parsed).TraceId == Parsed->TraceId);
  CHECK(childOf(*Parsed).SpanId != Parsed->SpanId);
}

// Guards against copying unvalidated header text into traces.
TEST_CASE("A malformed traceparent is rejected") {
  CHECK_FALSE(parseTraceParent(""));
  CHECK_FALSE(parseTraceParent(std::string(55, '-')));
  CHECK_FALSE(parseTraceParent(
      "00-00000000000000000000000000000000-b7ad6b7169203331-01"));
}

TEST_CASE("Metrics appear in the Prometheus text format") {
  Metrics Counters;
  Counters.add(Metric::Refusals, {{"reason", "r"}, {"outcome", "not_run"}}, 2);
  const std::string Text = Counters.format();
  CHECK(Text.find("redwingrack_refusals_total{outcome=\"not_run\",reason=\"r\"}"
                  " 2") != std::string::npos);
}
