#include "gateway/InstanceTestBed.h"
#include "usage/FakeUsageApi.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

struct ApiHolder {
  FakeUsageApi Api{3s};
};

/// An instance with one backend server that reports usage.
struct UsageBed : ApiHolder, InstanceTestBed {
  UsageBed()
      : InstanceTestBed(
            1, 0,
            [this](UsageReport Report, UsageCallOptions Options)
                -> asio::awaitable<UsageCallResult> {
              if (!Options.MayWrite())
                co_return UsageCallResult{0, make_error_code(Errc::Cancelled)};
              this->Api.receive("m", Report);
              co_return UsageCallResult{200, {}};
            }) {
    this->addBackend("b1");
    this->configure(1, {"key"});
    if (!this->Instance->start())
      std::abort();
    this->advance(12s);
  }

  /// Sum of all reported counts of a workspace, once all windows are due.
  std::uint64_t reportedTotal(const std::string &Workspace) {
    this->advance(16s);
    std::uint64_t Sum = 0;
    for (const auto &[Window, Counts] : this->Api.reports()) {
      const auto Found = Counts.find(Workspace);
      Sum += Found == Counts.end() ? 0 : Found->second;
    }
    return Sum;
  }
};

HttpMessage withStatus(const HttpMessage &Request, int Status) {
  HttpMessage Reply = InstanceTestBed::goodAnswer(Request);
  Reply.Status = Status;
  return Reply;
}

} // namespace

// Guards against requests that are counted though they did not run, or are not
// counted though they did.
TEST_CASE("Requests that a server began to run are counted for their workspace",
          "[usage]") {
  UsageBed Bed;
  auto &Answers = Bed.Backends.at("b1").Answers;
  Bed.request("GET", "/safe/1");
  // Without a key there is no workspace.
  Bed.request("GET", "/open/5", "");
  Answers.push_back(
      [](const HttpMessage &Request) { return withStatus(Request, 404); });
  Bed.request("GET", "/safe/2");
  Answers.push_back(
      [](const HttpMessage &Request) { return withStatus(Request, 500); });
  Bed.request("POST", "/order/3");
  Answers.push_back(InstanceTestBed::notRunAnswer);
  Bed.request("POST", "/order/4");
  REQUIRE(Bed.arrivals() == 5);
  CHECK(Bed.reportedTotal("w") == 3);
  CHECK(Bed.Api.violations().empty());
  CHECK(Bed.metrics().find("redwingrack_usage_holder 1") != std::string::npos);
}

// Guards against attempts that are lost without being counted.
TEST_CASE("A request that timed out at a server is counted", "[usage]") {
  UsageBed Bed;
  Bed.Backends.at("b1").Hold = true;
  Bed.request("POST", "/order/1");
  Bed.Backends.at("b1").Hold = false;
  CHECK(Bed.arrivals() == 1);
  CHECK(Bed.reportedTotal("w") == 1);
}

// Guards against additional calls of the store in deployments that do not ask
// for usage reports.
TEST_CASE("Without the duty nothing is written or read for usage", "[usage]") {
  InstanceTestBed Bed;
  Bed.addBackend("b1");
  Bed.configure(1, {"key"});
  REQUIRE(Bed.Instance->start());
  Bed.advance(12s);
  Bed.request("GET", "/safe/1");
  Bed.advance(5s);
  CHECK_FALSE(Bed.Instance->usage());
  CHECK_FALSE(Bed.Tables.find("redwingrack", "usage"));
  CHECK(Bed.metrics().find("redwingrack_usage") == std::string::npos);
}
