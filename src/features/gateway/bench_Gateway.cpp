#include "gateway/InstanceTestBed.h"
#include "gateway/MemberCodec.h"

#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <vector>

using namespace rr;

namespace {

constexpr int RequestCount = 4000;

/// Sorted latencies, in microseconds, of requests sent one after the other on a
/// persistent connection.
std::vector<double> callMicroseconds(std::uint16_t Port) {
  asio::io_context Context;
  asio::ip::tcp::socket Socket(Context);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  Socket.set_option(asio::ip::tcp::no_delay(true));
  std::vector<double> Times;
  std::string Received;
  for (int Index = 0; Index < RequestCount; ++Index) {
    const std::string Id = std::to_string(Index + 100);
    const std::string Text = "GET /open/x HTTP/1.1\r\nHost: h\r\nId: " + Id +
                             "\r\nDeadline: 1500\r\nKey: key\r\n\r\n";
    const auto Start = std::chrono::steady_clock::now();
    asio::write(Socket, asio::buffer(Text));
    Received.clear();
    asio::read_until(Socket, asio::dynamic_buffer(Received), "whole body");
    Times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - Start)
                        .count());
  }
  std::sort(Times.begin(), Times.end());
  return Times;
}

double quantile(const std::vector<double> &Sorted, double Quantile) {
  return Sorted[std::size_t(Quantile * double(Sorted.size() - 1))];
}

void measureLatency() {
  InstanceTestBed Bed;
  InstanceTestBed::Backend &Server = Bed.addBackend("b1");
  Bed.configure(1, {"key"});
  if (!Bed.Instance->start())
    std::abort();
  Bed.advance(std::chrono::seconds(1));
  Clock::resume();
  const auto Work = asio::make_work_guard(Bed.Context);
  Bed.Context.restart();
  std::thread Loop([&Bed] { Bed.Context.run(); });
  for (int Round = 0; Round < 3; ++Round) {
    const auto Direct = callMicroseconds(Server.Server->port());
    const auto Forwarded = callMicroseconds(Bed.Instance->callerPort());
    std::printf("direct p50 %.0f us p99 %.0f us, forwarded p50 %.0f us p99 "
                "%.0f us, ratio %.1f and %.1f\n",
                quantile(Direct, 0.5), quantile(Direct, 0.99),
                quantile(Forwarded, 0.5), quantile(Forwarded, 0.99),
                quantile(Forwarded, 0.5) / quantile(Direct, 0.5),
                quantile(Forwarded, 0.99) / quantile(Direct, 0.99));
    Server.Requests.clear();
  }
  Bed.Context.stop();
  Loop.join();
  // The destructor of the test bed needs the paused clock.
  Clock::pause();
}

double heapKilobytes() { return double(mallinfo2().uordblks) / 1024; }

void measureMemory(int Servers, int Instances) {
  const double Before = heapKilobytes();
  InstanceTestBed Bed;
  Bed.configure(1, {"key"});
  if (!Bed.Instance->start())
    std::abort();
  Bed.advance(std::chrono::seconds(3));
  const double Empty = heapKilobytes();
  // The rows of the store are in the heap of this process too.
  const double RowsBefore = heapKilobytes();
  for (int Index = 0; Index < Servers; ++Index)
    Bed.Tables.put("backends", "i-" + std::to_string(1000000 + Index),
                   "10.0.64." + std::to_string(Index % 250) + ":8600 z-a " +
                       "ready " + std::string(300, ' '));
  const double RowsAfter = heapKilobytes();
  Bed.advance(std::chrono::seconds(3));
  const double WithServers = heapKilobytes();
  for (int Index = 0; Index < Instances; ++Index) {
    MemberRecord Record;
    Record.Name = "frontend-zone-" + std::to_string(Index);
    Record.Zone = "z-a";
    Record.Region = "z";
    Record.Address = "10.1.0.1:8000";
    Record.WrittenAt = Clock::now().time_since_epoch();
    for (int Workspace = 0; Workspace < Instances; ++Workspace)
      Record.Demand["workspace" + std::to_string(Workspace)] = 1.5;
    Bed.Tables.put("redwingrack", "instance/" + Record.Name,
                   encodeMember(Record));
  }
  const double MembersWritten = heapKilobytes();
  Bed.advance(std::chrono::seconds(3));
  const double WithMembers = heapKilobytes();
  std::printf("%d servers, %d instances: instance %.0f KB; entries %.0f KB "
              "(%.2f KB each, of rows of %.2f KB); records of instances %.0f "
              "KB (%.2f KB each)\n",
              Servers, Instances, Empty - Before, WithServers - RowsAfter,
              (WithServers - RowsAfter) / Servers,
              (RowsAfter - RowsBefore) / Servers, WithMembers - MembersWritten,
              (WithMembers - MembersWritten) / Instances);
}

} // namespace

int main() {
  measureLatency();
  measureMemory(46, 12);
  measureMemory(372, 84);
  return EXIT_SUCCESS;
}
