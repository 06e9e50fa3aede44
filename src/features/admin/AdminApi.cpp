#include "admin/AdminApi.h"

#include "admin/OperatorIdentity.h"
#include "logging/EventLog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace rr {

namespace {

const std::string Base = "/admin/v1";
const std::string PlansPath = Base + "/plans";
const std::string KeysPath = Base + "/keys/";

HttpResponse toResponse(AdminReply Reply) {
  return jsonResponse(Reply.Status, std::move(Reply.Body));
}

bool startsWith(const std::string &Text, const std::string &Start) {
  return Text.compare(0, Start.size(), Start) == 0;
}

/// PLAN and action of /admin/v1/plans/PLAN/ACTION.
struct PlanPath {
  std::string Plan;
  std::string Action;
};

PlanPath splitPlanPath(const std::string &Path) {
  const std::string Rest = Path.substr(PlansPath.size() + 1);
  const auto Slash = Rest.find('/');
  if (Slash == std::string::npos)
    return {Rest, ""};
  return {Rest.substr(0, Slash), Rest.substr(Slash + 1)};
}

} // namespace

AdminReply adminError(int Status, const std::string &Code,
                      const std::string &Detail) {
  const nlohmann::json Body = {{"error", Code}, {"detail", Detail}};
  return {Status,
          Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

AdminApi::AdminApi(AdminServices Services, std::vector<OperatorToken> Tokens)
    : Services(std::move(Services)), Tokens(std::move(Tokens)) {}

asio::awaitable<HttpResponse> AdminApi::handle(HttpServerRequest Request) {
  if (Request.Path == "/metrics" && Request.Method == "GET") {
    HttpResponse Result;
    Result.Headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    Result.Body = this->Services.Metrics();
    co_return Result;
  }
  const OperatorIdentity Caller =
      identifyOperator(this->Tokens, Request.Headers);
  const bool Writes = Request.Method != "GET";
  if (Caller.Role == OperatorRole::None) {
    logEvent(Event::AdminRefused, {{"path", Request.Path}, {"status", "401"}});
    co_return toResponse(
        adminError(401, "unauthorized", "a valid operator token is needed"));
  }
  if (Writes && Caller.Role != OperatorRole::Operate) {
    logEvent(Event::AdminRefused,
             {{"path", Request.Path}, {"operator", Caller.Name}});
    co_return toResponse(
        adminError(403, "read_only", "this token may only read"));
  }
  AdminReply Reply = co_await this->route(Request, Caller);
  if (Writes)
    logEvent(Event::AdminAction, {{"operator", Caller.Name},
                                  {"path", Request.Path},
                                  {"status", std::to_string(Reply.Status)}});
  co_return toResponse(std::move(Reply));
}

asio::awaitable<AdminReply> AdminApi::route(const HttpServerRequest &Request,
                                            const OperatorIdentity &Caller) {
  const bool Get = Request.Method == "GET";
  if (Get && Request.Path == Base + "/status")
    co_return this->Services.Status();
  if (Get && Request.Path == Base + "/fleet")
    co_return this->Services.Fleet();
  if (Get && Request.Path == Base + "/audit")
    co_return co_await this->Services.Audit();
  if (Get && startsWith(Request.Path, KeysPath))
    co_return this->Services.KeyReport(Request.Path.substr(KeysPath.size()));
  if (startsWith(Request.Path, PlansPath))
    co_return co_await this->routePlan(Request, Caller);
  co_return adminError(404, "not_found", "there is nothing at this path");
}

asio::awaitable<AdminReply>
AdminApi::routePlan(const HttpServerRequest &Request,
                    const OperatorIdentity &Caller) {
  const bool Get = Request.Method == "GET";
  const bool Post = Request.Method == "POST";
  if (Get && Request.Path == PlansPath)
    co_return co_await this->Services.ListPlans();
  if (Post && Request.Path == PlansPath)
    co_return co_await this->Services.Propose(Caller.Name, Request.Body);
  if (!startsWith(Request.Path, PlansPath + "/"))
    co_return adminError(404, "not_found", "there is nothing at this path");
  const PlanPath Where = splitPlanPath(Request.Path);
  if (Get && Where.Action.empty())
    co_return co_await this->Services.Show(Where.Plan);
  if (Post && Where.Action == "confirm")
    co_return co_await this->Services.Confirm(Caller.Name, Where.Plan);
  if (Post && Where.Action == "take-back")
    co_return co_await this->Services.TakeBack(Caller.Name, Where.Plan);
  co_return adminError(405, "method_not_allowed",
                       "this method is not known here");
}

} // namespace rr
