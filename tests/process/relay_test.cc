#include "process/relay.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "http/client.h"
#include "process/callers.h"
#include "process/process.h"

namespace gentianlb::process {
namespace {

struct Echo {
  Echo() {
    auto started = http::Server::Start({}, [](http::Request, auto answer) {
      answer->Respond(200, {}, std::string(100'000, 'x'));
    });
    server = std::move(started.value());
    relay = std::make_unique<Relay>(absl::StrCat("127.0.0.1:", server->port()));
  }

  std::unique_ptr<http::Server> server;
  std::unique_ptr<Relay> relay;
  Caller caller{""};
};

BOOST_AUTO_TEST_CASE(PassesBytesBothWays) {
  Echo echo;
  Answer answer = echo.caller.Send(echo.relay->address(), "GET", "/").Wait();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body.size() == 100'000);
}

// A cut link shows itself as a broken connection, and heals.
BOOST_AUTO_TEST_CASE(CutsAndHeals) {
  Echo echo;
  echo.relay->Set(LinkState::kCut);
  Answer cut = echo.caller.Send(echo.relay->address(), "GET", "/").Wait();
  BOOST_TEST((cut.end != http::TransferEnd::kComplete));
  echo.relay->Set(LinkState::kOpen);
  Answer healed = echo.caller.Send(echo.relay->address(), "GET", "/").Wait();
  BOOST_TEST(healed.IsWhole());
}

// A stalled link loses nothing: what was sent arrives once it moves again.
BOOST_AUTO_TEST_CASE(StallsAndGoesOn) {
  Echo echo;
  echo.relay->Set(LinkState::kStalled);
  Call call = echo.caller.Send(echo.relay->address(), "GET", "/");
  absl::SleepFor(absl::Milliseconds(50));
  BOOST_TEST(!call.HasEnded());
  echo.relay->Set(LinkState::kOpen);
  BOOST_TEST(call.Wait().IsWhole());
}

// The kernel may pick a port again once its socket is closed. A program that is
// to listen twice there ends at once, and its test waits for it in vain.
BOOST_AUTO_TEST_CASE(PickedAddressesDiffer) {
  constexpr int kPicks = 2000;
  std::set<std::string> picked;
  for (int i = 0; i < kPicks; ++i) picked.insert(PickAddress());
  BOOST_TEST(picked.size() == kPicks);
}

}  // namespace
}  // namespace gentianlb::process
