#ifndef REDWINGRACK_ROUTING_SHIFTMETER_H
#define REDWINGRACK_ROUTING_SHIFTMETER_H

#include <cstdint>

namespace rr {

/// Deficit counter that moves a fraction of a stream of requests. At every
/// moment since the last change of the fraction, the number of moved requests
/// is at most floor(fraction x seen).
class ShiftMeter {
public:
  ShiftMeter() = default;
  explicit ShiftMeter(double Fraction) { this->setFraction(Fraction); }

  /// Changes the fraction, clamped to 0 to 1, and drops the credit collected
  /// under the old one. The same fraction changes nothing.
  void setFraction(double Fraction);

  /// Counts a new request.
  void see();
  /// Whether a request may move now.
  bool mayMove() const;
  /// Notes a move. Requires mayMove().
  void move();

private:
  // Fixed point, because sums of rounded fractions could exceed the cap.
  std::uint64_t PerRequest = 0;
  std::uint64_t Credit = 0;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SHIFTMETER_H
