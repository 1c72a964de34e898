#include "standins/frame.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <utility>

#include "standins/json.h"

namespace gentianlb::standins {

Json::Value WithCommonSwitches(Json::Value own) {
  own["freeze"] = false;
  own["refuse"] = false;
  own["error_status"] = 0;
  own["delay_ms"] = 0;
  return own;
}

Frame::Frame(Control& control, Handler handler)
    : control_(control), handler_(std::move(handler)) {}

Outcome<std::uint16_t> Frame::Start(std::uint16_t port) {
  http::ServerSettings settings;
  settings.port = port;
  auto started = http::Server::Start(
      settings, [this](http::Request request, Answer answer) {
        Receive(std::move(request), answer);
      });
  if (!started.ok()) return started.error();
  server_ = std::move(started.value());
  return server_->port();
}

void Frame::Receive(http::Request request, const Answer& answer) {
  if (request.path == "/control") {
    ServeControl(request, answer);
    return;
  }
  timers_.After(control_.Milliseconds("delay_ms"),
                [this, request = std::move(request), answer] {
                  if (!Hold(request, answer)) Serve(request, answer);
                });
}

void Frame::ServeControl(const http::Request& request, const Answer& answer) {
  if (request.method == "POST") {
    auto changes = ParseObject(request.body);
    std::string wrong =
        changes.has_value() ? control_.Update(*changes) : "not a JSON object";
    if (!wrong.empty()) {
      RespondError(*answer, 400, wrong);
      return;
    }
    ReleaseHeld();
  }
  RespondJson(*answer, 200, control_.Show());
}

void Frame::Serve(const http::Request& request, const Answer& answer) {
  if (control_.Flag("refuse")) {
    answer->Abort();
    return;
  }
  int status = static_cast<int>(control_.Number("error_status"));
  if (status != 0) {
    RespondError(*answer, status, "told to fail");
    return;
  }
  handler_(request, answer);
}

// A frozen process answers nothing, but the kernel still takes its connections;
// once it runs again it serves what has piled up.
bool Frame::Hold(const http::Request& request, const Answer& answer) {
  if (!control_.Flag("freeze")) return false;
  absl::MutexLock lock(&mutex_);
  held_.push_back({request, answer});
  return true;
}

void Frame::ReleaseHeld() {
  if (control_.Flag("freeze")) return;
  std::vector<Held> released;
  {
    absl::MutexLock lock(&mutex_);
    released.swap(held_);
  }
  for (const Held& held : released) Serve(held.request, held.answer);
}

int RunStandin(int argc, char** argv, const std::string& what, Control& control,
               const Frame::Handler& handler) {
  CLI::App app(what);
  std::uint16_t port = 0;
  std::string switches = "{}";
  app.add_option("--port", port, "0 lets the kernel pick one");
  app.add_option("--control", switches, "switches to begin with, as JSON");
  CLI11_PARSE(app, argc, argv);

  auto changes = ParseObject(switches);
  std::string wrong =
      changes.has_value() ? control.Update(*changes) : "not a JSON object";
  if (!wrong.empty()) {
    std::fprintf(stderr, "--control: %s\n", wrong.c_str());
    return 2;
  }

  Frame frame(control, handler);
  auto started = frame.Start(port);
  if (!started.ok()) {
    std::fprintf(stderr, "%s\n", started.error().detail.c_str());
    return 1;
  }
  std::printf("port=%d\n", started.value());
  std::fflush(stdout);
  while (true) pause();
}

}  // namespace gentianlb::standins
