#ifndef REDWINGRACK_HTTPSERVER_REASONPHRASE_H
#define REDWINGRACK_HTTPSERVER_REASONPHRASE_H

#include <string>

namespace rr {

/// Reason phrase of an HTTP status code; "Status" for unknown codes.
std::string reasonPhrase(int Status);

} // namespace rr

#endif // REDWINGRACK_HTTPSERVER_REASONPHRASE_H
