#ifndef REDWINGRACK_INSTANCE_FLEETOBSERVER_H
#define REDWINGRACK_INSTANCE_FLEETOBSERVER_H

#include "history/History.h"
#include "history/InstanceState.h"
#include "httpserver/HttpResponse.h"
#include "httpserver/HttpServerRequest.h"
#include "model/FleetConfig.h"

#include <map>
#include <string>

namespace rr {

/// Records what callers, backend servers and operators of an InstanceFleet
/// see, for the history checker.
class FleetObserver {
public:
  FleetObserver();

  /// \p Sending is unique; \p RequestId is what the server sees, which repeats
  /// when a caller sends a request again.
  void callerSent(const std::string &Sending, const std::string &RequestId,
                  const HttpServerRequest &Request,
                  const std::string &Instance);
  void callerAnswered(const std::string &Sending, const HttpResponse &Response);
  void serverBegan(const BackendServer &Server, const std::string &RequestId,
                   const std::string &Workspace, bool KeySeen,
                   unsigned Outstanding);
  void serverEnded(const std::string &Server, const std::string &RequestId,
                   unsigned Outstanding);
  void instance(const std::string &Name, history::InstanceState State);
  void configAccepted(std::uint64_t Version);
  void configObserved(const std::string &Instance, std::uint64_t Version,
                      bool Serving);
  void keyIssued(const std::string &KeyId, const std::string &Workspace);
  void keyWithdrawn(const std::string &KeyId);
  void drain(const std::string &Server);
  void limits(const Workspace &Item);

  history::History Recorded;

private:
  struct Request {
    std::string Sending;
    std::string EntryRegion;
  };

  const FleetConfig Config;
  /// Latest sending of each request.
  std::map<std::string, Request> Latest;
  /// Request of each sending.
  std::map<std::string, std::string> RequestOf;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_FLEETOBSERVER_H
