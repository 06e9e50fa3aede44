#include "http1/DescriptorReserve.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace rr {

DescriptorReserve::DescriptorReserve() { this->refill(); }

DescriptorReserve::~DescriptorReserve() {
  if (this->Descriptor >= 0)
    ::close(this->Descriptor);
}

void DescriptorReserve::refill() {
  if (this->Descriptor < 0)
    this->Descriptor = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
}

bool DescriptorReserve::dropPending(int Listener) {
  this->refill();
  if (this->Descriptor < 0)
    return false;
  ::close(std::exchange(this->Descriptor, -1));
  const int Accepted = ::accept(Listener, nullptr, nullptr);
  if (Accepted >= 0)
    ::close(Accepted);
  this->refill();
  return Accepted >= 0;
}

} // namespace rr
