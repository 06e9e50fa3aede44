#include "logging/EventLog.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fcntl.h>
#include <unistd.h>

using namespace rr;

namespace {

std::string drain(int Descriptor) {
  std::string Text;
  char Buffer[65536];
  for (;;) {
    const ssize_t Length = ::read(Descriptor, Buffer, sizeof Buffer);
    if (Length <= 0)
      return Text;
    Text.append(Buffer, std::size_t(Length));
  }
}

} // namespace

// Guards against a process that blocks in logging because the reader of its log
// pipe has stopped reading or has exited.
TEST_CASE("Log lines are dropped, without blocking, while nobody reads the "
          "pipe",
          "[logging]") {
  int Pipe[2];
  REQUIRE(::pipe(Pipe) == 0);
  ::fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
  EventLogSettings Settings;
  Settings.Descriptor = Pipe[1];
  startEventLog(Settings);
  // Far more than a pipe buffers; a blocking write would never return.
  const std::string Padding(500, 'x');
  for (int Index = 0; Index < 1000; ++Index)
    logEvent(Event::InstanceStarted, {{"padding", Padding}});
  CHECK(drain(Pipe[0]).find("name=InstanceStarted") != std::string::npos);
  logEvent(Event::InstanceStopped);
  const std::string After = drain(Pipe[0]);
  CHECK(After.find("dropped because the reader was too slow: ") !=
        std::string::npos);
  CHECK(After.find("name=InstanceStopped") != std::string::npos);
  ::close(Pipe[0]);
  // The read end is closed; writing must not fail the process.
  ::signal(SIGPIPE, SIG_IGN);
  logEvent(Event::InstanceStopped);
  ::close(Pipe[1]);
}
