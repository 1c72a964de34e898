// A server answers through a peer's tunnel, without length or chunks, and the
// peer's process is killed. The caller's stream ends as if it were complete.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace review {
namespace {

constexpr char kConfiguration[] = R"({"version":7,
 "routes":[
  {"name":"chat-answer","host":"llm.example","prefix":"/chat/",
   "route_type":"streaming","timeout_ms":12000,"slo_ms":500,"priority":1,
   "service":"sock-llm","max_attempts":1,"public":false,"sticky":true,
   "resumable":false,"gap_target_ms":250}],
 "services":[{"name":"sock-llm","health_path":"/healthz","max_conns":620,
  "protocol":"h1","tls":false,"engine":{"slots":18,"kv_capacity":779558,
  "stride":6,"models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"city","api_keys":["key-city"],"priority":1,
  "unit":"tokens","uncached_tokens":200,"rate_per_s":266600,
  "burst":266600}]})";

constexpr int kStreams = 6;
constexpr int kEvents = 40;
constexpr std::int64_t kEventIntervalMs = 100;

// The path of the first entry host to the server is lost for so long. It ends
// before that host has given up its attempts to connect (250 ms) and asks a
// peer.
constexpr std::int64_t kPathLostMs = 150;
constexpr std::int64_t kKilledAfterMs = 1500;

// A network path to the server that can be lost: then opening packets are
// dropped, since the queue of new connections is full. Otherwise it relays
// bytes.
class Path {
 public:
  Path(const std::string& ip, int server_port)
      : ip_(ip), server_port_(server_port) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(listener_, generic, size) != 0 || listen(listener_, 0) != 0 ||
        getsockname(listener_, generic, &size) != 0) {
      CouldNotRun("can't listen");
    }
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Path() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (const auto& socket : sockets_) socket->Shutdown();
    for (std::thread& thread : threads_) thread.join();
    close(listener_);
  }

  int port() const { return port_; }

  // Drops opening packets from now on.
  void Lose() {
    lost_ = true;
    // Ends the accept() in progress; these connections fill the queue.
    for (int i = 0; i < 3; ++i) Fill();
    SleepMs(20);
  }
  void Restore() {
    fillers_.clear();
    lost_ = false;
  }

 private:
  void Fill() {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port_));
    inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
    const int filler =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    connect(filler, reinterpret_cast<sockaddr*>(&address), sizeof address);
    fillers_.push_back(std::make_shared<Socket>(filler));
    SleepMs(10);
  }

  void Accept() {
    while (!stopping_) {
      if (lost_) {
        SleepMs(1);
        continue;
      }
      const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      auto client = std::make_shared<Socket>(accepted);
      auto server = Socket::Connect(ip_, server_port_);
      if (server == nullptr) continue;
      client->SetTimeout(60'000);
      server->SetTimeout(60'000);
      sockets_.push_back(client);
      sockets_.push_back(server);
      threads_.emplace_back([client, server] { Relay(*client, *server); });
      threads_.emplace_back([client, server] { Relay(*server, *client); });
    }
  }

  static void Relay(Socket& from, Socket& to) {
    std::string bytes;
    while (from.ReadSome(&bytes) && to.Send(bytes)) bytes.clear();
    to.Shutdown();
    from.Shutdown();
  }

  const std::string ip_;
  const int server_port_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> lost_ = false;
  std::atomic<bool> stopping_ = false;
  std::vector<std::shared_ptr<Socket>> fillers_;
  std::vector<std::shared_ptr<Socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: word" +
         std::to_string(number) + "\n\n";
}

// Writes its streams with neither a length nor chunks; they end with their
// connections.
void ServeStreams(Socket& socket, Record& record) {
  Request request;
  if (!ReadRequest(socket, &request)) return;
  const std::string id = request.Header("Request-Id");
  record.Line("server runs request=" + id);
  bool open = socket.Send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " +
      id + "\r\nServer-Stamp: stamp." + id +
      "\r\nServer-Load: 1,0,18\r\nConnection: close\r\n\r\n");
  int written = 0;
  while (open && written < kEvents) {
    open = !socket.IsClosedByPeer() && socket.Send(Event(++written));
    SleepMs(kEventIntervalMs);
  }
  record.Line("server ended request=" + id +
              " events=" + std::to_string(written) +
              " caller_closed_first=" + std::to_string(!open));
}

int CountEvents(const std::string& body) {
  int count = 0;
  for (std::size_t at = body.find("id: "); at != std::string::npos;
       at = body.find("id: ", at + 1)) {
    ++count;
  }
  return count;
}

int Run(const std::string& path) {
  Record record(path);
  // The peer is the only entry host in the zone of the server.
  Site site(kConfiguration, {"hall-a", "hall-a", "hall-b"});
  Listener server(site.ip(), 0,
                  [&](Socket& socket) { ServeStreams(socket, record); });
  Path network(site.ip(), server.port());
  site.store().Put(
      "servers", "i-7f3a91c2",
      ServerRow("sock-llm", site.ip() + ":" + std::to_string(network.port()),
                "hall-b", 18));
  site.Start();
  if (Trouble()) {
    record.Line("the path of new connections to the server is lost");
    network.Lose();
  }
  std::vector<Answer> answers(kStreams);
  std::vector<std::thread> callers;
  for (int i = 0; i < kStreams; ++i) {
    const auto client = site.gateway(0).Connect();
    if (client == nullptr) CouldNotRun("the gateway doesn't listen");
    const std::string id = "req-" + std::to_string(i + 1);
    client->Send(RequestText("POST", "/chat/1",
                             {{"Host", "llm.example"},
                              {"Request-Id", id},
                              {"Model", "m"},
                              {"Token-Count", "100,240"},
                              {"Prefix-Hash", "5c1e07a2:60,91bd:40"},
                              {"Deadline-Ms", "12000"},
                              {"Authorization", "Bearer key-city"}},
                             "question"));
    record.Line("client sent request=" + id);
    callers.emplace_back(
        [client, &answer = answers[static_cast<std::size_t>(i)]] {
          answer = ReadAnswer(*client);
        });
  }
  if (Trouble()) {
    SleepMs(kPathLostMs);
    network.Restore();
    record.Line("the path is back");
    SleepMs(kKilledAfterMs);
    site.gateway(2).Signal(SIGKILL);
    record.Line("killed process=" + site.gateway(2).name());
  }
  for (std::thread& caller : callers) caller.join();
  int broken = 0;
  int whole = 0;
  for (int i = 0; i < kStreams; ++i) {
    const Answer& answer = answers[static_cast<std::size_t>(i)];
    const int events = CountEvents(answer.body);
    const bool success = answer.status == 200 && answer.complete;
    record.Line("client request=req-" + std::to_string(i + 1) + " answer=" +
                answer.Text() + " events=" + std::to_string(events) + " of " +
                std::to_string(kEvents));
    if (success && events == kEvents) ++whole;
    if (success && events < kEvents) ++broken;
  }
  record.Line("result whole=" + std::to_string(whole) +
              " ended_early_and_look_complete=" + std::to_string(broken));
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  const std::string path = arguments[1];
  return review::RunCase([&] { return review::Run(path); });
}
