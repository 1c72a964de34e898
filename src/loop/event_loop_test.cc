#include "loop/event_loop.h"

#include <signal.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace gentianlb::loop {
namespace {

struct SocketPair {
  SocketPair() {
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  }
  ~SocketPair() {
    close(ends[0]);
    close(ends[1]);
  }
  int ends[2] = {-1, -1};
};

BOOST_AUTO_TEST_CASE(CallsBackWhenBytesArrive) {
  EventLoop loop;
  SocketPair pair;
  std::string received;
  loop.Watch(pair.ends[0], EPOLLIN, [&](std::uint32_t) {
    char byte = 0;
    BOOST_REQUIRE(read(pair.ends[0], &byte, 1) == 1);
    received += byte;
    if (received.size() == 2) loop.Stop();
  });
  BOOST_REQUIRE(write(pair.ends[1], "ab", 2) == 2);
  loop.Run();
  BOOST_TEST(received == "ab");
}

// Two sockets are ready in the same round, and the callback of the first closes
// the second. If the second callback ran, it would use a closed connection, or
// another one that has got the same descriptor.
BOOST_AUTO_TEST_CASE(SocketUnwatchedInTheSameRoundIsNotCalled) {
  EventLoop loop;
  SocketPair first;
  SocketPair second;
  int calls = 0;
  auto call = [&](int other) {
    ++calls;
    loop.Unwatch(other);
    loop.Stop();
  };
  loop.Watch(first.ends[0], EPOLLIN,
             [&](std::uint32_t) { call(second.ends[0]); });
  loop.Watch(second.ends[0], EPOLLIN,
             [&](std::uint32_t) { call(first.ends[0]); });
  BOOST_REQUIRE(write(first.ends[1], "a", 1) == 1);
  BOOST_REQUIRE(write(second.ends[1], "a", 1) == 1);
  loop.Run();
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(SignalsArriveOnTheLoop) {
  EventLoop loop;
  int received = 0;
  loop.SetSignalCallback({SIGUSR1}, [&](int signal) {
    received = signal;
    loop.Stop();
  });
  loop.Defer([] { raise(SIGUSR1); });
  loop.Run();
  BOOST_TEST(received == SIGUSR1);
}

BOOST_AUTO_TEST_CASE(TimersAndDeferredClosuresRun) {
  EventLoop loop;
  std::string order;
  loop.timers().At(loop.now(), [&](absl::Time) {
    order += "timer ";
    loop.Defer([&] {
      order += "deferred";
      loop.Stop();
    });
  });
  loop.Run();
  BOOST_TEST(order == "timer deferred");
}

// A deferred closure stops the loop while a socket has bytes to read. If the
// loop waited once more, it would call the socket's owner, which may be
// destroyed by then; without any bytes, the process would end up to a minute
// late.
BOOST_AUTO_TEST_CASE(DeferredStopEndsTheLoopWithoutWaiting) {
  EventLoop loop;
  SocketPair pair;
  int calls = 0;
  loop.Watch(pair.ends[0], EPOLLIN, [&](std::uint32_t) { ++calls; });
  BOOST_REQUIRE(write(pair.ends[1], "a", 1) == 1);
  loop.Defer([&] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(calls == 0);
}

}  // namespace
}  // namespace gentianlb::loop
