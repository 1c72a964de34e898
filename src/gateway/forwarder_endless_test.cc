// Answers without end, and callers that read more slowly than servers write.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway/fake_site_test.h"

namespace gentianlb::gateway {
namespace {

constexpr char kEvent[] = "id: 1\ndata: a\n\n";
constexpr std::size_t kMebibyte = 1 << 20;

class Fixture : public FakeSite {
 public:
  Fixture() { Configure(); }

  // A server sends bytes of one block after the other, while the host takes
  // them. Returns how many it took.
  std::size_t SendWithoutEnd(FakeCall& call, const std::string& block) {
    constexpr std::size_t kEnough = 200 * kMebibyte;
    std::size_t sent = 0;
    while (!call.cancelled && sent < kEnough) {
      call.SendData(block);
      sent += block.size();
    }
    return sent;
  }

  const std::string no_event = std::string(64 << 10, 'x');
};

// Guards against a stream whose event never ends and that fills the host's
// memory.
BOOST_FIXTURE_TEST_CASE(AnEventWithoutEndIsBrokenOff, Fixture) {
  const auto caller = SendRequest("/resume/1");
  const auto first = calls.back();
  first->SendHead(200);
  first->SendData(kEvent);
  BOOST_TEST(SendWithoutEnd(*first, no_event) <= 2 * kMebibyte);
  // It goes on elsewhere.
  BOOST_REQUIRE(calls.size() == 2u);
  BOOST_TEST(last().call.last_event == 1);
  last().SendResponse(200, "id: 2\ndata: b\n\n");
  BOOST_TEST(caller->complete);
  BOOST_TEST(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against the same where the request must not run twice.
BOOST_FIXTURE_TEST_CASE(AnEventWithoutEndIsNeverComplete, Fixture) {
  const auto caller = SendRequest("/stream/1");
  last().SendHead(200);
  last().SendData(kEvent);
  BOOST_TEST(SendWithoutEnd(last(), no_event) <= 2 * kMebibyte);
  BOOST_TEST(calls.size() == 1u);
  BOOST_TEST(caller->aborted);
  BOOST_TEST(!caller->complete);
}

// Guards against a body that never ends and that fills the host's memory.
BOOST_FIXTURE_TEST_CASE(ABodyWithoutEndIsBrokenOff, Fixture) {
  const auto caller = SendRequest("/pay/1");
  last().SendHead(200);
  BOOST_TEST(SendWithoutEnd(last(), no_event) <= 32 * kMebibyte);
  BOOST_TEST(caller->status == 502);
  BOOST_TEST(forwarder->open_requests() == 0u);
}

// Guards against bodies without end that fill the host's memory together, and
// against a sound answer that gives way to them.
BOOST_AUTO_TEST_CASE(BodiesWithoutEndStayWithinTheBudgetTogether) {
  constexpr std::size_t kBudget = 8 * kMebibyte;
  const auto budget = std::make_shared<ByteBudget>(kBudget);
  FakeSite site(budget);
  site.Configure();
  const auto sound = site.SendRequest("/pay/1");
  std::vector<std::shared_ptr<FakeCaller>> others;
  for (const char* path : {"/pay/2", "/pay/3", "/pay/4"}) {
    others.push_back(site.SendRequest(path));
  }
  BOOST_REQUIRE(site.calls.size() == 4u);
  for (const auto& call : site.calls) call->SendHead(200);
  site.calls[0]->SendData(std::string(40'000, 's'));
  const std::string block(64 << 10, 'x');
  for (int i = 0; i < 400; ++i) {
    for (std::size_t other = 1; other < site.calls.size(); ++other) {
      if (!site.calls[other]->cancelled) site.calls[other]->SendData(block);
    }
    BOOST_TEST(budget->held() <= kBudget);
  }
  for (const auto& caller : others) BOOST_TEST(caller->status == 502);
  site.calls[0]->SendData("end");
  site.calls[0]->Finish();
  BOOST_TEST(sound->status == 200);
  BOOST_TEST(sound->body.size() == 40'003u);
  BOOST_TEST(budget->held() == 0u);
}

// Guards against bytes of an answer that was broken off in that of the server
// that is asked next.
BOOST_FIXTURE_TEST_CASE(ABrokenOffBodyIsNoPartOfTheNextAnswer, Fixture) {
  const auto caller = SendRequest("/read/1");
  const auto first = calls.back();
  // They keep the servers busy, and the last waits for the first's.
  for (int i = 2; i <= 5; ++i) SendRequest("/pay/" + std::to_string(i));
  BOOST_REQUIRE(calls.size() == 4u);
  const auto second = calls.back();
  first->SendHead(200);
  SendWithoutEnd(*first, no_event);
  BOOST_TEST(first->cancelled);
  BOOST_REQUIRE(calls.size() == 5u);
  BOOST_TEST(last().call.request->path == "/pay/5");
  first->SendData("of the first server");
  first->Finish(http::TransferEnd::kCancelled);
  second->SendResponse(200, "paid");
  BOOST_REQUIRE(calls.size() == 6u);
  first->SendData("of the first server");
  last().SendResponse(200, "whole");
  BOOST_TEST(caller->body == "whole");
  BOOST_TEST(caller->complete);
}

// Guards against events that pile up for a caller that doesn't read them.
BOOST_FIXTURE_TEST_CASE(EventsDontPileUpForACallerThatDoesNotRead, Fixture) {
  const auto caller = SendRequest("/stream/1");
  caller->reads = false;
  last().SendHead(200);
  BOOST_TEST(SendWithoutEnd(last(), "data: " + no_event + "\n\n") <=
             32 * kMebibyte);
  BOOST_TEST(caller->aborted);
  BOOST_TEST(forwarder->open_requests() == 0u);
}

// Guards against a long stream that is broken off though its caller reads it.
BOOST_FIXTURE_TEST_CASE(ALongStreamThatIsReadGoesOn, Fixture) {
  const auto caller = SendRequest("/stream/1");
  last().SendHead(200);
  const std::string event = "data: " + no_event + "\n\n";
  for (std::size_t sent = 0; sent < 64 * kMebibyte; sent += event.size()) {
    last().SendData(event);
    caller->body.clear();
  }
  BOOST_TEST(!last().cancelled);
  last().Finish();
  BOOST_TEST(caller->complete);
}

}  // namespace
}  // namespace gentianlb::gateway
