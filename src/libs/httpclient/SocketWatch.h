#ifndef REDWINGRACK_HTTPCLIENT_SOCKETWATCH_H
#define REDWINGRACK_HTTPCLIENT_SOCKETWATCH_H

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>

namespace rr {

/// Waits on the event loop until a socket of libcurl is ready for reading or
/// writing.
class SocketWatch : public std::enable_shared_from_this<SocketWatch> {
public:
  /// \p OnReady receives the ready events as CURL_CSELECT_ bits.
  SocketWatch(asio::io_context &Context, int Socket,
              std::function<void(int)> OnReady);

  /// Sets the events to wait for.
  void setInterest(bool Read, bool Write);
  /// Stops waiting and releases the socket without closing it.
  void stop();

private:
  using WaitType = asio::posix::stream_descriptor::wait_type;

  void waitFor(WaitType Type, bool &Wanted, bool &Waiting, int ReadyBits);

  asio::posix::stream_descriptor Descriptor;
  std::function<void(int)> OnReady;
  bool ReadWanted = false;
  bool WriteWanted = false;
  bool ReadWaiting = false;
  bool WriteWaiting = false;
  bool Stopped = false;
};

} // namespace rr

#endif // REDWINGRACK_HTTPCLIENT_SOCKETWATCH_H
