#include "httpclient/SocketWatch.h"

#include <curl/curl.h>
#include <utility>

namespace rr {

SocketWatch::SocketWatch(asio::io_context &Context, int Socket,
                         std::function<void(int)> OnReady)
    : Descriptor(Context, Socket), OnReady(std::move(OnReady)) {}

void SocketWatch::setInterest(bool Read, bool Write) {
  this->ReadWanted = Read;
  this->WriteWanted = Write;
  this->waitFor(WaitType::wait_read, this->ReadWanted, this->ReadWaiting,
                CURL_CSELECT_IN);
  this->waitFor(WaitType::wait_write, this->WriteWanted, this->WriteWaiting,
                CURL_CSELECT_OUT);
}

void SocketWatch::stop() {
  this->Stopped = true;
  this->Descriptor.cancel();
  this->Descriptor.release();
}

void SocketWatch::waitFor(WaitType Type, bool &Wanted, bool &Waiting,
                          int ReadyBits) {
  if (!Wanted || Waiting || this->Stopped)
    return;
  Waiting = true;
  auto OnWaited = [Self = this->shared_from_this(), Type, &Wanted, &Waiting,
                   ReadyBits](const asio::error_code &Error) {
    Waiting = false;
    if (Self->Stopped || Error == asio::error::operation_aborted)
      return;
    if (Wanted)
      Self->OnReady(Error ? CURL_CSELECT_ERR : ReadyBits);
    Self->waitFor(Type, Wanted, Waiting, ReadyBits);
  };
  this->Descriptor.async_wait(Type, std::move(OnWaited));
}

} // namespace rr
