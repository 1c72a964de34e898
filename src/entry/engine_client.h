// Orders to model engines and questions about them, over HTTP, as
// docs/PROTOCOLS.md gives them. Owned by the control thread.

#ifndef GENTIANLB_ENTRY_ENGINE_CLIENT_H_
#define GENTIANLB_ENTRY_ENGINE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "entry/config_index.h"
#include "entry/control_loop.h"
#include "http/client.h"
#include "orders/order_runner.h"
#include "store/client.h"
#include "timeline/recorder.h"

namespace gentianlb::entry {

// Fulfils orders::EngineService.
class EngineClient {
 public:
  EngineClient(ControlLoop* loop, http::Client* client,
               timeline::Recorder* recorder);

  // Where the servers are.
  void Configure(ConfigIndexPtr config) { config_ = std::move(config); }

  void ReadState(const ServerId& server,
                 std::function<void(Outcome<orders::EngineState>)> state);
  void SendOrder(const ServerId& server, const orders::Order& order,
                 std::function<void(orders::OrderReply)> reply);
  void ReadProgress(const ServerId& server, const std::string& id,
                    std::function<void(Outcome<orders::OrderProgress>)> done);

 private:
  http::ClientRequest MakeRequest(const ServerId& server,
                                  std::string_view path) const;

  // Sends, and gives the reply to `done` on the control thread.
  void Fetch(http::ClientRequest request,
             std::function<void(const http::Reply&)> done);

  ControlLoop* const loop_;
  http::Client* const client_;
  timeline::Recorder* const recorder_;
  ConfigIndexPtr config_;
};

// What the replies say.
Outcome<orders::EngineState> ReadEngineState(const http::Reply& reply);
orders::OrderReply ReadOrderReply(const http::Reply& reply);
Outcome<orders::OrderProgress> ReadOrderProgress(const http::Reply& reply);

using Orders = orders::OrderRunner<store::Client, EngineClient, LoopClock>;

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_ENGINE_CLIENT_H_
