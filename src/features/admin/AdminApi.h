#ifndef REDWINGRACK_ADMIN_ADMINAPI_H
#define REDWINGRACK_ADMIN_ADMINAPI_H

#include "admin/AdminServices.h"
#include "httpserver/HttpResponse.h"
#include "httpserver/HttpServerRequest.h"
#include "settings/OperatorToken.h"

#include <vector>

namespace rr {

struct OperatorIdentity;

/// The administration API under /admin/v1, as docs/admin-api.md describes it.
class AdminApi {
public:
  AdminApi(AdminServices Services, std::vector<OperatorToken> Tokens);

  asio::awaitable<HttpResponse> handle(HttpServerRequest Request);

private:
  asio::awaitable<AdminReply> route(const HttpServerRequest &Request,
                                    const OperatorIdentity &Caller);
  asio::awaitable<AdminReply> routePlan(const HttpServerRequest &Request,
                                        const OperatorIdentity &Caller);

  AdminServices Services;
  std::vector<OperatorToken> Tokens;
};

} // namespace rr

#endif // REDWINGRACK_ADMIN_ADMINAPI_H
