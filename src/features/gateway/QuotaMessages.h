#ifndef REDWINGRACK_GATEWAY_QUOTAMESSAGES_H
#define REDWINGRACK_GATEWAY_QUOTAMESSAGES_H

#include "base/Outcome.h"
#include "limits/ShareUnits.h"
#include "steering/QuotaGrant.h"

#include <map>
#include <string>

namespace rr {

/// Request for tokens of a workspace, sent to its holder.
struct QuotaRequest {
  std::string Workspace;
  MicroRequests Wanted = 0;
};

/// Transferred tokens, by workspace.
using QuotaTransfer = std::map<std::string, MicroRequests>;

/// Encode and decode the bodies of quota messages. The decoders return
/// Errc::Malformed for invalid bodies.
std::string encodeQuotaRequest(const QuotaRequest &Request);
Outcome<QuotaRequest> decodeQuotaRequest(const std::string &Body);
std::string encodeQuotaGrant(const QuotaGrant &Grant);
Outcome<QuotaGrant> decodeQuotaGrant(const std::string &Body);
std::string encodeQuotaTransfer(const QuotaTransfer &Parcel);
Outcome<QuotaTransfer> decodeQuotaTransfer(const std::string &Body);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_QUOTAMESSAGES_H
