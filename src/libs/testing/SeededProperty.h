#ifndef REDWINGRACK_TESTING_SEEDEDPROPERTY_H
#define REDWINGRACK_TESTING_SEEDEDPROPERTY_H

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <utility>

namespace rr {

/// Checks a RapidCheck property \p Runs times with a fixed seed, so that the
/// result is reproducible.
template <typename Testable>
void checkSeeded(std::uint64_t Seed, int Runs, Testable &&Property) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Runs;
  const auto Result = rc::detail::checkProperty(
      rc::detail::toProperty(std::forward<Testable>(Property)),
      rc::detail::TestMetadata(), Params);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  INFO("seed " << Seed << ": " << Text.str());
  CHECK(Result.template is<rc::detail::SuccessResult>());
}

} // namespace rr

#endif // REDWINGRACK_TESTING_SEEDEDPROPERTY_H
