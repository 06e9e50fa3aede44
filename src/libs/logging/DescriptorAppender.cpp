#include "logging/DescriptorAppender.h"

#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <string>

namespace rr {

namespace {

/// A pipe that poll() reports as writable accepts this many bytes without
/// blocking.
constexpr std::size_t MaxLineBytes = PIPE_BUF;

void writeLine(int Descriptor, std::string Line) {
  if (Line.size() > MaxLineBytes) {
    Line.resize(MaxLineBytes - 1);
    Line += '\n';
  }
  // Errors are ignored: the process keeps running when its log reader has
  // exited, and there is no other place to report this.
  [[maybe_unused]] const auto Written =
      ::write(Descriptor, Line.data(), Line.size());
}

} // namespace

DescriptorAppender::~DescriptorAppender() { this->destructorImpl(); }

bool DescriptorAppender::isWritable() const {
  pollfd Watched{this->Descriptor, POLLOUT, 0};
  return ::poll(&Watched, 1, 0) == 1 && (Watched.revents & POLLOUT) != 0;
}

void DescriptorAppender::append(
    const log4cplus::spi::InternalLoggingEvent &Event) {
  if (!this->isWritable()) {
    ++this->DroppedLines;
    return;
  }
  if (this->DroppedLines > 0) {
    writeLine(this->Descriptor,
              "log lines dropped because the reader was too slow: " +
                  std::to_string(this->DroppedLines) + "\n");
    this->DroppedLines = 0;
    if (!this->isWritable()) {
      ++this->DroppedLines;
      return;
    }
  }
  writeLine(this->Descriptor, this->formatEvent(Event));
}

} // namespace rr
