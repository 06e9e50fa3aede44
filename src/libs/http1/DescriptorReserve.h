#ifndef REDWINGRACK_HTTP1_DESCRIPTORRESERVE_H
#define REDWINGRACK_HTTP1_DESCRIPTORRESERVE_H

namespace rr {

/// One file descriptor that is kept so that a pending connection can be
/// accepted, and closed, when the process has no other descriptor left.
class DescriptorReserve {
public:
  DescriptorReserve();
  ~DescriptorReserve();
  DescriptorReserve(const DescriptorReserve &) = delete;
  DescriptorReserve &operator=(const DescriptorReserve &) = delete;

  /// Closes the next pending connection of the listening socket \p Listener.
  /// Returns false if there is none or the reserve is empty.
  bool dropPending(int Listener);

private:
  void refill();

  int Descriptor = -1;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_DESCRIPTORRESERVE_H
