#ifndef REDWINGRACK_LOGGING_DESCRIPTORAPPENDER_H
#define REDWINGRACK_LOGGING_DESCRIPTORAPPENDER_H

#include <log4cplus/appender.h>

#include <cstdint>

namespace rr {

/// Writes log lines to a file descriptor without blocking. Lines are dropped
/// while a pipe is full; their number is logged as soon as it is writable
/// again.
class DescriptorAppender : public log4cplus::Appender {
public:
  explicit DescriptorAppender(int Descriptor) : Descriptor(Descriptor) {}
  ~DescriptorAppender() override;

  void close() override { this->closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  bool isWritable() const;

  int Descriptor;
  std::uint64_t DroppedLines = 0;
};

} // namespace rr

#endif // REDWINGRACK_LOGGING_DESCRIPTORAPPENDER_H
