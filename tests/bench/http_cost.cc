// One exchange between two hosts over HTTP on loopback, as the peers use it:
// client and server of the product in this process. Processor time is that of
// the whole process, so it holds both ends and the kernel's part of them.

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/blocking_counter.h"
#include "costs.h"
#include "http/client.h"
#include "http/server.h"
#include "meter.h"

namespace gentianlb::bench {
namespace {

http::ClientRequest Message(std::uint16_t port, int body_bytes) {
  http::ClientRequest request;
  request.method = "POST";
  request.url = absl::StrCat("http://127.0.0.1:", port, "/rpc");
  request.headers = {{"Authorization", "Bearer key-of-the-peers"},
                     {"Content-Type", "application/json"}};
  request.body = std::string(body_bytes, 'x');
  return request;
}

// Sends `exchanges` messages, `in_flight` at a time.
std::vector<double> Measure(int body_bytes, int in_flight, int exchanges) {
  auto server = http::Server::Start(
      {}, [](const http::Request&, const std::shared_ptr<http::Responder>& to) {
        to->Respond(200, {}, R"({"id":1,"jsonrpc":"2.0","result":true})");
      });
  if (!server.ok()) return {};
  http::Client client;
  std::uint16_t port = server.value()->port();
  client.FetchAndWait(Message(port, body_bytes));
  double before = ProcessSeconds();
  for (int sent = 0; sent < exchanges; sent += in_flight) {
    absl::BlockingCounter open(in_flight);
    for (int i = 0; i < in_flight; ++i) {
      client.Fetch(Message(port, body_bytes),
                   [&open](const http::Reply&) { open.DecrementCount(); });
    }
    open.Wait();
  }
  double spent = ProcessSeconds() - before;
  return {static_cast<double>(body_bytes), static_cast<double>(in_flight),
          static_cast<double>(exchanges), spent * 1e6 / exchanges};
}

}  // namespace

Table MeasureHttp(bool quick) {
  int exchanges = quick ? 400 : 4'000;
  return {"http",
          {"body bytes", "in flight", "exchanges", "us/exchange, both ends"},
          {Measure(500, 1, exchanges), Measure(500, 8, exchanges),
           Measure(5'000, 1, exchanges), Measure(5'000, 8, exchanges)}};
}

}  // namespace gentianlb::bench
