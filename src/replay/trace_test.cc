#include "replay/trace.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>

#include "replay/scenario.h"

namespace gentianlb::replay {
namespace {

constexpr char kHeader[] =
    R"({"type":"trace","version":1,"deployment":"almaty","note":"by hand"})";

constexpr char kRequest[] =
    R"({"type":"request","at_us":5,"id":"a","workspace":"schools",)"
    R"("service":"sock-llm","tier":0,"deadline_us":1000000,)"
    R"("prompt_tokens":200,"prefix":[{"name":"head","tokens":64}],)"
    R"("max_output_tokens":50,"output_tokens":20})";

Deployment BuiltIn(const std::string& name) {
  return Capture([&] { return FindDeployment(name); }).value();
}

Outcome<Trace> Read(const std::string& text,
                    const std::string& deployment = "almaty") {
  std::istringstream input(text);
  return Capture([&] { return ReadTrace(input, BuiltIn(deployment)); });
}

Outcome<Trace> ReadSecondLine(const std::string& line) {
  return Read(std::string(kHeader) + "\n" + line + "\n");
}

// The request above with one part of its text replaced.
std::string RequestWith(const std::string& part, const std::string& other) {
  std::string line = kRequest;
  return line.replace(line.find(part), part.size(), other);
}

void CheckBad(const Outcome<Trace>& outcome, const std::string& detail) {
  BOOST_REQUIRE(!outcome.ok());
  BOOST_TEST((outcome.error().code == Code::kBadTrace));
  BOOST_TEST(outcome.error().detail == detail);
}

BOOST_AUTO_TEST_CASE(WhatIsWrittenIsReadBackTheSame) {
  for (const std::string& name : DeploymentNames()) {
    for (const std::string& scenario : ScenarioNames()) {
      Outcome<Trace> made = Capture([&]() -> Result<Trace> {
        BOOST_LEAF_AUTO(deployment, FindDeployment(name));
        return MakeShortScenario(deployment, scenario, 3, absl::Seconds(35));
      });
      BOOST_REQUIRE(made.ok());
      std::stringstream file;
      WriteTrace(made.value(), file);
      Outcome<Trace> read = Read(file.str(), name);
      BOOST_REQUIRE(read.ok());
      BOOST_TEST((read.value() == made.value()));
    }
  }
}

// Somebody edits a trace by hand, or a newer recorder adds a field. If the
// reader skipped what it doesn't know, the replay would prove another thing
// than what its user believes.
BOOST_AUTO_TEST_CASE(WhatIsNotUnderstoodIsAnErrorWithTheLine) {
  BOOST_TEST(ReadSecondLine(kRequest).ok());
  CheckBad(Read(""), "line 0: the header is missing");
  CheckBad(Read(kHeader, "association"), "line 1: deployment is another one");
  CheckBad(Read(kRequest), "line 1: the first line must be the header");
  CheckBad(ReadSecondLine("{"), "line 2: not valid JSON");
  CheckBad(ReadSecondLine("[]"), "line 2: not a JSON object");
  CheckBad(ReadSecondLine(RequestWith("\"tier\"", "\"urgency\"")),
           "line 2: tier is missing");
  CheckBad(ReadSecondLine(RequestWith("\"at_us\":5", "\"at_us\":5,\"x\":1")),
           "line 2: x is not known");
  CheckBad(ReadSecondLine(RequestWith("\"tier\":0", "\"tier\":\"0\"")),
           "line 2: tier must be an integer");
  CheckBad(ReadSecondLine(RequestWith("\"tier\":0", "\"tier\":-1")),
           "line 2: tier is out of range");
  CheckBad(ReadSecondLine(RequestWith("schools", "nobody")),
           "line 2: workspace is not known");
  CheckBad(ReadSecondLine(RequestWith("sock-llm", "drafting-llm")),
           "line 2: service is not known");
  CheckBad(ReadSecondLine(RequestWith("\"tokens\":64", "\"tokens\":65")),
           "line 2: tokens is not a multiple of the block");
  CheckBad(ReadSecondLine(RequestWith("\"tokens\":64", "\"tokens\":640")),
           "line 2: prefix exceeds the prompt");
  CheckBad(ReadSecondLine(RequestWith("_tokens\":50", "_tokens\":19")),
           "line 2: output_tokens exceeds max_output_tokens");
  CheckBad(ReadSecondLine(R"({"type":"cancel","at_us":5,"id":"a"})"),
           "line 2: id is not known");
  CheckBad(ReadSecondLine(R"({"type":"weather","at_us":5})"),
           "line 2: type is not known");
  CheckBad(
      ReadSecondLine(
          R"({"type":"server-slow","at_us":5,"server":"sock-llm-1","speed":2})"),
      "line 2: speed is above 1");
  CheckBad(ReadSecondLine(R"({"type":"server-dead","at_us":5,"server":"x"})"),
           "line 2: server is not known");
}

BOOST_AUTO_TEST_CASE(TimesThatGoBackAndIdsThatStandTwiceAreErrors) {
  std::string request = kRequest;
  CheckBad(ReadSecondLine(request + "\n" + request), "line 3: id stands twice");
  std::string earlier = R"({"type":"power-cap","at_us":4,"watts":100})";
  CheckBad(ReadSecondLine(request + "\n" + earlier), "line 3: at_us goes back");
}

BOOST_AUTO_TEST_CASE(PromptsShareTheBlocksOfTheirCommonHeadOnly) {
  TraceRequest a;
  a.id = RequestId("a");
  a.prompt_tokens = 300;
  a.prefix = {{"head", 64}, {"text", 128}};
  TraceRequest b = a;
  b.id = RequestId("b");
  auto chain_a = PrefixChain(a);
  auto chain_b = PrefixChain(b);
  BOOST_TEST(chain_a.size() == 4U);  // The last 44 tokens fill no block.
  BOOST_TEST(
      (std::equal(chain_a.begin(), chain_a.begin() + 3, chain_b.begin())));
  BOOST_TEST(chain_a[3] != chain_b[3]);
  b.prefix[0].name = "other";
  BOOST_TEST(PrefixChain(b)[1] != chain_a[1]);
}

BOOST_AUTO_TEST_CASE(TheCommittedTracesAreValid) {
  for (const std::string& name : DeploymentNames()) {
    for (const char* kind : {"steady", "burst", "mixed"}) {
      std::string path = std::string(GENTIANLB_SOURCE_DIR "/traces/") + name +
                         "-" + kind + ".jsonl";
      Outcome<Trace> trace =
          Capture([&] { return ReadTraceFile(path, BuiltIn(name)); });
      BOOST_TEST(trace.ok(), path);
    }
  }
}

BOOST_AUTO_TEST_CASE(AConfigurationTakesThePlaceOfBuiltInServers) {
  const Deployment built_in = BuiltIn("almaty");
  config::Configuration configuration;
  configuration.power_cap_watts = 1000;
  configuration.weights = {2, 3};
  config::ServerConfig server;
  server.service = ServiceId("sock-llm");
  server.spec = built_in.services.front().servers.front();
  configuration.servers = {server};
  config::WorkspaceConfig schools;
  schools.limits.id = WorkspaceId("schools");
  schools.limits.weight = 7;
  configuration.workspaces = {schools};
  const Deployment result = WithConfiguration(built_in, configuration);
  BOOST_TEST(result.power_cap_watts == 1000);
  BOOST_TEST((result.weights == schedule::Weights{2, 3}));
  BOOST_TEST(result.services[0].servers.size() == 1U);
  BOOST_TEST((result.services[1] == built_in.services[1]));
  BOOST_TEST(result.workspaces[1].spec.weight == 7);
}

}  // namespace
}  // namespace gentianlb::replay
