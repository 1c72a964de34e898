#include "gateway/connection_reuse.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

ServerEntry MakeServer(const std::string& id, std::int64_t started = 1) {
  ServerEntry server;
  server.id = ServerId(id);
  server.address = {"server-" + id, 80};
  server.started = started;
  return server;
}

BOOST_AUTO_TEST_CASE(ReuseIsPausedForOneServerUntilItsTimeHasPassed) {
  ConnectionReuse reuse;
  BOOST_TEST(reuse.MayReuse(MakeServer("a"), start));
  BOOST_TEST(reuse.OnOtherAnswer(MakeServer("a"), start));
  const absl::Time end = start + ConnectionReuse::kPause;
  BOOST_TEST(!reuse.MayReuse(MakeServer("a"), start));
  BOOST_TEST(!reuse.MayReuse(MakeServer("a"), end - absl::Milliseconds(1)));
  BOOST_TEST(reuse.MayReuse(MakeServer("a"), end));
  BOOST_TEST(reuse.MayReuse(MakeServer("b"), start));
}

BOOST_AUTO_TEST_CASE(AnotherWrongAnswerProlongsThePause) {
  ConnectionReuse reuse;
  reuse.OnOtherAnswer(MakeServer("a"), start);
  const absl::Time later = start + ConnectionReuse::kPause / 2;
  BOOST_TEST(!reuse.OnOtherAnswer(MakeServer("a"), later));
  BOOST_TEST(!reuse.MayReuse(MakeServer("a"), start + ConnectionReuse::kPause));
  BOOST_TEST(reuse.OnOtherAnswer(MakeServer("a"), later + absl::Minutes(5)));
}

// Guards against a restarted server that is taken for its predecessor, and
// against a server that says no more when it started and is taken for new.
BOOST_AUTO_TEST_CASE(ARestartEndsThePause) {
  ConnectionReuse reuse;
  reuse.OnOtherAnswer(MakeServer("a", 1), start);
  BOOST_TEST(reuse.MayReuse(MakeServer("a", 2), start));
  BOOST_TEST(!reuse.MayReuse(MakeServer("a", 0), start));
  BOOST_TEST(reuse.OnOtherAnswer(MakeServer("a", 2), start));
  BOOST_TEST(!reuse.MayReuse(MakeServer("a", 2), start));
}

// Guards against memory that grows with the servers that come and go.
BOOST_AUTO_TEST_CASE(AFewServersAreRemembered) {
  ConnectionReuse reuse;
  const int servers = static_cast<int>(ConnectionReuse::kMaxServers) + 10;
  for (int i = 0; i < servers; ++i) {
    reuse.OnOtherAnswer(MakeServer(std::to_string(i)),
                        start + i * absl::Milliseconds(1));
  }
  BOOST_TEST(reuse.size() == ConnectionReuse::kMaxServers);
  const absl::Time now = start + absl::Seconds(2);
  BOOST_TEST(reuse.MayReuse(MakeServer("0"), now));
  BOOST_TEST(!reuse.MayReuse(MakeServer(std::to_string(servers - 1)), now));
  reuse.OnOtherAnswer(MakeServer("late"), now + ConnectionReuse::kPause);
  BOOST_TEST(reuse.size() == 1u);
}

// Guards against another wrong answer for each row that names the address of
// such a server, whose connections they share.
BOOST_AUTO_TEST_CASE(APauseHoldsForEachRowOfItsAddress) {
  ConnectionReuse reuse;
  ServerEntry gone = MakeServer("gone");
  ServerEntry next = MakeServer("next", /*started=*/2);
  gone.address = next.address = {"127.0.0.1", 8000};
  reuse.OnOtherAnswer(gone, start);
  BOOST_TEST(!reuse.MayReuse(next, start));
}

}  // namespace
}  // namespace gentianlb::gateway
