#include "entry/caller_request.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::entry {
namespace {

config::Configuration MakeConfiguration() {
  config::Configuration c;
  c.tiers = {{"urgent", Tier{0}, absl::Seconds(30)}};
  c.services = {
      {ServiceId("drafting-llm"), config::ServiceKind::kModel, "", {}},
      {ServiceId("member-portal"),
       config::ServiceKind::kPlain,
       "/member-portal/",
       {"POST /permits/"}}};
  c.models = {{ModelId("draft-7b"), ServiceId("drafting-llm"), {}, 1}};
  config::WorkspaceConfig workspace;
  workspace.token = "token-a";
  workspace.tier = "urgent";
  workspace.services = {ServiceId("drafting-llm"), ServiceId("member-portal")};
  workspace.models = {ModelId("draft-7b")};
  workspace.limits.id = WorkspaceId("tenders");
  c.workspaces = {workspace};
  return c;
}

http::Request ModelRequest(std::string body) {
  return {.method = "POST",
          .path = "/v1/chat/completions",
          .headers = {{"authorization", "Bearer token-a"}},
          .body = std::move(body)};
}

http::Request PlainRequest(std::string method, std::string path) {
  return {.method = std::move(method),
          .path = std::move(path),
          .headers = {{"Authorization", "Bearer token-a"}}};
}

Outcome<CallerRequest> Read(const http::Request& request) {
  static const ConfigIndex config(MakeConfiguration());
  return Capture([&] { return ReadCallerRequest(request, config); });
}

Code CodeOf(const http::Request& request) {
  Outcome<CallerRequest> read = Read(request);
  BOOST_REQUIRE(!read.ok());
  return read.error().code;
}

constexpr char kGoodBody[] =
    R"({"model":"draft-7b","messages":[{"role":"user","content":"12345678"}]})";

BOOST_AUTO_TEST_CASE(ReadsAModelCall) {
  http::Request request = ModelRequest(kGoodBody);
  request.headers.push_back({"Gentian-Deadline", "5s"});
  request.headers.push_back({"Idempotency-Key", "k1"});
  Outcome<CallerRequest> call = Read(request);
  BOOST_REQUIRE(call.ok());
  BOOST_TEST(call.value().prompt_tokens == 2);
  BOOST_TEST((call.value().deadline == absl::Seconds(5)));
  BOOST_TEST(call.value().key == IdempotencyKey("k1"));
  BOOST_TEST(!call.value().stream);
  BOOST_TEST(call.value().body.find("\"stream\":true") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(EachFaultOfAModelCallHasItsNumber) {
  auto with = [](std::string name, std::string value) {
    http::Request request = ModelRequest(kGoodBody);
    request.headers.push_back({std::move(name), std::move(value)});
    return request;
  };
  BOOST_TEST((CodeOf(ModelRequest("{")) == Code::kMalformedRequest));
  BOOST_TEST((CodeOf(ModelRequest("[]")) == Code::kMalformedRequest));
  BOOST_TEST((CodeOf(ModelRequest("{}")) == Code::kBadParameter));
  BOOST_TEST((CodeOf(ModelRequest(std::string(100'000, '['))) ==
              Code::kMalformedRequest));
  BOOST_TEST((CodeOf(with("Gentian-Deadline", "soon")) == Code::kBadDeadline));
  BOOST_TEST((CodeOf(with("Gentian-Deadline", "-1s")) == Code::kBadDeadline));
  BOOST_TEST((CodeOf(with("Gentian-Attempt", "0")) == Code::kBadParameter));
  BOOST_TEST((CodeOf(with("Idempotency-Key", "a b")) == Code::kBadKey));
  http::Request stranger = ModelRequest(kGoodBody);
  stranger.headers = {{"Authorization", "Bearer token-b"}};
  BOOST_TEST((CodeOf(stranger) == Code::kBadToken));
}

// A permit check may run once only, so a caller that sends no key could not be
// told apart from its own re-send. It is refused before anything runs.
BOOST_AUTO_TEST_CASE(ANonIdempotentCallNeedsAKey) {
  BOOST_TEST((CodeOf(PlainRequest("POST", "/member-portal/permits/check")) ==
              Code::kKeyRequired));
  Outcome<CallerRequest> lookup =
      Read(PlainRequest("GET", "/member-portal/permits/check"));
  BOOST_REQUIRE(lookup.ok());
  BOOST_TEST(lookup.value().idempotent);
  BOOST_TEST(lookup.value().path == "/permits/check");
}

// A path such as /x/../permits/check could be cleaned up by the server into
// the one that must not be repeated, without the rule having seen it.
BOOST_AUTO_TEST_CASE(APathThatCouldHideARuleIsRefused) {
  for (const char* path :
       {"/member-portal/x/../permits/check", "/member-portal//permits/check",
        "/member-portal/./permits/check", "/member-portal/x/.."}) {
    BOOST_TEST((CodeOf(PlainRequest("POST", path)) == Code::kBadParameter));
  }
}

// Engines hash blocks of 64 tokens; a prompt that only grows at its end keeps
// the hashes of its beginning, which is what makes a cache hit recognizable.
BOOST_AUTO_TEST_CASE(APrefixKeepsItsHashesWhenThePromptGrows) {
  std::string text(600, 'a');
  auto shorter = HashPrefix(text);
  auto longer = HashPrefix(text + "tail of another block" + text);
  BOOST_TEST(shorter.size() == 2U);
  BOOST_TEST(std::equal(shorter.begin(), shorter.end(), longer.begin()));
  BOOST_TEST(shorter[0] != shorter[1]);
}

}  // namespace
}  // namespace gentianlb::entry
