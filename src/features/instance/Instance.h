#ifndef REDWINGRACK_INSTANCE_INSTANCE_H
#define REDWINGRACK_INSTANCE_INSTANCE_H

#include "settings/Settings.h"

#include <asio/io_context.hpp>
#include <memory>

namespace rr {

/// One running instance with its listeners.
class Instance {
public:
  /// Opens the listeners. Throws std::exception when an address cannot be
  /// used.
  Instance(asio::io_context &Context, Settings Options);
  ~Instance();
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  void start();
  /// Leaves the fleet without cutting a request; the context then runs out of
  /// work.
  void beginStop();

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_INSTANCE_H
