#include "gateway/server_prober.h"

#include <unistd.h>

#include <utility>

namespace gentianlb::gateway {
namespace {

// Shorter than TCP's first retransmission: waiting longer shows nothing more.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(150);

}  // namespace

std::string_view Name(ServerProbe probe) {
  switch (probe) {
    case ServerProbe::kSame:
      return "same";
    case ServerProbe::kOther:
      return "other";
    case ServerProbe::kUnidentified:
      return "unidentified";
    case ServerProbe::kRefused:
      return "refused";
    case ServerProbe::kUnanswered:
      return "unanswered";
  }
  return "";
}

ServerProber::ServerProber(loop::EventLoop* loop, IdentityPort identities)
    : loop_(loop), identities_(std::move(identities)) {}

ServerProber::~ServerProber() {
  for (const auto& [id, running] : running_) {
    if (running.connector == nullptr) identities_.cancel(running.question);
  }
}

std::uint64_t ServerProber::Probe(const ServerEntry& server,
                                  const Service* service,
                                  std::function<void(ServerProbe)> done) {
  const std::uint64_t id = next_id_++;
  Running& running = running_[id];
  running.address = server.address;
  running.done = std::move(done);
  running.question = identities_.ask(
      server, service, [this, id](ServerProbe probe) { OnAnswer(id, probe); });
  return id;
}

void ServerProber::Cancel(std::uint64_t id) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  if (found->second.connector == nullptr) {
    identities_.cancel(found->second.question);
  }
  running_.erase(found);
}

void ServerProber::OnAnswer(std::uint64_t id, ServerProbe probe) {
  if (probe != ServerProbe::kUnanswered) return Finish(id, probe);
  Running& running = running_.at(id);
  running.connector = std::make_unique<tunnel::Connector>(
      loop_, running.address, kConnectTimeout,
      [this, id](int socket, tunnel::ConnectResult result) {
        OnConnected(id, socket, result);
      });
}

// A connection that can be made now, without an answer, shows nothing.
void ServerProber::OnConnected(std::uint64_t id, int socket,
                               tunnel::ConnectResult result) {
  if (socket >= 0) close(socket);
  const bool refused = result == tunnel::ConnectResult::kRefused;
  Finish(id, refused ? ServerProbe::kRefused : ServerProbe::kUnanswered);
}

void ServerProber::Finish(std::uint64_t id, ServerProbe probe) {
  const auto found = running_.find(id);
  const auto done = std::move(found->second.done);
  running_.erase(found);
  done(probe);
}

}  // namespace gentianlb::gateway
