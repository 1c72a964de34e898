#include "gateway/host.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace gentianlb::gateway {
namespace {

// Lines that a killed process takes with it are those of the last moments.
constexpr absl::Duration kLogFlush = absl::Milliseconds(200);

// While draining: how long a connection may be idle, and how often the host
// looks whether it is done.
constexpr absl::Duration kIdleWhileDraining = absl::Seconds(1);
constexpr absl::Duration kDrainLook = absl::Milliseconds(50);

// What callers may send, at the most; today's operators allow just this.
constexpr std::size_t kMostHeaderBytes = 16 << 10;
constexpr std::size_t kMostBodyBytes = 4 << 20;

// Callers' connections beyond this are not taken; each costs some kilobytes.
constexpr unsigned kMostCallers = 1500;

// A part below the bound, since retries and the requests that earn them are
// not counted at the same moment by those who check.
constexpr double kRetryMargin = 0.75;

std::uint64_t SeedOf(const settings::GatewaySettings& settings) {
  return absl::HashOf(settings.id);
}

ForwarderOptions OptionsOf(const settings::GatewaySettings& settings) {
  ForwarderOptions options;
  options.host = settings.id;
  options.queue.host = settings.id;
  options.limit_tolerance_tokens = settings.limit_tolerance_tokens;
  options.queue.dispatcher.seed = SeedOf(settings);
  options.queue.dispatcher.preempts = false;
  options.queue.dispatcher.shortest_come_back = absl::Milliseconds(300);
  options.queue.retries.retries_per_call =
      kRetryMargin * settings.retries_per_request;
  options.retry_burst = settings.retry_burst;
  return options;
}

}  // namespace

Host::Host(const settings::GatewaySettings& settings, Platform platform,
           loop::EventLoop* loop, log::BoundedLog* log)
    : settings_(settings),
      platform_(std::move(platform)),
      loop_(loop),
      log_(log),
      forwarder_(
          OptionsOf(settings), platform_.servers, &loop->timers(),
          [loop] { return loop->now(); }, &directory_, &demand_, &metrics_),
      groups_(
          settings.id, OptionsOf(settings).queue, &loop->timers(),
          [loop] { return loop->now(); },
          {.tell_own =
               [this](const ServiceId& service, const schedule::Event& event) {
                 forwarder_.TellOwn(service, event);
               },
           .decide =
               [this](const schedule::Decision& decision) {
                 forwarder_.Decide(decision);
               },
           .send =
               [this](const EntryHostId& host, std::string_view bytes) {
                 peers_->Send(host.str(), bytes);
               },
           .defer =
               [loop](std::function<void()> closure) {
                 loop->Defer(std::move(closure));
               }}),
      early_(
          &loop->timers(), [loop] { return loop->now(); },
          [this](CallerRequest request,
                 std::shared_ptr<http::Responder> responder) {
            forwarder_.Accept(std::move(request), std::move(responder));
          }),
      configuration_(
          {.table = platform_.configuration_table}, platform_.table,
          &loop->timers(), [loop] { return loop->now(); }, SeedOf(settings),
          [this](const auto& rows, bool, absl::Time) {
            TakeConfiguration(rows);
          },
          [](bool, absl::Time) {}),
      servers_(
          {.table = platform_.server_table}, platform_.table, &loop->timers(),
          [loop] { return loop->now(); }, SeedOf(settings) + 1,
          [this](const auto& rows, bool whole, absl::Time now) {
            TakeServers(rows, whole, now);
          },
          [this](bool up, absl::Time now) {
            if (!up) return;
            service_return_.Noticed(now);
            directory_.ServiceReturned(now);
          }),
      sharing_(
          settings.id.str(), {&configuration_, &servers_},
          {.hand_on =
               [this](const TableChanges& changes) {
                 SendChanges(peers_->fleet().Followers(), changes);
               },
           .ask = [this](const TableQuestion& question,
                         int tries) { AskOthers(question, tries); },
           .answer =
               [this](const std::string& host, const TableChanges& changes) {
                 SendChanges({host}, changes);
               }},
          loop->now()) {}

Host::~Host() {
  for (const TimerId timer : timers_) loop_->timers().Cancel(timer);
  loop_->timers().Cancel(expiry_);
}

Outcome<std::unique_ptr<Host>> Host::Start(
    const settings::GatewaySettings& settings, Platform platform,
    loop::EventLoop* loop, log::BoundedLog* log) {
  std::unique_ptr<Host> host(
      new Host(settings, std::move(platform), loop, log));
  if (auto error = host->Listen()) return *error;
  if (auto error = host->MeetPeers()) return *error;
  host->forwarder_.OnWrongServer([self = host.get()](const ServerId& server) {
    // Whatever its registration says, another server answers there.
    if (self->directory_.Change(server.str(), std::nullopt,
                                self->loop_->now())) {
      self->ServersChanged();
    }
  });
  host->timers_.push_back(loop->timers().Every(
      loop->now() + kLogFlush, kLogFlush, [log](absl::Time) { log->Flush(); }));
  host->forwarder_.UseGroups(&host->groups_);
  host->configuration_.Start();
  host->servers_.Start();
  LOG(INFO) << "event=started zone=" << settings.zone
            << " callers=" << settings::Format(settings.callers)
            << " table=" << settings::Format(settings.table);
  return host;
}

std::optional<Error> Host::Listen() {
  auto listen =
      [this](const settings::Endpoint& endpoint, unsigned connections,
             http::Server::Handler handler,
             std::unique_ptr<http::Server>* server) -> std::optional<Error> {
    http::ServerSettings chosen;
    chosen.address = endpoint.ip;
    chosen.port = static_cast<std::uint16_t>(endpoint.port);
    chosen.limits.max_connections = connections;
    chosen.limits.max_header_bytes = kMostHeaderBytes;
    chosen.limits.max_body_bytes = kMostBodyBytes;
    chosen.loop = loop_;
    auto started = http::Server::Start(chosen, std::move(handler));
    if (!started.ok()) return started.error();
    *server = std::move(started.value());
    return std::nullopt;
  };
  constexpr unsigned kFewConnections = 32;
  if (auto error = listen(
          settings_.callers, kMostCallers,
          [this](http::Request request, auto responder) {
            TakeRequest(std::move(request), std::move(responder));
          },
          &callers_)) {
    return error;
  }
  if (auto error = listen(
          settings_.ready, kFewConnections,
          [this](const http::Request& request, auto responder) {
            TakeQuestion(request, *responder);
          },
          &ready_)) {
    return error;
  }
  return listen(
      settings_.metrics, kFewConnections,
      [this](const http::Request&, auto responder) {
        responder->Respond(200, {{"Content-Type", "text/plain"}},
                           MetricsText());
      },
      &metrics_server_);
}

void Host::TakeRequest(http::Request request,
                       std::shared_ptr<http::Responder> responder) {
  auto read = platform_.read_request(std::move(request));
  if (!read.ok()) {
    LOG(INFO) << "event=malformed code=" << static_cast<int>(read.error().code)
              << " cause=\"" << read.error().detail << "\"";
    metrics_.CountMalformed(read.error().code);
    return http::RespondProblem(*responder, read.error());
  }
  if (!informed()) {
    return early_.Hold(std::move(read.value()), std::move(responder));
  }
  forwarder_.Accept(std::move(read.value()), std::move(responder));
}

void Host::TakeQuestion(const http::Request& request,
                        http::Responder& responder) const {
  if (request.path != settings_.ready_path) {
    return http::RespondProblem(responder,
                                {Code::kUnknownPath, settings_.ready_path});
  }
  responder.Respond(ready() ? 200 : 503, {}, "");
}

bool Host::informed() const {
  return forwarder_.configured() && servers_.complete();
}

bool Host::ready() const { return informed() && !draining_; }

std::string Host::MetricsText() {
  metrics_.Set("gentianlb_configuration_version", "In force", {},
               static_cast<double>(forwarder_.version()));
  metrics_.Set("gentianlb_open_requests", "Being served", {},
               static_cast<double>(forwarder_.open_requests()));
  metrics_.Set("gentianlb_callers", "Open connections", {},
               static_cast<double>(callers_->open_connections()));
  metrics_.Set("gentianlb_servers", "Registered backend servers", {},
               static_cast<double>(directory_.size()));
  metrics_.Set("gentianlb_ready", "1 when callers may come", {},
               ready() ? 1 : 0);
  for (const TableFollower* follower : {&configuration_, &servers_}) {
    const prometheus::Labels table = {{"table", follower->table()}};
    metrics_.Set("gentianlb_table_up", "1 while the table service answers",
                 table, follower->up() ? 1 : 0);
    metrics_.Set("gentianlb_table_follows",
                 "1 while this host asks the service itself", table,
                 follower->follows() ? 1 : 0);
    metrics_.Set("gentianlb_table_behind_seconds",
                 "Since a change is known of that isn't here", table,
                 absl::ToDoubleSeconds(follower->Behind()));
  }
  metrics_.Set("gentianlb_log_lines_left_out", "For the log's bound", {},
               static_cast<double>(log_->dropped_lines()));
  return metrics_.Text();
}

void Host::TakeConfiguration(const std::vector<TableRow>& rows) {
  for (const TableRow& row : rows) {
    if (row.key != platform_.configuration_key || row.removed) continue;
    auto read = platform_.read_configuration(row.value);
    if (!read.ok()) {
      LOG(ERROR) << "event=configuration-unreadable code="
                 << static_cast<int>(read.error().code) << " cause=\""
                 << read.error().detail << "\"";
      continue;
    }
    callers_->SetIdleTimeout(read.value().limits.idle_timeout);
    forwarder_.SetConfiguration(std::move(read.value()));
  }
  if (informed()) early_.Release();
}

void Host::TakeServers(const std::vector<TableRow>& rows, bool whole,
                       absl::Time now) {
  std::vector<std::pair<std::string, ServerEntry>> named;
  bool changed = false;
  for (const TableRow& row : rows) {
    std::optional<ServerEntry> entry;
    if (!row.removed) {
      auto read = platform_.read_server(row.key, row.value);
      if (read.ok()) entry = std::move(read.value());
      if (!read.ok()) {
        LOG(WARNING) << "event=server-unreadable cause=\""
                     << read.error().detail << "\"";
      }
    }
    LOG(INFO) << "event=server-registration server=" << row.key
              << " usable=" << entry.has_value()
              << " draining=" << (entry && entry->draining)
              << " started=" << (entry ? entry->started : 0);
    if (whole && entry) named.emplace_back(row.key, *entry);
    if (!whole) changed |= directory_.Change(row.key, entry, now);
  }
  if (whole) changed = directory_.Replace(named, now);
  if (changed || whole) ServersChanged();
  loop_->timers().Cancel(expiry_);
  if (directory_.NextExpiry() == absl::InfiniteFuture()) return;
  expiry_ = loop_->timers().At(directory_.NextExpiry(), [this](absl::Time at) {
    if (directory_.Expire(at)) ServersChanged();
  });
}

void Host::ServersChanged() {
  forwarder_.ServersChanged();
  if (informed()) early_.Release();
}

void Host::Drain() {
  if (draining_) return;
  draining_ = true;
  const absl::Time now = loop_->now();
  drain_ = PlanDrain(now, settings_.grace);
  LOG(INFO) << "event=draining open=" << forwarder_.open_requests();
  forwarder_.Drain(drain_);
  groups_.Drain();
  TimerService& timers = loop_->timers();
  timers_.push_back(timers.At(drain_.close_idle_from, [this](absl::Time) {
    callers_->SetIdleTimeout(kIdleWhileDraining);
  }));
  timers_.push_back(timers.At(drain_.no_requests_from, [this](absl::Time) {
    callers_->StopAccepting();
  }));
  timers_.push_back(
      timers.Every(drain_.no_streams_from, kDrainLook,
                   [this](absl::Time at) { LookWhetherDrained(at); }));
}

void Host::LookWhetherDrained(absl::Time now) {
  const bool done =
      forwarder_.open_requests() == 0 && callers_->open_connections() == 0;
  if (!done && now < drain_.end) return;
  LOG(INFO) << "event=stopped open=" << forwarder_.open_requests()
            << " connections=" << callers_->open_connections();
  loop_->Stop();
}

}  // namespace gentianlb::gateway
