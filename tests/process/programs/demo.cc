// The main job, shown with real processes on loopback: a streamed draft, a chat
// answer and a permit check that may not be repeated; where each went, and the
// merged time line of all entry hosts.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>

#include "process/deployment.h"

namespace {

using gentianlb::http::FindHeader;
using gentianlb::process::Answer;
using gentianlb::process::Caller;
using gentianlb::process::Deployment;
using gentianlb::process::Finished;
using gentianlb::process::Key;
using gentianlb::process::Shape;

constexpr std::size_t kShownBytes = 60;

// Three engines of unlike speed in two availability zones.
Shape DemoShape() {
  Shape shape;
  shape.engines = {{.zone = "abdali", .decode_rate = 2000, .max_streams = 32},
                   {.zone = "abdali", .decode_rate = 700, .max_streams = 16},
                   {.zone = "sahab", .decode_rate = 300, .max_streams = 8}};
  return shape;
}

void Heading(const std::string& text) {
  std::printf("\n== %s\n", text.c_str());
}

// Prints an answer and where it came from; false when it isn't whole.
bool Show(const Answer& answer, const std::string& text,
          const std::string& host) {
  std::string server(FindHeader(answer.headers, "Gentian-Server"));
  std::string request(FindHeader(answer.headers, "Gentian-Request"));
  std::printf("entry host %s -> backend server %s, request %s\n", host.c_str(),
              server.c_str(), request.c_str());
  std::printf("status %d, %zu bytes: %.*s...\n", answer.status, text.size(),
              static_cast<int>(kShownBytes), text.c_str());
  if (!answer.IsWhole()) std::printf("%s\n", answer.body.c_str());
  return answer.IsWhole() && !text.empty();
}

bool StreamDraft(Deployment& site) {
  Heading("A tender draft, streamed");
  Caller caller(gentianlb::process::kDraftingToken);
  Answer answer = caller
                      .Ask(site.host(0).address,
                           {.model = gentianlb::process::kModel,
                            .prompt = "Draft our response to the tender.",
                            .max_tokens = 400},
                           {Key("draft-1")})
                      .Wait();
  return Show(answer, answer.Text(), site.host(0).name);
}

bool AnswerChat(Deployment& site) {
  Heading("A chat question, answered whole");
  Caller caller(gentianlb::process::kChatToken);
  Answer answer =
      caller
          .Ask(site.host(2).address, {.model = gentianlb::process::kModel,
                                      .prompt = "Which clause covers disposal?",
                                      .max_tokens = 24,
                                      .stream = false})
          .Wait();
  return Show(answer, answer.Text(), site.host(2).name);
}

// The caller sends its key again, to another entry host, as after a time-out.
bool CheckPermitOnce(Deployment& site) {
  Heading("A permit check that may not be repeated, sent twice");
  Caller caller(gentianlb::process::kPermitToken);
  auto send = [&](std::size_t host) {
    Answer answer = caller
                        .Send(site.host(host).address, "POST",
                              "/member-portal/permits/check",
                              R"({"permit": "JO-1042"})", {Key("permit-1")})
                        .Wait();
    bool whole = Show(answer, answer.body, site.host(host).name);
    return whole;
  };
  bool first = send(1);
  send(3);
  std::int64_t executions = site.Executions()["permit-1"];
  std::printf("executed %d time(s)\n", static_cast<int>(executions));
  return first && executions == 1;
}

bool ShowTimeline(Deployment& site) {
  Heading("The merged time line of all entry hosts");
  Finished timeline = site.Timeline();
  std::printf("%s%s", timeline.output.c_str(), timeline.errors.c_str());
  return timeline.status == 0;
}

int RunDemo(const std::string& build) {
  Heading("Starting the platform, 3 engines, 2 plain services, 4 entry hosts");
  Deployment site(build, DemoShape());
  bool good = StreamDraft(site);
  good = AnswerChat(site) && good;
  good = CheckPermitOnce(site) && good;
  good = ShowTimeline(site) && good;
  Heading(good ? "Done" : "Something went wrong");
  return good ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Runs the main job on loopback.");
  std::string build = "build";
  app.add_option("--bin", build, "The folder of the build");
  CLI11_PARSE(app, argc, argv);
  try {
    return RunDemo(build);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "demo: %s\n", error.what());
    return 1;
  }
}
