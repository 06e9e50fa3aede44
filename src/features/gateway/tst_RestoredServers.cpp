#include "gateway/RestoreBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

// Guards against requests to a server that leaves, because the store came back
// from a copy in which the server was ready.
TEST_CASE("A server that is known to drain gets no request when the store "
          "comes back from a copy in which it was ready",
          "[restore]") {
  RestoreBed B;
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.takeCopy();
  B.putServer("b1", "draining", 1);
  B.advance(3s);
  REQUIRE(B.sentTo("b1", 1s) == 0);
  B.restore();
  CHECK(B.sentTo("b1", 8s) == 0);
  CHECK_FALSE(B.isInUse("b1"));
}

TEST_CASE("A server that drained is used when it starts again under its id "
          "after the store came back from a copy",
          "[restore]") {
  RestoreBed B;
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.takeCopy();
  B.putServer("b1", "draining", 1);
  B.advance(3s);
  B.restore();
  B.advance(1s);
  B.putServer("b1", "ready", 2);
  B.advance(2s);
  CHECK(B.isInUse("b1"));
}

// Guards against requests to a server that has ended.
TEST_CASE("A server that is known to be gone gets no request when the store "
          "comes back from a copy that has its row",
          "[restore]") {
  RestoreBed B;
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.takeCopy();
  B.Tables.erase("backends", "b1");
  B.advance(3s);
  REQUIRE(B.sentTo("b1", 1s) == 0);
  B.restore();
  CHECK(B.sentTo("b1", 4s) == 0);
  CHECK_FALSE(B.isInUse("b1"));
  // The store removes the entry of a silent server.
  B.Tables.erase("backends", "b1");
  CHECK(B.sentTo("b1", 8s) == 0);
}

// Guards against a server that is never used again because it was gone once.
TEST_CASE("A server that was gone is used as soon as it writes its row after "
          "the store came back from a copy",
          "[restore]") {
  RestoreBed B;
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.takeCopy();
  B.Tables.erase("backends", "b1");
  B.advance(3s);
  B.restore();
  B.advance(1s);
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  CHECK(B.isInUse("b1"));
}

TEST_CASE("A server that was gone is used if the store, which removes the rows "
          "of silent servers, still has its row after a while",
          "[restore]") {
  RestoreBed B;
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.takeCopy();
  B.Tables.erase("backends", "b1");
  B.advance(3s);
  B.restore();
  B.advance(9s);
  CHECK(B.isInUse("b1"));
}

// Guards against a server that returned before the copy was taken, while the
// instance could not read the table, and is held for gone.
TEST_CASE("A row that was certainly written after the server was removed is "
          "applied at once",
          "[restore]") {
  RestoreBed B;
  B.Tables.erase("backends", "b1");
  B.advance(2s);
  B.Tables.Down = true;
  B.putServer("b1", "ready", 1);
  B.takeCopy();
  B.restore();
  B.advance(1s);
  CHECK(B.isInUse("b1"));
}

TEST_CASE("The row of an earlier run does not replace a later run of the "
          "server",
          "[restore]") {
  RestoreBed B;
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.takeCopy();
  B.putServer("b1", "ready", 2);
  B.advance(2s);
  B.restore();
  B.advance(1s);
  CHECK(B.Instance->state().Backends.find("b1")->Record.StartTimeMs == 2);
}

// Guards against requests to a server that drains, if the instance knows it
// only from the copy.
TEST_CASE("A server that drains in the copy, and was ready when it was read "
          "last, is not used",
          "[restore]") {
  RestoreBed B;
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.Tables.Down = true;
  B.putServer("b1", "draining", 1);
  B.takeCopy();
  B.restore();
  B.advance(1s);
  CHECK_FALSE(B.isInUse("b1"));
}

// Guards against fewer servers than there are, right after a restore.
TEST_CASE("A server whose row is missing in the copy is used until its row is "
          "back",
          "[restore]") {
  RestoreBed B;
  B.Tables.erase("backends", "b2");
  B.Tables.erase("backends", "b1");
  B.takeCopy();
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.restore();
  B.advance(300ms);
  CHECK(B.sentTo("b1", 1s) == 12);
  B.advance(500ms);
  B.putServer("b1", "ready", 1);
  CHECK(B.sentTo("b1", 6s) == 12);
}

TEST_CASE("A server whose row was missing in the copy and is not written again "
          "is gone",
          "[restore]") {
  RestoreBed B;
  B.Tables.erase("backends", "b1");
  B.takeCopy();
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.restore();
  B.advance(1s);
  CHECK(B.Instance->state().Backends.find("b1"));
  B.advance(3s);
  CHECK_FALSE(B.Instance->state().Backends.find("b1"));
}

TEST_CASE("A server whose row was missing in the copy is gone at once when its "
          "row is removed",
          "[restore]") {
  RestoreBed B;
  B.Tables.erase("backends", "b1");
  B.takeCopy();
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.restore();
  B.advance(500ms);
  B.putServer("b1", "ready", 1);
  B.Tables.erase("backends", "b1");
  B.advance(1200ms);
  CHECK_FALSE(B.Instance->state().Backends.find("b1"));
}

TEST_CASE("What is known of servers outlasts two restores in a row",
          "[restore]") {
  RestoreBed B;
  B.Tables.erase("backends", "b2");
  B.putServer("b1", "ready", 1);
  B.addBackend("gone");
  B.advance(2s);
  B.takeCopy();
  B.putServer("b1", "draining", 1);
  B.Tables.erase("backends", "gone");
  B.putServer("b2", "ready", 1);
  B.advance(3s);
  B.restore();
  B.advance(1500ms);
  // The servers have written again what was lost.
  B.putServer("b1", "draining", 1);
  B.putServer("b2", "ready", 1);
  B.Tables.erase("backends", "gone");
  B.advance(1500ms);
  B.restore();
  B.advance(100ms);
  CHECK(B.sentTo("b2", 1500ms) == 12);
  B.putServer("b1", "draining", 1);
  B.putServer("b2", "ready", 1);
  B.Tables.erase("backends", "gone");
  CHECK(B.sentTo("b2", 8s) == 12);
}

TEST_CASE("What is known of servers outlasts a second restore before they have "
          "written again",
          "[restore]") {
  RestoreBed B;
  B.Tables.erase("backends", "b2");
  B.putServer("b1", "ready", 1);
  B.addBackend("gone");
  B.advance(2s);
  B.takeCopy();
  B.putServer("b1", "draining", 1);
  B.Tables.erase("backends", "gone");
  B.putServer("b2", "ready", 1);
  B.advance(3s);
  B.restore();
  B.advance(1500ms);
  B.restore();
  B.advance(100ms);
  CHECK(B.sentTo("b2", 1500ms) == 12);
}

// Guards against a server that comes back into use seconds after its removal
// was written again, since that removal was read as a missing row.
TEST_CASE("A removed server whose removal is lost with the history after a "
          "restore stays unused",
          "[restore]") {
  RestoreBed B;
  B.putServer("b1", "ready", 1);
  B.advance(2s);
  B.takeCopy();
  B.Tables.erase("backends", "b1");
  B.advance(3s);
  B.restore();
  B.advance(1200ms);
  B.Tables.erase("backends", "b1");
  B.Tables.dropHistory();
  B.advance(RemovedServer::SilenceTime + 4s);
  CHECK_FALSE(B.isInUse("b1"));
}
