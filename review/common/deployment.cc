#include "deployment.h"

#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr char kHost[] = "ficu95.example";
constexpr char kKey[] = "i9n73hh2b9wu3fexd9dn";

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string RouteJson(const RouteSpec& route) {
  const bool streams = route.type == "streaming";
  std::string json =
      "{\"name\":" + Quoted(route.name) + ",\"host\":" + Quoted(kHost) +
      ",\"prefix\":" + Quoted(route.prefix) +
      ",\"route_type\":" + Quoted(route.type) +
      ",\"timeout_ms\":" + std::to_string(route.timeout_ms) +
      ",\"slo_ms\":" + std::to_string(route.slo_ms) +
      ",\"priority\":1,\"service\":" + Quoted(route.service) +
      ",\"max_attempts\":" + std::to_string(route.max_attempts) +
      ",\"public\":false,\"resumable\":" + (route.resumable ? "true" : "false");
  if (streams) json += ",\"sticky\":true,\"gap_target_ms\":250";
  return json + "}";
}

std::string ServiceJson(const ServiceSpec& service) {
  std::string json = "{\"name\":" + Quoted(service.name) +
                     ",\"health_path\":\"/healthz\",\"max_conns\":620,"
                     "\"protocol\":\"h1\",\"tls\":false";
  if (service.engine) {
    json += ",\"engine\":{\"slots\":" + std::to_string(service.slots) +
            ",\"kv_capacity\":779558,\"stride\":6,"
            "\"models\":[{\"name\":\"m\"}]}";
  }
  return json + "}";
}

}  // namespace

std::string Configuration(const std::vector<RouteSpec>& routes,
                          const std::vector<ServiceSpec>& services) {
  std::string json = "{\"version\":7,\"routes\":[";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    json += (i > 0 ? "," : "") + RouteJson(routes[i]);
  }
  json += "],\"services\":[";
  for (std::size_t i = 0; i < services.size(); ++i) {
    json += (i > 0 ? "," : "") + ServiceJson(services[i]);
  }
  return json +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[" +
         Quoted(kKey) +
         "],\"priority\":1,\"unit\":\"tokens\",\"uncached_tokens\":200,"
         "\"rate_per_s\":0,\"burst\":0}]}";
}

Headers ClientHeaders(const std::string& id, int deadline_ms) {
  return {{"Host", kHost},
          {"Request-Id", id},
          {"Deadline-Ms", std::to_string(deadline_ms)},
          {"Authorization", std::string("Bearer ") + kKey}};
}

Headers PromptHeaders(const std::string& id, int deadline_ms,
                      const std::string& parts) {
  Headers headers = ClientHeaders(id, deadline_ms);
  headers.emplace_back("Model", "m");
  headers.emplace_back("Token-Count", "700,360");
  headers.emplace_back("Prefix-Hash", parts);
  return headers;
}

Answer Call(const Gateway& gateway, const std::string& text) {
  const auto socket = gateway.Connect();
  if (socket == nullptr || !socket->Send(text)) return {};
  return ReadAnswer(*socket);
}

std::vector<int> EventIds(const std::string& body) {
  std::vector<int> ids;
  std::size_t start = 0;
  std::size_t end = body.find("\n\n");
  while (end != std::string::npos) {
    const std::string event = body.substr(start, end - start);
    const std::size_t id = event.find("id: ");
    if (id != std::string::npos) ids.push_back(std::atoi(&event[id + 4]));
    start = end + 2;
    end = body.find("\n\n", start);
  }
  return ids;
}

ModelServer::ModelServer(std::string ip, std::string id, Serve serve)
    : ip_(std::move(ip)), id_(std::move(id)), serve_(std::move(serve)) {
  Start();
}

ModelServer::~ModelServer() { Crash(); }

void ModelServer::Start() {
  listener_ = std::make_unique<Listener>(ip_, port_, [this](Socket& socket) {
    Request request;
    while (ReadRequest(socket, &request)) {
      const std::string expected = request.Header("Expect-Instance");
      if (!expected.empty() && expected != id_) {
        socket.Send(
            AnswerText("421 Misdirected Request", {{"Not-Executed", "1"}}, ""));
        continue;
      }
      if (!serve_(socket, request)) return;
    }
  });
  port_ = listener_->port();
  running_ = true;
}

void ModelServer::Crash() {
  running_ = false;
  listener_.reset();
}

std::string ModelServer::address() const {
  return ip_ + ":" + std::to_string(port_);
}

}  // namespace review
