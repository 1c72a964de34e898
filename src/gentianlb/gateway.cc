#include "gentianlb/gateway.h"

#include <glog/logging.h>
#include <malloc.h>
#include <signal.h>

#include <iostream>

#include "gateway/host.h"
#include "gentianlb/exit_code.h"
#include "log/bounded_log.h"
#include "platform/platform.h"
#include "settings/gateway_settings.h"

namespace gentianlb {
namespace {

// Idle connections to backend servers that are kept for later requests: more
// than the number of requests that a host runs at once.
constexpr int kMaxIdleConnections = 64;

// Blocks of this size and more are returned to the system as they are freed.
// Otherwise the allocator keeps what a burst of long answers took.
constexpr int kReturnedBlockBytes = 128 << 10;

// Reads the settings file again and logs whether it differs from the current
// settings. A running process can't change its settings.
void Reload(const std::string& path, const settings::GatewaySettings& current) {
  const auto read = settings::LoadGatewaySettings(path);
  if (!read.ok()) {
    LOG(ERROR) << "event=settings-refused cause=\"" << read.error().detail
               << "\"";
    return;
  }
  LOG(INFO) << "event=settings-read same=" << (read.value() == current);
}

}  // namespace

int RunGateway(const std::string& settings_path) {
  mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
  const auto settings = settings::LoadGatewaySettings(settings_path);
  if (!settings.ok()) {
    std::cerr << settings.error().detail << "\n";
    return kBadSettings;
  }
  google::InitGoogleLogging("gentianlb");
  log::BoundedLog log({}, settings.value().id.str());
  signal(SIGPIPE, SIG_IGN);

  loop::EventLoop loop;
  http::LoopClient client(&loop, kMaxIdleConnections);
  auto host = gateway::Host::Start(
      settings.value(), platform::MakePlatform(&client, settings.value().table),
      &loop, &log);
  if (!host.ok()) {
    std::cerr << static_cast<int>(host.error().code) << " "
              << host.error().detail << "\n";
    return kRefused;
  }
  loop.SetSignalCallback({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
    if (signal == SIGHUP) return Reload(settings_path, settings.value());
    host.value()->Drain();
  });
  loop.Run();
  return kDone;
}

}  // namespace gentianlb
