#include "gateway/RestoredServer.h"

#include "gateway/RestoredRows.h"

namespace rr {

RestoredServer compareRestored(const TableRow &Row, const BackendRecord &Record,
                               const BackendRecord *Known,
                               const RemovedServer *Removed) {
  if (Known) {
    if (Record.StartTimeMs > Known->StartTimeMs)
      return RestoredServer::Current;
    if (Record.StartTimeMs < Known->StartTimeMs ||
        Record.Address != Known->Address || Record.Service != Known->Service ||
        Record.Version != Known->Version)
      return RestoredServer::EarlierRun;
    return Known->Draining && !Record.Draining ? RestoredServer::Drains
                                               : RestoredServer::Current;
  }
  if (!Removed || Record.StartTimeMs > Removed->StartTimeMs ||
      wasWrittenAfter(Row, Removed->RemovedBy))
    return RestoredServer::Current;
  return RestoredServer::Gone;
}

std::string knownText(RestoredServer Relation) {
  switch (Relation) {
  case RestoredServer::Current:
    return "current";
  case RestoredServer::Drains:
    return "draining";
  case RestoredServer::EarlierRun:
    return "later_run";
  case RestoredServer::Gone:
    return "gone";
  }
  return "";
}

} // namespace rr
