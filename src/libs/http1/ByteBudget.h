#ifndef REDWINGRACK_HTTP1_BYTEBUDGET_H
#define REDWINGRACK_HTTP1_BYTEBUDGET_H

#include <cstddef>
#include <memory>

namespace rr {

/// Bytes that the bodies of all messages of a process may hold together.
class ByteBudget : public std::enable_shared_from_this<ByteBudget> {
public:
  /// Gives its bytes back when the last copy of a message is gone.
  class Lease {
  public:
    explicit Lease(std::shared_ptr<ByteBudget> Source)
        : Source(std::move(Source)) {}
    ~Lease() { this->Source->Used -= this->Taken; }
    Lease(const Lease &) = delete;
    Lease &operator=(const Lease &) = delete;

    /// Takes \p Bytes or nothing.
    bool tryTake(std::size_t Bytes) {
      if (Bytes > this->Source->Most - this->Source->Used)
        return false;
      this->Source->Used += Bytes;
      this->Taken += Bytes;
      return true;
    }

  private:
    std::shared_ptr<ByteBudget> Source;
    std::size_t Taken = 0;
  };

  explicit ByteBudget(std::size_t Most) : Most(Most) {}

  std::size_t most() const { return this->Most; }
  std::size_t used() const { return this->Used; }

private:
  std::size_t Most;
  std::size_t Used = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_BYTEBUDGET_H
