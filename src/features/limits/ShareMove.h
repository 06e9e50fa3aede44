#ifndef REDWINGRACK_LIMITS_SHAREMOVE_H
#define REDWINGRACK_LIMITS_SHAREMOVE_H

#include "limits/BorrowRequest.h"
#include "limits/ShareGrant.h"
#include "limits/ShareRelease.h"

#include <variant>

namespace rr {

/// Payload of the message `shareMove`.
using ShareMove = std::variant<ShareRelease, ShareGrant, BorrowRequest>;

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREMOVE_H
