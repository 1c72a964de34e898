#include "gateway/content_hash.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const WorkspaceId workspace("w");

CallerRequest MakeRequest() {
  CallerRequest request;
  request.id = RequestId("first");
  request.method = "POST";
  request.host = "one.example";
  request.target = "/chat/7?x=1";
  request.body = "words";
  request.prompt = Prompt{.model = ModelId("m"),
                          .prompt_tokens = 100,
                          .max_output_tokens = 20,
                          .parts = {{.hash = 5, .tokens = 100}}};
  return request;
}

// Guards against a caller's retry that counts as another content.
BOOST_AUTO_TEST_CASE(RetriesOfACallerHaveTheSameContent) {
  const CallerRequest first = MakeRequest();
  CallerRequest retry = MakeRequest();
  retry.id = RequestId("second");
  retry.time_left = absl::Seconds(1);
  retry.last_event = 12;
  BOOST_TEST(HashContent(first, workspace) == HashContent(retry, workspace));
}

// Guards against requests that are refused for what others ask.
BOOST_AUTO_TEST_CASE(OtherContentsDiffer) {
  const CallerRequest request = MakeRequest();
  const auto hash = HashContent(request, workspace);
  BOOST_TEST(HashContent(request, WorkspaceId("v")) != hash);
  CallerRequest other = request;
  other.method = "PUT";
  BOOST_TEST(HashContent(other, workspace) != hash);
  other = request;
  other.target = "/chat/7?x=2";
  BOOST_TEST(HashContent(other, workspace) != hash);
  other = request;
  other.body = "other words";
  BOOST_TEST(HashContent(other, workspace) != hash);
  other = request;
  other.prompt->parts.back().hash = 6;
  BOOST_TEST(HashContent(other, workspace) != hash);
  other = request;
  other.prompt->model = ModelId("n");
  BOOST_TEST(HashContent(other, workspace) != hash);
}

// Guards against a part that one service's servers end under and for which
// another service's requests are refused.
BOOST_AUTO_TEST_CASE(APartIsAnotherOneAtAnotherServiceOrModel) {
  Prompt prompt = *MakeRequest().prompt;
  const auto parts = PartsAt(ServiceId("llm"), prompt);
  BOOST_TEST(parts.front().tokens == 100);
  BOOST_TEST((PartsAt(ServiceId("llm"), prompt) == parts));
  BOOST_TEST((PartsAt(ServiceId("other"), prompt) != parts));
  prompt.model = ModelId("n");
  BOOST_TEST((PartsAt(ServiceId("llm"), prompt) != parts));
}

}  // namespace
}  // namespace gentianlb::gateway
