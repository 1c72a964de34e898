#include "gentianctl/remote.h"

#include <boost/test/unit_test.hpp>
#include <memory>

#include "absl/strings/str_cat.h"
#include "http/server.h"
#include "rpc/codec.h"

namespace gentianlb::ctl {
namespace {

constexpr char kKeyFile[] =
    GENTIANLB_SOURCE_DIR "/etc/almaty/keys/operator.key";

// An entry host's control port, as far as these calls need it.
class FakeHost {
 public:
  FakeHost() {
    methods_.AddMethod("echo", [](const Json::Value& in, Json::Value* out) {
      (*out)["text"] = in["word"];
      return rpc::RpcError{0, ""};
    });
    methods_.AddMethod("race", [](const Json::Value&, Json::Value*) {
      return rpc::RpcError{7005, "version 3 was confirmed first by omar"};
    });
    auto started = http::Server::Start(
        {},
        [this](http::Request request, std::shared_ptr<http::Responder> answer) {
          Handle(request, *answer);
        });
    BOOST_REQUIRE(started.ok());
    server_ = std::move(started.value());
  }

  Remote remote() const {
    Remote remote;
    remote.host = absl::StrCat("127.0.0.1:", server_->port());
    remote.key_file = kKeyFile;
    return remote;
  }

  bool drop_answers = false;

 private:
  void Handle(const http::Request& request, http::Responder& answer) {
    // Dropped without an answer, the connection breaks.
    if (drop_answers) return;
    bool allowed = request.method == "POST" && request.path == "/rpc" &&
                   request.header("Authorization") ==
                       "Bearer REPLACE-ME-placeholder-operator-key-almaty";
    if (!allowed) {
      return http::RespondProblem(answer, {Code::kBadPeerKey, "not this key"});
    }
    answer.Respond(200, {}, methods_.Handle(request.body));
  }

  rpc::MethodTable methods_;
  std::unique_ptr<http::Server> server_;
};

Json::Value Word(const char* word) {
  Json::Value params;
  params["word"] = word;
  return params;
}

BOOST_AUTO_TEST_CASE(CallsByTheOperatorsKeyAndReadsTheAnswer) {
  FakeHost host;
  auto answer = Call(host.remote(), "echo", Word("hello"));
  BOOST_REQUIRE(answer.ok());
  BOOST_TEST(answer.value()["text"].asString() == "hello");
}

// Another operator was faster. The number must arrive as it was sent, or a
// script takes the conflict for a fault and repeats the change.
BOOST_AUTO_TEST_CASE(ANumberedRefusalArrivesWithItsNumber) {
  FakeHost host;
  auto answer = Call(host.remote(), "race", Word("x"));
  BOOST_REQUIRE(!answer.ok());
  BOOST_TEST((answer.error().code == Code::kPlanConflict));
  BOOST_TEST((ExitFor(answer.error()) == Exit::kRefused));
  Remote wrong = host.remote();
  wrong.key_file = GENTIANLB_SOURCE_DIR "/etc/almaty/keys/peer.key";
  BOOST_TEST(
      (Call(wrong, "echo", Word("x")).error().code == Code::kBadPeerKey));
}

// The host dies between taking the call and answering it. An operator who reads
// "can't be reached" believes that nothing happened.
BOOST_AUTO_TEST_CASE(ALostAnswerIsToldFromAHostThatWasNotReached) {
  FakeHost host;
  host.drop_answers = true;
  Error lost = Call(host.remote(), "echo", Word("x")).error();
  BOOST_TEST((ExitFor(lost) == Exit::kUnreachable));
  BOOST_TEST(lost.detail.find("may have taken effect") != std::string::npos);
  Remote nobody = host.remote();
  nobody.host = "127.0.0.1:1";
  Error unreached = Call(nobody, "echo", Word("x")).error();
  BOOST_TEST(unreached.detail.find("can't be reached") != std::string::npos);
}

}  // namespace
}  // namespace gentianlb::ctl
