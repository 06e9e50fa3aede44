#ifndef REDWINGRACK_MEMBERSHIP_CONTROLVERSIONS_H
#define REDWINGRACK_MEMBERSHIP_CONTROLVERSIONS_H

#include <algorithm>
#include <cstdint>

namespace rr {

/// Versions of the parts of the control state.
struct ControlVersions {
  std::uint64_t Config = 0;
  std::uint64_t Keys = 0;
  std::uint64_t ShareEpoch = 0;

  bool operator==(const ControlVersions &) const = default;

  /// Whether every part is at least as new as in \p Other.
  bool covers(const ControlVersions &Other) const {
    return this->Config >= Other.Config && this->Keys >= Other.Keys &&
           this->ShareEpoch >= Other.ShareEpoch;
  }
};

inline ControlVersions maximumOf(const ControlVersions &Left,
                                 const ControlVersions &Right) {
  return {std::max(Left.Config, Right.Config), std::max(Left.Keys, Right.Keys),
          std::max(Left.ShareEpoch, Right.ShareEpoch)};
}

inline ControlVersions minimumOf(const ControlVersions &Left,
                                 const ControlVersions &Right) {
  return {std::min(Left.Config, Right.Config), std::min(Left.Keys, Right.Keys),
          std::min(Left.ShareEpoch, Right.ShareEpoch)};
}

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_CONTROLVERSIONS_H
