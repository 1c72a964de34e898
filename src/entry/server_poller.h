// Asks the backend servers of the domains dispatched here for their load and
// cache news, and judges their health. Owned by the control thread.

#ifndef GENTIANLB_ENTRY_SERVER_POLLER_H_
#define GENTIANLB_ENTRY_SERVER_POLLER_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "entry/config_index.h"
#include "entry/control_loop.h"
#include "entry/server_watch.h"
#include "entry/wire.h"
#include "http/client.h"

namespace gentianlb::entry {

struct PollerHooks {
  // A load report, cache news or a change of health, for the dispatcher.
  std::function<void(const Domain& domain, schedule::Event event)> on_event;
  std::function<void(const ServerId& server, schedule::ServerHealth health)>
      on_health;
};

class ServerPoller {
 public:
  ServerPoller(ControlLoop* loop, http::Client* client, PollerHooks hooks);

  // Polls the servers of these domains from now on, and no others.
  void SetDomains(ConfigIndexPtr config, const std::vector<Domain>& domains);

  // The platform's list of servers that are leaving.
  void SetLeaving(std::set<ServerId> leaving);

  // kAlive for a server that is not watched here.
  schedule::ServerHealth HealthOf(const ServerId& server) const;

 private:
  struct Watched {
    Domain domain;
    std::string url;  // http://IP:PORT
    bool model = true;
    ServerWatch watch;
    TimerId timer = 0;
    std::uint64_t cache_sequence = 0;
    std::uint64_t generation = 0;
  };

  void Poll(const ServerId& id);
  // Sends a question; `handler` gets the reply if the server is still watched.
  using Handler = void (ServerPoller::*)(const ServerId& id, Watched& watched,
                                         const http::Reply& reply);
  void Ask(const ServerId& id, const std::string& path, Handler handler);
  void OnLoad(const ServerId& id, Watched& watched, const http::Reply& reply);
  void OnCache(const ServerId& id, Watched& watched, const http::Reply& reply);
  void Report(const ServerId& id, Watched& watched,
              std::optional<schedule::ServerHealth> health);

  ControlLoop* const loop_;
  http::Client* const client_;
  const PollerHooks hooks_;
  std::map<ServerId, Watched> watched_;
  std::set<ServerId> leaving_;
  std::uint64_t next_generation_ = 1;
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_SERVER_POLLER_H_
