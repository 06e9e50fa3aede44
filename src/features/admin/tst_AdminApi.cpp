#include "admin/AdminApi.h"
#include "base/Digest.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;

namespace {

AdminServices countingServices(int &Confirmed) {
  AdminServices Result;
  Result.Status = [] { return AdminReply(); };
  Result.Confirm = [&](std::string,
                       std::string) -> asio::awaitable<AdminReply> {
    ++Confirmed;
    co_return AdminReply();
  };
  return Result;
}

int statusOf(AdminApi &Api, const std::string &Method, const std::string &Path,
             const std::string &Token) {
  TestLoop Loop;
  HttpServerRequest Request;
  Request.Method = Method;
  Request.Path = Path;
  Request.Headers = {{"Authorization", "Bearer " + Token}};
  int Status = 0;
  Loop.spawn([&]() -> asio::awaitable<void> {
    const HttpResponse Response = co_await Api.handle(Request);
    Status = Response.Status;
  });
  return Status;
}

} // namespace

// Guards against changes by callers that may only read, or not even that.
TEST_CASE("Only a token with the operate role changes anything") {
  int Confirmed = 0;
  AdminApi Api(countingServices(Confirmed),
               {{"reader", sha256Hex("read-token"), true},
                {"writer", sha256Hex("write-token"), false}});
  const std::string Confirm = "/admin/v1/plans/p1/confirm";
  CHECK(statusOf(Api, "GET", "/admin/v1/status", "none") == 401);
  CHECK(statusOf(Api, "GET", "/admin/v1/status", "read-token") == 200);
  CHECK(statusOf(Api, "POST", Confirm, "read-token") == 403);
  CHECK(Confirmed == 0);
  CHECK(statusOf(Api, "POST", Confirm, "write-token") == 200);
  CHECK(Confirmed == 1);
}

TEST_CASE("Unknown paths are an error value") {
  int Confirmed = 0;
  AdminApi Api(countingServices(Confirmed),
               {{"writer", sha256Hex("write-token"), false}});
  CHECK(statusOf(Api, "GET", "/admin/v1/nothing", "write-token") == 404);
  CHECK(statusOf(Api, "POST", "/admin/v1/plansx", "write-token") == 404);
  CHECK(statusOf(Api, "PUT", "/admin/v1/plans/p/confirm", "write-token") ==
        405);
}
