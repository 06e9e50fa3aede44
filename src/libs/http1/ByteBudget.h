#ifndef REDWINGRACK_HTTP1_BYTEBUDGET_H
#define REDWINGRACK_HTTP1_BYTEBUDGET_H

#include <cstddef>
#include <memory>

namespace rr {

/// Memory limit, in bytes, shared by the bodies of all messages of a process.
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
    /// when the budget has fewer bytes left.
    bool tryReserve(std::size_t Bytes) {
      if (Bytes > this->Budget->Capacity - this->Budget->UsedBytes)
        return false;
      this->Budget->UsedBytes += Bytes;
      this->ReservedBytes += Bytes;
      return true;
    }

  private:
    std::shared_ptr<ByteBudget> Budget;
    std::size_t ReservedBytes = 0;
  };

  explicit ByteBudget(std::size_t Capacity) : Capacity(Capacity) {}

  std::size_t capacity() const { return this->Capacity; }
  std::size_t usedBytes() const { return this->UsedBytes; }

private:
  std::size_t Capacity;
  std::size_t UsedBytes = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_BYTEBUDGET_H
