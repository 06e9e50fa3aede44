#ifndef REDWINGRACK_ADMIN_OPERATORROLE_H
#define REDWINGRACK_ADMIN_OPERATORROLE_H

namespace rr {

/// What a token allows.
enum class OperatorRole { None, Read, Operate };

} // namespace rr

#endif // REDWINGRACK_ADMIN_OPERATORROLE_H
