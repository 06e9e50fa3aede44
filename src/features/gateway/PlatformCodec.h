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

/// How a platform names and writes what the product reads and writes there.
struct PlatformCodec {
  std::string BackendTable;
  std::string OrderTable;
  /// Decodes the entry of a backend server. Errc::Malformed when it names
  /// none that can be used.
  std::function<Outcome<BackendRecord>(const TableRow &Row)> DecodeBackend;
  /// Errc::Malformed for a row that cannot be read. A deleted row still tells
  /// the zone of its evacuation.
  std::function<Outcome<OperatorOrder>(const TableRow &Row)> DecodeOrder;
  /// The row that tells the operator how far a move has come.
  std::function<TableWrite(const VersionMove &Move)> EncodeMoveStatus;
  /// Errc::NotFound for other calls, Errc::Malformed for a query without
  /// what is needed.
  std::function<Outcome<LookupQuery>(const HttpMessage &Request)> DecodeLookup;
  std::function<HttpMessage(const std::vector<std::string> &Addresses,
                            Clock::duration Lifetime)>
      EncodeLookup;
  std::function<bool(const HttpMessage &Request)> IsReadinessCall;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_PLATFORMCODEC_H
