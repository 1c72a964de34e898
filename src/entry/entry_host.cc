#include "entry/entry_host.h"

#include <glog/logging.h>

#include <utility>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

namespace gentianlb::entry {
namespace {

// Between "not ready" and the first refusal: balancers ask /readyz about once a
// second and still send here until they have seen it.
constexpr absl::Duration kDrainNotice = absl::Seconds(2);

// When a caller of a host that isn't ready may try again.
constexpr absl::Duration kNotReadyRetry = absl::Seconds(2);

constexpr std::string_view kAnswersPath = "/answers/";

// A snapshot of 47,000 workspaces, handed on by a peer, is read in parts; an
// intent of that size is the largest message on the control interface.
constexpr std::size_t kControlBodyBytes = 64 << 20;

std::string Endpoint(const settings::Endpoint& endpoint, std::uint16_t port) {
  return settings::Format(settings::Endpoint{endpoint.ip, port});
}

http::ServerSettings ServerSettingsOf(const settings::Endpoint& endpoint,
                                      const settings::TlsSettings& tls,
                                      const settings::LimitSettings& limits) {
  http::ServerSettings server;
  server.address = endpoint.ip;
  server.port = static_cast<std::uint16_t>(endpoint.port);
  server.limits.max_body_bytes = static_cast<std::size_t>(limits.body_bytes);
  server.limits.max_header_bytes =
      static_cast<std::size_t>(limits.header_bytes);
  server.limits.idle_timeout = limits.idle_timeout;
  server.limits.max_connections = static_cast<unsigned>(limits.connections);
  server.threads = static_cast<unsigned>(limits.threads);
  server.certificate_pem = tls.certificate_pem;
  server.private_key_pem = tls.private_key_pem;
  return server;
}

bool HasKey(const http::Request& request, std::string_view key) {
  constexpr std::string_view kScheme = "Bearer ";
  std::string_view value = request.header("Authorization");
  if (key.empty() || !value.starts_with(kScheme)) return false;
  return EqualInConstantTime(value.substr(kScheme.size()), key);
}

}  // namespace

EntryHost::EntryHost(const settings::HostSettings& settings)
    : settings_(settings),
      incarnation_(absl::ToUnixMicros(absl::Now())),
      recorder_(settings.id, incarnation_,
                static_cast<std::size_t>(settings.timeline_events)) {}

Outcome<std::unique_ptr<EntryHost>> EntryHost::Start(
    const settings::HostSettings& settings) {
  std::unique_ptr<EntryHost> host(new EntryHost(settings));
  Outcome<bool> listening = host->Listen();
  if (!listening.ok()) return listening.error();
  host->recorder_.Record(timeline::EventKind::kHostStarted, settings.id.str(),
                         "zone=" + settings.zone.str());
  host->Build();
  host->loop_.Start();
  host->loop_.Post([raw = host.get()] { raw->StartParts(); });
  return host;
}

// What can still call a part stops before the parts are destroyed: checks of
// the servers, servers, then transfers, whose ends refer to the parts, then the
// control thread.
EntryHost::~EntryHost() {
  if (draining_) StopDrainChecks();
  callers_.reset();
  control_.reset();
  traffic_client_.Stop();
  control_client_.Stop();
  loop_.Stop();
}

Outcome<bool> EntryHost::Listen() {
  auto callers = http::Server::Start(
      ServerSettingsOf(settings_.callers, settings_.callers_tls,
                       settings_.limits),
      [this](const http::Request& request,
             const std::shared_ptr<http::Responder>& responder) {
        OnCallerMessage(request, responder);
      });
  if (!callers.ok()) return callers.error();
  callers_ = std::move(callers.value());
  http::ServerSettings control = ServerSettingsOf(
      settings_.control, settings_.control_tls, settings_.limits);
  control.limits.max_body_bytes = kControlBodyBytes;
  auto server = http::Server::Start(
      control, [this](const http::Request& request,
                      const std::shared_ptr<http::Responder>& responder) {
        OnControlMessage(request, responder);
      });
  if (!server.ok()) return server.error();
  control_ = std::move(server.value());
  return true;
}

void EntryHost::Build() {
  PeerOptions peer_options;
  peer_options.self.id = settings_.id;
  peer_options.self.zone = settings_.zone;
  peer_options.self.address = Endpoint(settings_.control, control_port());
  peer_options.self.incarnation = incarnation_;
  peer_options.membership.probe_period = settings_.membership.heartbeat;
  peer_options.membership.ack_timeout = settings_.membership.heartbeat / 2;
  peer_options.membership.suspicion_timeout =
      settings_.membership.suspect_after;
  peer_options.membership.dead_retention = settings_.membership.forget_after;
  peer_options.membership.seed = static_cast<std::uint64_t>(incarnation_);
  for (const settings::PeerSettings& peer : settings_.peers) {
    peer_options.seeds.push_back({peer.id, settings::Format(peer.control)});
  }
  peer_options.key = settings_.peer_key;
  peers_ =
      std::make_unique<Peers>(std::move(peer_options), &loop_, &control_client_,
                              &recorder_, MakePeerHooks());
  board_ = std::make_unique<DispatchBoard>(settings_.id, MakeBoardHooks());
  poller_ = std::make_unique<ServerPoller>(&loop_, &control_client_,
                                           MakePollerHooks());

  store::ClientOptions platform_options;
  platform_options.address = settings::Format(settings_.platform.addresses[0]);
  platform_options.host_name =
      settings_.id.str() + "-" + std::to_string(incarnation_);
  platform_ = std::make_unique<store::Client>(
      platform_options, &control_client_, &loop_.timers(),
      [this](std::function<void()> closure) {
        loop_.Post(std::move(closure));
      });
  platform_->OnStateChange([this](bool up) { OnPlatformState(up); });

  claim::ClaimOptions claim_options;
  claim_options.self = settings_.id;
  claim_options.incarnation = incarnation_;
  asker_ = std::make_unique<PeerAsker>(peers_.get());
  claims_ = std::make_unique<Claims>(claim_options, platform_.get(),
                                     asker_.get(), LoopClock());
  sweeper_ = std::make_unique<claim::Sweeper<store::Client>>(
      claim::SweepOptions(), settings_.id, platform_.get());
  calls_ = std::make_unique<Calls>(
      CallOptions{settings_.id, incarnation_, settings_.zone}, &loop_,
      &traffic_client_, &recorder_, board_.get(), claims_.get(), peers_.get(),
      &metrics_);

  config::FollowOptions follow;
  follow.host = settings_.id;
  follow.period = settings_.follow.period;
  config_link_ = std::make_unique<ConfigLink>(peers_.get());
  follower_ =
      std::make_unique<Follower>(follow, *platform_, *config_link_,
                                 [this](const config::InForcePtr& in_force) {
                                   OnConfiguration(in_force);
                                 });
  config_service_ = std::make_unique<config::Service<store::Client>>(
      *platform_, [this] { return follower_->current(); },
      [this] { return PlanState(); });
  config_service_->OnConfirmed([this](config::Version version) {
    follower_->OnNews(version, settings_.id, loop_.now());
  });

  engines_ =
      std::make_unique<EngineClient>(&loop_, &control_client_, &recorder_);
  orders_ = std::make_unique<Orders>(orders::RunnerOptions(), settings_.id,
                                     incarnation_, platform_.get(),
                                     engines_.get(), LoopClock());

  peers_->Register(&peer_methods_);
  RegisterClaims(&peer_methods_, claims_.get());
  RegisterConfigRows(&peer_methods_, follower_.get());
  RegisterOperatorMethods();
}

ConfigIndexPtr EntryHost::config() const {
  absl::MutexLock lock(&config_mutex_);
  return config_;
}

// Runs on a server thread: what is malformed goes no further.
void EntryHost::OnCallerMessage(
    const http::Request& request,
    const std::shared_ptr<http::Responder>& responder) {
  if (request.path == "/healthz") {
    responder->Respond(200, {{"Content-Type", "text/plain"}}, "up\n");
    return;
  }
  if (request.path == "/readyz") {
    bool ready = ready_.load() && !draining_.load();
    responder->Respond(ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                       ready ? "ready\n" : "not ready\n");
    return;
  }
  if (request.path == "/metrics") {
    loop_.Post([this, responder] {
      CollectGauges();
      responder->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                         metrics_.Text());
    });
    return;
  }
  ConfigIndexPtr in_force = config();
  if (in_force == nullptr || !ready_.load()) {
    metrics_.CountMalformed(Code::kNotReady);
    http::RespondProblem(*responder, {Code::kNotReady, settings_.id.str()},
                         kNotReadyRetry);
    return;
  }
  Outcome<CallerRequest> call =
      Capture([&] { return ReadCallerRequest(request, *in_force); });
  if (!call.ok()) {
    metrics_.CountMalformed(call.error().code);
    http::RespondProblem(*responder, call.error());
    return;
  }
  loop_.Post([this, call = std::move(call.value()), responder] {
    calls_->Accept(call, responder);
  });
}

void EntryHost::OnControlMessage(
    const http::Request& request,
    const std::shared_ptr<http::Responder>& responder) {
  bool peer = HasKey(request, settings_.peer_key);
  bool is_operator = HasKey(request, settings_.operator_key);
  if (!peer && !is_operator) {
    metrics_.CountMalformed(Code::kBadPeerKey);
    http::RespondProblem(*responder, {Code::kBadPeerKey, "no valid key"});
    return;
  }
  if (request.method == "POST" && request.path == "/rpc") {
    // The key decides which methods there are: a peer can't change the
    // configuration, and an operator can't speak for a peer.
    OnRpc(is_operator ? &operator_methods_ : &peer_methods_, request.body,
          responder);
    return;
  }
  if (peer && request.method == "GET" &&
      request.path.starts_with(kAnswersPath)) {
    std::string key = request.path.substr(kAnswersPath.size());
    loop_.Post([this, key, responder] { calls_->ServeAnswer(key, responder); });
    return;
  }
  http::RespondProblem(*responder, {Code::kUnknownPath, request.path});
}

void EntryHost::OnRpc(rpc::AsyncMethodTable* methods, std::string body,
                      std::shared_ptr<http::Responder> responder) {
  loop_.Post(
      [methods, body = std::move(body), responder = std::move(responder)] {
        methods->Handle(body, [responder](std::string answer) {
          responder->Respond(200, {{"Content-Type", "application/json"}},
                             std::move(answer));
        });
      });
}

void EntryHost::Drain() {
  if (draining_.exchange(true)) return;
  recorder_.Record(timeline::EventKind::kHostDraining, settings_.id.str());
  LOG(INFO) << "event=draining host=" << settings_.id;
  loop_.Post([this] {
    peers_->Leave();
    loop_.timers().At(loop_.now() + kDrainNotice, [this](absl::Time) {
      refusing_ = true;
      calls_->RefuseNew();
      loop_.timers().Every(loop_.now(), absl::Milliseconds(50),
                           [this](absl::Time) { CheckDrained(); });
    });
  });
}

void EntryHost::StopDrainChecks() {
  absl::Notification done;
  loop_.Post([&] {
    checks_drain_ = false;
    done.Notify();
  });
  done.WaitForNotification();
}

void EntryHost::CheckDrained() {
  if (!checks_drain_) return;
  // A call has ended once its last bytes are queued. The servers' threads have
  // yet to send them, and callers would miss the rest of their answers, also
  // those for whom a peer reads from here.
  drained_ = calls_->open() == 0 && callers_->open_responses() == 0 &&
             control_->open_responses() == 0;
}

std::vector<RequestId> EntryHost::OpenRequests() {
  std::vector<RequestId> ids;
  absl::Notification done;
  loop_.Post([&] {
    ids = calls_->OpenIds();
    done.Notify();
  });
  done.WaitForNotification();
  return ids;
}

}  // namespace gentianlb::entry
