#ifndef REDWINGRACK_GATEWAY_STANDBYBED_H
#define REDWINGRACK_GATEWAY_STANDBYBED_H

#include "gateway/MemberCodec.h"
#include "gateway/TwoServerBed.h"

#include <string>

namespace rr {

/// A small instance beside two large ones of its zone, which makes it a
/// standby. The large ones are unreachable unless the test listens at their
/// address.
struct StandbyBed : TwoServerBed {
  explicit StandbyBed(std::size_t Descriptors = 0)
      : TwoServerBed(0.1, Descriptors) {
    this->putLarge();
    this->start();
    for (int Second = 0; Second < 6; ++Second) {
      this->advance(std::chrono::seconds(1));
      this->putLarge();
    }
  }

  void putLarge() {
    for (const char *Name : {"large1", "large2"}) {
      MemberRecord Large;
      Large.Name = Name;
      Large.Zone = "z-a";
      Large.Region = "z";
      Large.Address = this->LargeAddress;
      Large.Capacity = 0.5;
      Large.WrittenAt = Clock::now().time_since_epoch();
      this->Tables.put("redwingrack", std::string("instance/") + Name,
                       encodeMember(Large));
    }
  }

  /// Uses \p Server as both large instances, and waits until the standby has
  /// read their address.
  void putLargeAt(HttpServer &Server) {
    if (!Server.listen("127.0.0.1:0"))
      std::abort();
    this->LargeAddress = "127.0.0.1:" + std::to_string(Server.port());
    for (int Second = 0; Second < 10; ++Second) {
      this->putLarge();
      this->advance(std::chrono::seconds(1));
    }
  }

  std::string LargeAddress = "127.0.0.1:1";
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STANDBYBED_H
