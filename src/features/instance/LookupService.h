#ifndef REDWINGRACK_INSTANCE_LOOKUPSERVICE_H
#define REDWINGRACK_INSTANCE_LOOKUPSERVICE_H

#include "base/Clock.h"
#include "lookup/ClientBlocks.h"
#include "lookup/EntryDirectory.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace rr {

struct HttpResponse;
struct InstanceState;

/// Answers which entry instances a client should use, from the copy held
/// here; also when this instance is cut off.
class LookupService {
public:
  LookupService(InstanceState &State, std::chrono::milliseconds MaxAge);

  /// Takes over the configuration and the state of the members. Cheap when
  /// neither has changed.
  void update(Clock::time_point Now);

  /// \p Client is an address, or a block whose first address counts.
  HttpResponse answer(const std::string &Client) const;

private:
  InstanceState &State;
  std::chrono::milliseconds MaxAge;
  std::uint64_t ConfigVersion = 0;
  std::unique_ptr<ClientBlocks> Blocks;
  std::unique_ptr<EntryDirectory> Directory;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_LOOKUPSERVICE_H
