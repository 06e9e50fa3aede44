#ifndef REDWINGRACK_INSTANCE_DISPATCHJOB_H
#define REDWINGRACK_INSTANCE_DISPATCHJOB_H

#include "forwarding/DispatchRequest.h"
#include "routing/RouteRequest.h"

namespace rr {

/// A request on its way through this instance.
struct DispatchJob {
  DispatchRequest Request;
  /// Chosen by the entry instance; empty at entry.
  std::string Version;
  bool Forwarded = false;
  bool Spilled = false;
  /// The single run of a suspect request belongs to this job.
  bool HoldsTrial = false;
  RouteRequest Route;

  void prepareRoute() {
    this->Route.Workspace = this->Request.Workspace;
    this->Route.Service = this->Request.Service;
    this->Route.Version = this->Version;
    this->Route.Bytes = static_cast<double>(this->Request.Body.size() +
                                            this->Request.Target.size());
    this->Route.Deadline = this->Request.Deadline;
    this->Route.MayRetry = this->Request.MayRetry;
    this->Route.Forwarded = this->Forwarded;
    this->Route.Spilled = this->Spilled;
  }
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_DISPATCHJOB_H
