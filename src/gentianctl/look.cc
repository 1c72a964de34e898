#include "gentianctl/look.h"

#include <iostream>
#include <memory>
#include <vector>

#include "absl/time/clock.h"
#include "gentianctl/remote.h"
#include "timeline/json.h"
#include "timeline/merge.h"
#include "timeline/render.h"

namespace gentianlb::ctl {
namespace {

struct StatusOptions {
  Remote remote;
  bool watch = false;
  double period_seconds = 2;
};

struct TimelineOptions {
  Remote access;
  std::vector<std::string> hosts;
  timeline::Filter filter;
  std::string format = "text";
};

// Moves to the upper left corner and clears the screen.
constexpr char kClearScreen[] = "\x1b[H\x1b[2J";

Exit Status(const StatusOptions& options) {
  Json::Value none(Json::objectValue);
  while (options.watch) {
    auto answer = Call(options.remote, "status", none);
    std::cout << kClearScreen;
    // A host that is restarted meanwhile comes back by itself.
    Show(options.remote.format, answer);
    absl::SleepFor(absl::Seconds(options.period_seconds));
  }
  return Show(options.remote.format, Call(options.remote, "status", none));
}

Outcome<std::vector<timeline::Event>> EventsOf(const TimelineOptions& options,
                                               const std::string& host) {
  Remote remote = options.access;
  remote.host = host;
  auto answer = Call(remote, "timeline.events", Json::Value(Json::objectValue));
  if (!answer.ok()) return answer.error();
  return timeline::EventsFromJson(answer.value()["events"]);
}

void Print(const std::string& format,
           const std::vector<timeline::Event>& events) {
  if (format == "json") return PrintJson(timeline::ToJson(events));
  std::cout << (format == "html" ? timeline::RenderHtml(events)
                                 : timeline::RenderText(events));
}

// Hosts that don't answer are named; what the others know is shown all the
// same, and the exit code tells that it is not all.
Exit Timeline(const TimelineOptions& options) {
  Exit exit = Exit::kDone;
  std::vector<std::vector<timeline::Event>> sources;
  for (const std::string& host : options.hosts) {
    auto events = EventsOf(options, host);
    if (events.ok()) sources.push_back(std::move(events.value()));
    if (events.ok()) continue;
    PrintError("text", events.error());
    exit = ExitFor(events.error());
  }
  if (!sources.empty()) {
    Print(options.format, timeline::Merge(sources, options.filter));
  }
  return exit;
}

}  // namespace

void AddStatus(CLI::App* app, Action* action) {
  auto options = std::make_shared<StatusOptions>();
  CLI::App* command = app->add_subcommand(
      "status", "Hosts, servers, tiers, power and the version in force");
  AddRemote(command, &options->remote);
  command->add_flag("--watch", options->watch, "Show it again and again");
  command
      ->add_option("--period", options->period_seconds,
                   "Seconds between two looks")
      ->check(CLI::Range(0.2, 3600.0))
      ->capture_default_str();
  command->callback([=] { *action = [=] { return Status(*options); }; });
}

void AddTimeline(CLI::App* app, Action* action) {
  auto options = std::make_shared<TimelineOptions>();
  CLI::App* command = app->add_subcommand(
      "timeline", "Events of all named hosts, in the order of their stamps");
  command
      ->add_option("--host", options->hosts,
                   "Control address of an entry host; once for each")
      ->required();
  AddAccess(command, &options->access);
  command->add_option("--key", options->filter.key,
                      "Only events whose subject or detail has this text");
  command->add_option("--kind", options->filter.kind,
                      "Only kinds that begin so, as in request-refused");
  command->add_option("--source", options->filter.host,
                      "Only events of the entry host with this id");
  command->add_option("--format", options->format, "Form of the output")
      ->check(CLI::IsMember({"text", "json", "html"}))
      ->capture_default_str();
  command->callback([=] { *action = [=] { return Timeline(*options); }; });
}

}  // namespace gentianlb::ctl
