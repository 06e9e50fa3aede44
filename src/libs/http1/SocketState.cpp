#include "http1/SocketState.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace rr {

bool hasUnreadInput(asio::ip::tcp::socket &Socket) {
  char Byte = 0;
  return Socket.is_open() &&
         ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

std::optional<Clock::duration>
timeSincePeerLeft(asio::ip::tcp::socket &Socket) {
  if (!Socket.is_open())
    return Clock::duration::zero();
  pollfd Item{Socket.native_handle(), POLLRDHUP, 0};
  if (::poll(&Item, 1, 0) <= 0)
    return std::nullopt;
  // The last acknowledgement came with the end of the stream. After a reset the
  // kernel does not know when it came.
  tcp_info Info{};
  socklen_t Length = sizeof Info;
  if (::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Length) != 0 ||
      Info.tcpi_state != TCP_CLOSE_WAIT)
    return Clock::duration::zero();
  return std::chrono::milliseconds(Info.tcpi_last_ack_recv);
}

bool isReadable(int Descriptor) {
  pollfd Item{Descriptor, POLLIN, 0};
  return ::poll(&Item, 1, 0) > 0;
}

} // namespace rr
