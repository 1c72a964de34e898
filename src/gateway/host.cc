#include "gateway/host.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"

namespace gentianlb::gateway {
namespace {

// A killed process loses the log lines of one interval.
constexpr absl::Duration kLogFlushInterval = absl::Milliseconds(200);

// While draining: the connections' idle timeout, and the interval of checks
// whether the host has drained.
constexpr absl::Duration kDrainIdleTimeout = absl::Seconds(1);
constexpr absl::Duration kDrainCheckInterval = absl::Milliseconds(50);

// Limits of a caller's request. A configuration may allow larger heads; a
// request that an older one allowed may still be on its way.
constexpr std::int64_t kMinHeaderBytes = 16 << 10;
constexpr std::int64_t kMaxHeaderBytes = 1 << 20;
constexpr std::size_t kMaxBodyBytes = 4 << 20;
// What the kernel holds counts as the process's memory. A caller's first flight
// of packets fits.
constexpr int kReceiveBufferBytes = 16 << 10;

// Further callers' connections are not accepted; each takes some kilobytes.
constexpr unsigned kMaxCallerConnections = 1500;

// Fraction of the retry limit that is used, since a check of the limit may
// count retries and the requests that earn them at different moments.
constexpr double kRetryShare = 0.75;

// Part of the process's memory for what it holds for others. What grows is
// copied once, and the rest is for connections, tunnels and this host's state.
constexpr std::int64_t kHeldPartOfMemory = 5;

std::uint64_t SeedOf(const settings::GatewaySettings& settings) {
  return absl::HashOf(settings.id);
}

ForwarderOptions OptionsOf(
    const settings::GatewaySettings& settings,
    const std::shared_ptr<schedule::Suspects>& suspects,
    const std::shared_ptr<ByteBudget>& budget = nullptr) {
  ForwarderOptions options;
  options.budget = budget;
  options.host = settings.id;
  options.zone = settings.zone;
  options.queue.host = settings.id;
  options.limit_tolerance_tokens = settings.limit_tolerance_tokens;
  options.queue.dispatcher.seed = SeedOf(settings);
  options.queue.dispatcher.allow_preemption = false;
  options.queue.dispatcher.suspects = suspects;
  options.queue.dispatcher.zone_crossing_cost = settings.zone_crossing_cost;
  options.queue.dispatcher.min_retry_after = absl::Milliseconds(300);
  options.queue.retries.retries_per_call =
      kRetryShare * settings.retries_per_request;
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
      budget_(std::make_shared<ByteBudget>(
          static_cast<std::size_t>(settings.memory / kHeldPartOfMemory))),
      suspects_(std::make_shared<schedule::Suspects>()),
      directory_(settings.drain_time),
      records_(settings.id, absl::ToUnixMicros(absl::Now()), &loop->timers(),
               [loop] { return loop->now(); },
               {.read =
                    [this](const std::string& from, TableDone done) {
                      platform_.table.read(platform_.stream_table, from,
                                           std::move(done));
                    },
                .transact =
                    [this](const RowChanges& changes, TransactionDone done) {
                      platform_.table.transact(platform_.stream_table, changes,
                                               std::move(done));
                    },
                .versions = [this] { return streams_.RegisteredVersions(); },
                .on_read = [this] { streams_.OnRecordsRead(); }}),
      streams_(
          settings.id, settings.zone, &loop->timers(),
          [loop] { return loop->now(); },
          {.send =
               [this](const EntryHostId& host, const StreamMessage& message) {
                 peers_->Send(host.str(), Encode(message));
               }}),
      prober_(loop, platform_.identities),
      confirmations_(
          &loop->timers(), [loop] { return loop->now(); }, &metrics_,
          {.probe =
               [this](const ServerEntry& server,
                      std::function<void(ServerProbe)> done) {
                 return prober_.Probe(server,
                                      forwarder_.FindService(server.service),
                                      std::move(done));
               },
           .cancel_probe = [this](std::uint64_t id) { prober_.Cancel(id); },
           .open_transfers =
               [this](const ServerEntry& server, absl::Time since) {
                 return servers_.OpenTransfers(server, since);
               }}),
      servers_(
          platform_.servers, [loop] { return loop->now(); }, &confirmations_),
      forwarder_(
          OptionsOf(settings, suspects_, budget_), servers_.Port(),
          &loop->timers(), [loop] { return loop->now(); }, &directory_,
          &demand_, &metrics_),
      rollouts_(
          settings.max_rollout_exposure,
          {.write =
               [this](const ServiceId& service, const RolloutStatus& status,
                      std::uint64_t expected, std::function<void(bool)> done) {
                 WriteStatus(service, status, expected, std::move(done));
               },
           .on_pools = [this] { forwarder_.OnServersChanged(); },
           .open_requests =
               [this](const ServiceId& pool) {
                 return forwarder_.OpenRequestsOf(pool);
               }}),
      paths_(settings.id, settings.zone),
      groups_(
          settings.id, OptionsOf(settings, suspects_).queue, &loop->timers(),
          [loop] { return loop->now(); },
          {.notify_local_dispatcher =
               [this](const ServiceId& service, const schedule::Event& event) {
                 forwarder_.NotifyLocalDispatcher(service, event);
               },
           .decide =
               [this](const schedule::Decision& decision) {
                 forwarder_.ApplyDecision(decision);
               },
           .send =
               [this](const EntryHostId& host, std::string_view bytes) {
                 peers_->Send(host.str(), bytes);
               },
           .defer =
               [loop](std::function<void()> closure) {
                 loop->Defer(std::move(closure));
               },
           .on_leaving =
               [this](const LeavingServer& server) { OnServerLeaving(server); },
           .on_cooldown =
               [this](const TunnelledCooldown& cooldown) {
                 OnTunnelledCooldown(cooldown);
               },
           .leaving_servers =
               [this, loop] {
                 return directory_.LeavingServers(loop->now());
               }}),
      startup_queue_(
          &loop->timers(), [loop] { return loop->now(); },
          [this](CallerRequest request,
                 std::shared_ptr<http::Responder> responder) {
            forwarder_.Accept(std::move(request), std::move(responder));
          }),
      configuration_subscription_(
          {.table = platform_.configuration_table}, platform_.table,
          &loop->timers(), [loop] { return loop->now(); }, SeedOf(settings),
          [this](const auto& rows, bool full_list, absl::Time now) {
            OnConfigurationRows(rows, full_list, now);
          },
          [](bool, absl::Time) {}),
      server_subscription_(
          {.table = platform_.server_table}, platform_.table, &loop->timers(),
          [loop] { return loop->now(); }, SeedOf(settings) + 1,
          [this](const auto& rows, bool full_list, absl::Time now) {
            OnServerRows(rows, full_list, now);
          },
          [](bool, absl::Time) {}),
      status_subscription_(
          {.table = platform_.status_table}, platform_.table, &loop->timers(),
          [loop] { return loop->now(); }, SeedOf(settings) + 2,
          [this](const auto& rows, bool full_list, absl::Time now) {
            OnStatusRows(rows, full_list, now);
          },
          [](bool, absl::Time) {}),
      sharing_(
          settings.id.str(),
          {&configuration_subscription_, &server_subscription_,
           &status_subscription_},
          {.propagate =
               [this](const TableChanges& changes) {
                 SendChanges(peers_->fleet().LiveZonePeers(), changes);
               },
           .query = [this](const TableQuery& question,
                           int tries) { QueryPeers(question, tries); },
           .reply =
               [this](const std::string& host, const TableChanges& changes) {
                 SendChanges({host}, changes);
               }},
          loop->now()) {}

Host::~Host() {
  for (const TimerId timer : timers_) loop_->timers().Cancel(timer);
  loop_->timers().Cancel(expiry_timer_);
}

Outcome<std::unique_ptr<Host>> Host::Start(
    const settings::GatewaySettings& settings, Platform platform,
    loop::EventLoop* loop, log::BoundedLog* log) {
  std::unique_ptr<Host> host(
      new Host(settings, std::move(platform), loop, log));
  if (auto error = host->Listen()) return *error;
  if (auto error = host->StartPeers()) return *error;
  host->forwarder_.OnWrongServer([self = host.get()](const ServerId& server) {
    // Another server responds at this address, whatever the registration says.
    if (self->directory_.Update(server.str(), std::nullopt,
                                self->loop_->now())) {
      self->OnServersChanged();
    }
  });
  host->forwarder_.OnServerLeaving(
      [self = host.get()](const LeavingServer& server, const ServerPath& path) {
        self->OnServerLeaving(server);
        self->groups_.SendLeaving(server, path.peer);
      });
  host->forwarder_.OnTunnelledCooldown(
      [self = host.get()](const TunnelledCooldown& cooldown,
                          const EntryHostId& peer) {
        self->groups_.SendCooldown(cooldown, peer);
      });
  host->timers_.push_back(
      loop->timers().Every(loop->now() + kLogFlushInterval, kLogFlushInterval,
                           [log](absl::Time) { log->Flush(); }));
  host->forwarder_.SetGroupLink(&host->groups_);
  if (!settings.has_rollouts) host->rollouts_.AllowAllVersions();
  host->forwarder_.SetRollouts(&host->rollouts_);
  host->forwarder_.SetPaths(&host->paths_);
  host->streams_.SetRecords(&host->records_);
  host->forwarder_.SetStreamVersions(&host->streams_);
  host->configuration_subscription_.Start();
  host->server_subscription_.Start();
  host->records_.Start();
  LOG(INFO) << "event=started zone=" << settings.zone
            << " callers=" << settings::Format(settings.callers)
            << " table=" << settings::Format(settings.table);
  return host;
}

std::optional<Error> Host::Listen() {
  auto listen =
      [this](
          const settings::Endpoint& endpoint, unsigned connections,
          http::RequestHandler handler,
          std::unique_ptr<http::LoopServer>* server) -> std::optional<Error> {
    http::LoopServerSettings server_settings;
    server_settings.address = endpoint.ip;
    server_settings.port = static_cast<std::uint16_t>(endpoint.port);
    server_settings.limits.max_connections = connections;
    server_settings.limits.max_header_bytes = kMinHeaderBytes;
    server_settings.limits.max_body_bytes = kMaxBodyBytes;
    server_settings.limits.receive_buffer_bytes = kReceiveBufferBytes;
    server_settings.budget = budget_;
    auto started =
        http::LoopServer::Start(loop_, server_settings, std::move(handler));
    if (!started.ok()) return started.error();
    *server = std::move(started.value());
    return std::nullopt;
  };
  constexpr unsigned kMaxAdminConnections = 32;
  if (auto error = listen(
          settings_.callers, kMaxCallerConnections,
          [this](http::Request request, auto responder) {
            HandleRequest(std::move(request), std::move(responder));
          },
          &caller_server_)) {
    return error;
  }
  if (auto error = listen(
          settings_.ready, kMaxAdminConnections,
          [this](const http::Request& request, auto responder) {
            HandleReadinessCheck(request, *responder);
          },
          &readiness_server_)) {
    return error;
  }
  return listen(
      settings_.metrics, kMaxAdminConnections,
      [this](const http::Request&, auto responder) {
        responder->Respond(200, {{"Content-Type", "text/plain"}},
                           BuildMetricsText());
      },
      &metrics_server_);
}

void Host::HandleRequest(http::Request request,
                         std::shared_ptr<http::Responder> responder) {
  auto parsed = platform_.read_request(std::move(request));
  if (!parsed.ok()) {
    LOG(INFO) << "event=malformed code="
              << static_cast<int>(parsed.error().code) << " cause=\""
              << parsed.error().detail << "\"";
    metrics_.CountMalformed(parsed.error().code);
    return http::RespondProblem(*responder, parsed.error());
  }
  if (!initialized()) {
    return startup_queue_.Hold(std::move(parsed.value()), std::move(responder));
  }
  forwarder_.Accept(std::move(parsed.value()), std::move(responder));
}

void Host::HandleReadinessCheck(const http::Request& request,
                                http::Responder& responder) const {
  if (request.path != settings_.ready_path) {
    return http::RespondProblem(responder,
                                {Code::kUnknownPath, settings_.ready_path});
  }
  responder.Respond(ready() ? 200 : 503, {}, "");
}

bool Host::initialized() const {
  return forwarder_.configured() && server_subscription_.complete();
}

bool Host::ready() const { return initialized() && !draining_; }

void Host::OnConfigurationRows(const std::vector<TableRow>& rows,
                               bool full_list, absl::Time now) {
  // Orders come first: with the configuration the first requests are sent, and
  // none may reach a version that an order has yet to allow.
  ReadOrders(rows, full_list, now);
  for (const TableRow& row : rows) {
    if (row.key == platform_.configuration_key && !row.removed) {
      ReadConfigurationRow(row);
    }
  }
  if (initialized()) startup_queue_.Release();
}

void Host::ReadConfigurationRow(const TableRow& row) {
  auto parsed = platform_.read_configuration(row.value);
  if (!parsed.ok()) {
    LOG(ERROR) << "event=configuration-unreadable code="
               << static_cast<int>(parsed.error().code) << " cause=\""
               << parsed.error().detail << "\"";
    return;
  }
  caller_server_->SetIdleTimeout(parsed.value().limits.idle_timeout);
  caller_server_->SetMaxHeaderBytes(static_cast<std::size_t>(std::clamp(
      parsed.value().limits.header_bytes, kMinHeaderBytes, kMaxHeaderBytes)));
  forwarder_.SetConfiguration(std::move(parsed.value()));
}

void Host::OnServerRows(const std::vector<TableRow>& rows, bool full_list,
                        absl::Time now) {
  UpdateTableRecovery(now);
  std::vector<std::pair<std::string, ServerEntry>> listed;
  bool changed = false;
  for (const TableRow& row : rows) {
    std::optional<ServerEntry> entry;
    if (!row.removed) {
      auto parsed = platform_.read_server(row.key, row.value);
      if (parsed.ok()) entry = std::move(parsed.value());
      if (!parsed.ok()) {
        LOG(WARNING) << "event=server-unreadable cause=\""
                     << parsed.error().detail << "\"";
      }
    }
    LOG(INFO) << "event=server-registration server=" << row.key
              << " usable=" << entry.has_value()
              << " draining=" << (entry && entry->draining)
              << " started=" << (entry ? entry->started : 0)
              << " software=" << (entry ? entry->version : "");
    if (full_list && entry) listed.emplace_back(row.key, *entry);
    if (!full_list) changed |= directory_.Update(row.key, entry, now);
  }
  if (full_list) changed = directory_.Replace(listed, now);
  if (changed || full_list) OnServersChanged();
  ScheduleRemovals();
}

void Host::UpdateTableRecovery(absl::Time now) {
  const absl::Time recovered_at = server_subscription_.recovered_at();
  if (recovered_at == directory_.table_recovered_at()) return;
  directory_.SetTableRecovered(recovered_at);
  if (directory_.Expire(now)) OnServersChanged();
  ScheduleRemovals();
}

void Host::ScheduleRemovals() {
  loop_->timers().Cancel(expiry_timer_);
  if (directory_.NextExpiry() == absl::InfiniteFuture()) return;
  expiry_timer_ =
      loop_->timers().At(directory_.NextExpiry(), [this](absl::Time at) {
        if (directory_.Expire(at)) OnServersChanged();
        ScheduleRemovals();
      });
}

void Host::OnServerLeaving(const LeavingServer& server) {
  if (directory_.MarkLeaving(server, loop_->now())) OnServersChanged();
  ScheduleRemovals();
}

void Host::OnServersChanged() {
  const std::vector<ServerEntry> servers = directory_.AllServers();
  paths_.SetServers(servers);
  streams_.SetServers(servers);
  forwarder_.OnServersChanged();
  if (initialized()) startup_queue_.Release();
}

void Host::OnTunnelledCooldown(const TunnelledCooldown& cooldown) {
  const ServerEntry* const server = directory_.Find(cooldown.server);
  if (server == nullptr || IsRestart(cooldown.started, server->started)) return;
  const bool extends =
      forwarder_.cooldowns().OnAsked(*server, cooldown.left, loop_->now());
  LOG(INFO) << "event=cooldown-asked server=" << cooldown.server
            << " request=- for_ms=" << absl::ToInt64Milliseconds(cooldown.left)
            << " extends=" << extends << " tunnelled=1";
}

void Host::Drain() {
  if (draining_) return;
  draining_ = true;
  const absl::Time now = loop_->now();
  drain_ = PlanDrain(now, settings_.grace);
  LOG(INFO) << "event=draining open=" << forwarder_.open_requests()
            << " accepts_all_for_ms="
            << absl::ToInt64Milliseconds(drain_.accept_all_until - now)
            << " answers_all_in_ms="
            << absl::ToInt64Milliseconds(drain_.answer_all - now)
            << " ends_in_ms=" << absl::ToInt64Milliseconds(drain_.end - now);
  forwarder_.Drain(drain_);
  groups_.Drain();
  records_.Drain();
  path_monitor_->Drain();
  TimerService& timers = loop_->timers();
  timers_.push_back(timers.At(drain_.close_idle_from, [this](absl::Time) {
    caller_server_->SetKeepAliveTimeout(kDrainIdleTimeout);
  }));
  timers_.push_back(timers.At(drain_.answer_all, [this](absl::Time) {
    caller_server_->StopAccepting();
    forwarder_.AnswerAll();
  }));
  timers_.push_back(timers.Every(drain_.accept_all_until, kDrainCheckInterval,
                                 [this](absl::Time at) { CheckDrained(at); }));
}

void Host::CheckDrained(absl::Time now) {
  const bool done = forwarder_.open_requests() == 0 &&
                    path_monitor_->tunnels().open_tunnels() == 0 &&
                    caller_server_->open_connections() == 0;
  if (!done && now < drain_.end) return;
  LOG(INFO) << "event=stopped open=" << forwarder_.open_requests()
            << " tunnels=" << path_monitor_->tunnels().open_tunnels()
            << " connections=" << caller_server_->open_connections();
  loop_->Stop();
}

}  // namespace gentianlb::gateway
