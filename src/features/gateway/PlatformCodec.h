#ifndef REDWINGRACK_GATEWAY_PLATFORMCODEC_H
#define REDWINGRACK_GATEWAY_PLATFORMCODEC_H

#include "base/Clock.h"
#include "base/Outcome.h"
#include "gateway/LookupQuery.h"
#include "gateway/OperatorOrder.h"
#include "http1/HttpMessage.h"
#include "steering/BackendRecord.h"
#include "steering/VersionMove.h"
#include "tables/TableRow.h"
#include "tables/TableWrite.h"

#include <functional>
#include <string>
#include <vector>

namespace rr {

/// Table names and encodings of a platform.
struct PlatformCodec {
  std::string BackendTable;
  std::string OrderTable;
  /// Decodes the row of a backend server. Errc::Malformed if the row does not
  /// describe a usable server.
  std::function<Outcome<BackendRecord>(const TableRow &Row)> DecodeBackend;
  /// Errc::Malformed for a row that cannot be decoded. A deleted row still
  /// identifies the zone of its evacuation.
  std::function<Outcome<OperatorOrder>(const TableRow &Row)> DecodeOrder;
  /// Encodes the row that reports the progress of a move to the operator.
  std::function<TableWrite(const VersionMove &Move)> EncodeMoveStatus;
  /// Errc::NotFound if \p Request is not a look-up, Errc::Malformed if required
  /// parameters are missing.
  std::function<Outcome<LookupQuery>(const HttpMessage &Request)> DecodeLookup;
  std::function<HttpMessage(const std::vector<std::string> &Addresses,
                            Clock::duration Lifetime)>
      EncodeLookup;
  std::function<bool(const HttpMessage &Request)> IsReadinessCall;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_PLATFORMCODEC_H
