#ifndef REDWINGRACK_HTTP1_BYTEBUDGET_H
#define REDWINGRACK_HTTP1_BYTEBUDGET_H

#include <cstddef>
#include <memory>

namespace rr {

/// Memory limit, in bytes, shared by all messages of a process: bodies, headers
/// and input that waits to be parsed.
class ByteBudget : public std::enable_shared_from_this<ByteBudget> {
public:
  /// Part of the budget that one body occupies. Returned on destruction, which
  /// happens when the last copy of the message is destroyed.
  class Reservation {
  public:
    explicit Reservation(std::shared_ptr<ByteBudget> Budget)
        : Budget(std::move(Budget)) {}
    ~Reservation() { this->Budget->UsedBytes -= this->ReservedBytes; }
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;

    /// Adds \p Bytes to the reservation. Returns false, and reserves nothing,
    /// when the budget would have fewer than \p KeepFree bytes left.
    bool tryReserve(std::size_t Bytes, std::size_t KeepFree = 0) {
      const std::size_t Free = this->Budget->Capacity - this->Budget->UsedBytes;
      if (Bytes > Free || Free - Bytes < KeepFree)
        return false;
      this->Budget->UsedBytes += Bytes;
      this->ReservedBytes += Bytes;
      return true;
    }

    std::size_t bytes() const { return this->ReservedBytes; }

    /// Changes the reservation to \p Bytes. Growing fails like tryReserve().
    bool tryResize(std::size_t Bytes, std::size_t KeepFree = 0) {
      if (Bytes > this->ReservedBytes)
        return this->tryReserve(Bytes - this->ReservedBytes, KeepFree);
      this->Budget->UsedBytes -= this->ReservedBytes - Bytes;
      this->ReservedBytes = Bytes;
      return true;
    }

  private:
    std::shared_ptr<ByteBudget> Budget;
    std::size_t ReservedBytes = 0;
  };

  explicit ByteBudget(std::size_t Capacity) : Capacity(Capacity) {}

  std::size_t capacity() const { return this->Capacity; }
  std::size_t usedBytes() const { return this->UsedBytes; }
  /// Part that bodies and waiting input leave free, so that small requests are
  /// served while large ones have used up the rest.
  std::size_t headerReserve() const { return this->Capacity / 8; }

private:
  std::size_t Capacity;
  std::size_t UsedBytes = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_BYTEBUDGET_H
