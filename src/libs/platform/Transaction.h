#ifndef REDWINGRACK_PLATFORM_TRANSACTION_H
#define REDWINGRACK_PLATFORM_TRANSACTION_H

#include "platform/RowWrite.h"

#include <vector>

namespace rr {

/// Writes that take effect atomically.
struct Transaction {
  std::vector<RowWrite> Writes;
};

} // namespace rr

#endif // REDWINGRACK_PLATFORM_TRANSACTION_H
