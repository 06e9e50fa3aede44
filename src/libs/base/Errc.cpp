#include "base/Errc.h"

#include <string>

namespace rr {

namespace {

class Category final : public std::error_category {
public:
  const char *name() const noexcept override { return "redwingrack"; }

  std::string message(int Value) const override {
    switch (static_cast<Errc>(Value)) {
    case Errc::Timeout:
      return "the operation did not finish in time";
    case Errc::Unavailable:
      return "the service is unavailable";
    case Errc::ConnectionRefused:
      return "the connection was refused";
    case Errc::ConnectionLost:
      return "the connection was lost";
    case Errc::Cancelled:
      return "the operation was cancelled";
    case Errc::Conflict:
      return "a concurrent change won";
    case Errc::NotFound:
      return "not found";
    case Errc::Malformed:
      return "malformed input";
    case Errc::TooLarge:
      return "the input is too large";
    case Errc::Unauthorized:
      return "not authorized";
    case Errc::Stale:
      return "the view is not known to be current";
    case Errc::LimitReached:
      return "a limit is reached";
    case Errc::Unknown:
      return "the outcome is unknown";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category &errorCategory() noexcept {
  static const Category Instance;
  return Instance;
}

std::error_code make_error_code(Errc Value) noexcept {
  return {static_cast<int>(Value), errorCategory()};
}

} // namespace rr
