// The entry host process. SIGTERM or SIGINT starts a drain; a second signal or
// the drain limit in the settings ends the process at once.

#include <glog/logging.h>
#include <pthread.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "absl/time/clock.h"
#include "entry/entry_host.h"
#include "gentianlb/exit_code.h"
#include "gentianlb/gateway.h"
#include "settings/host_settings.h"

namespace gentianlb {
namespace {

// Interval at which a drain checks whether it is complete.
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(50);

sigset_t ShutdownSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Waits for a shutdown signal; returns false if `limit` passes first.
bool WaitForSignal(const sigset_t& signals, absl::Duration limit) {
  timespec wait = absl::ToTimespec(limit);
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

void InitLogging(const settings::LogSettings& log) {
  FLAGS_logtostderr = log.folder.empty();
  if (!log.folder.empty()) FLAGS_log_dir = log.folder;
  FLAGS_minloglevel = log.level;
  google::InitGoogleLogging("gentianlb");
}

int Drain(entry::EntryHost* host, const sigset_t& signals,
          absl::Duration limit) {
  host->Drain();
  absl::Time end = absl::Now() + limit;
  while (!host->drained()) {
    bool signaled = WaitForSignal(signals, kDrainPollInterval);
    if (!signaled && absl::Now() < end) continue;
    for (const RequestId& id : host->OpenRequests()) {
      LOG(WARNING) << "event=request-cut request=" << id;
    }
    return kDrainIncomplete;
  }
  LOG(INFO) << "event=drained";
  return kDone;
}

int Run(const std::string& path) {
  auto settings = settings::LoadHostSettings(path);
  if (!settings.ok()) {
    std::cerr << settings.error().detail << "\n";
    return kBadSettings;
  }
  InitLogging(settings.value().log);
  // All threads inherit the mask, so that only this one receives the signals.
  sigset_t signals = ShutdownSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  auto host = entry::EntryHost::Start(settings.value());
  if (!host.ok()) {
    std::cerr << static_cast<int>(host.error().code) << " "
              << host.error().detail << "\n";
    return kRefused;
  }
  std::cout << "port=" << host.value()->callers_port() << "\n"
            << "control=" << host.value()->control_port() << std::endl;
  while (!WaitForSignal(signals, absl::Hours(1))) {
  }
  return Drain(host.value().get(), signals, settings.value().drain_limit);
}

}  // namespace
}  // namespace gentianlb

int main(int argc, char** argv) {
  CLI::App app(
      "The entry host of gentianlb: schedules requests, sends "
      "them to backend servers and streams the responses back.");
  std::string settings;
  app.add_option("--settings", settings, "INI file with this host's settings")
      ->envname("GENTIANLB_CONFIG")
      ->required();
  CLI::App* gateway = app.add_subcommand(
      "gateway", "Run on the users' platform, see docs/design/platform.md");
  gateway->fallthrough();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : gentianlb::kBadSettings;
  }
  return gateway->parsed() ? gentianlb::RunGateway(settings)
                           : gentianlb::Run(settings);
}
