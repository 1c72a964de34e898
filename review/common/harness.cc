#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {
namespace {

constexpr int kCallersPort = 8221;
constexpr int kReadyPort = 8224;
constexpr int kPeersPort = 7600;
constexpr int kMetricsPort = 9464;  // Fixed by deploy/gateway.ini.

// `stable_window_ms` of the small deployments.
constexpr std::int64_t kStableWindowMs = 3000;

bool SameName(const std::string& a, const std::string& b) {
  return strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string Find(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) return value;
  }
  return "";
}

bool MakeAddress(const std::string& ip, int port, sockaddr_in* address) {
  *address = {};
  address->sin_family = AF_INET;
  address->sin_port = htons(static_cast<std::uint16_t>(port));
  return inet_pton(AF_INET, ip.c_str(), &address->sin_addr) == 1;
}

bool IsFree(const std::string& ip, int port) {
  sockaddr_in address;
  MakeAddress(ip, port, &address);
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const int bound =
      bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address);
  close(probe);
  return bound == 0;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Fills in the settings template of the deploy file: values and sections that
// are rendered once, which is what the template uses.
std::string Render(std::string text,
                   const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string open = "{{#" + name + "}}";
    const std::string end = "{{/" + name + "}}";
    const std::size_t from = text.find(open);
    if (from == std::string::npos) continue;
    const std::size_t to = text.find(end, from);
    std::string body = text.substr(from + open.size(), to - from - open.size());
    const std::size_t dot = body.find("{{.}}");
    if (dot != std::string::npos) body.replace(dot, 5, value);
    text.replace(from, to + end.size() - from, body);
  }
  // Sections of values that this deployment doesn't have.
  for (std::size_t at = text.find("{{#"); at != std::string::npos;
       at = text.find("{{#")) {
    const std::size_t close = text.find("}}", at);
    const std::string end = "{{/" + text.substr(at + 3, close - at - 3) + "}}";
    const std::size_t to = text.find(end, at);
    text.erase(at, to + end.size() - at);
  }
  for (const auto& [name, value] : values) {
    const std::string place = "{{" + name + "}}";
    for (std::size_t at = text.find(place); at != std::string::npos;
         at = text.find(place)) {
      text.replace(at, place.size(), value);
    }
  }
  return text;
}

constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode64(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
          bits << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool pad = i + j > text.size();
      out += pad ? '=' : kBase64[bits >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

std::string Decode64(const std::string& text) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const char* at = std::strchr(kBase64, c);
    if (at == nullptr || c == '\0') continue;
    bits = bits << 6 | static_cast<std::uint32_t>(at - kBase64);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    out += static_cast<char>(bits >> count & 255);
  }
  return out;
}

std::uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

std::string JsonText(const Json::Value& json) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, json);
}

// Reads headers up to the empty line.
bool ReadHeaders(Socket& socket, Headers* headers) {
  std::string line;
  while (socket.ReadLine(&line)) {
    if (line.empty()) return true;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    headers->emplace_back(line.substr(0, colon), line.substr(value));
  }
  return false;
}

// Reads a body in chunks; false if it ends before its last chunk.
bool ReadChunks(Socket& socket, std::string* body) {
  std::string line;
  while (socket.ReadLine(&line)) {
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    std::string chunk;
    if (size > 0 && !socket.ReadBytes(size, &chunk)) {
      *body += chunk;
      return false;
    }
    *body += chunk;
    if (!socket.ReadLine(&line)) return false;
    if (size == 0) return true;
  }
  return false;
}

}  // namespace

std::int64_t NowMs() {
  using std::chrono::steady_clock;
  static const steady_clock::time_point start = steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             steady_clock::now() - start)
      .count();
}

void SleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void SleepUntilMs(std::int64_t time_ms) {
  SleepMs(std::max<std::int64_t>(0, time_ms - NowMs()));
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

namespace {
struct CannotRun {
  std::string cause;
};
}  // namespace

void CouldNotRun(const std::string& cause) {
  std::cerr << "couldn't run: " << cause << "\n";
  throw CannotRun{cause};
}

int RunCase(const std::function<int()>& run) {
  signal(SIGPIPE, SIG_IGN);
  try {
    return run();
  } catch (const CannotRun&) {
    return kCouldNot;
  }
}

Record::Record(const std::string& path) : file_(path) {
  if (!file_) CouldNotRun("can't write " + path);
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << "t=" << NowMs() << "ms " << text << std::endl;
}

// --- Connections -------------------------------------------------------------

Socket::~Socket() { close(descriptor_); }

std::shared_ptr<Socket> Socket::Connect(const std::string& ip, int port) {
  sockaddr_in address;
  MakeAddress(ip, port, &address);
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connected = std::make_shared<Socket>(descriptor);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  connected->SetTimeout(30'000);
  const int result = connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                             sizeof address);
  return result == 0 ? connected : nullptr;
}

bool Socket::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor_, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Socket::Fill() {
  char block[16 << 10];
  const ssize_t count = recv(descriptor_, block, sizeof block, 0);
  if (count <= 0) return false;
  buffer_.append(block, static_cast<std::size_t>(count));
  return true;
}

bool Socket::ReadLine(std::string* line) {
  std::size_t end = buffer_.find('\n');
  while (end == std::string::npos) {
    if (!Fill()) return false;
    end = buffer_.find('\n');
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 1);
  if (!line->empty() && line->back() == '\r') line->pop_back();
  return true;
}

bool Socket::ReadBytes(std::size_t count, std::string* bytes) {
  bool open = true;
  while (open && buffer_.size() < count) open = Fill();
  const std::size_t got = std::min(count, buffer_.size());
  bytes->append(buffer_, 0, got);
  buffer_.erase(0, got);
  return got == count;
}

bool Socket::ReadToEnd(std::string* bytes) {
  while (Fill()) {
  }
  *bytes = std::move(buffer_);
  buffer_.clear();
  char byte = 0;
  return recv(descriptor_, &byte, 1, MSG_DONTWAIT) == 0;
}

bool Socket::ReadSome(std::string* bytes) {
  if (buffer_.empty() && !Fill()) return false;
  bytes->append(buffer_);
  buffer_.clear();
  return true;
}

void Socket::SetTimeout(std::int64_t milliseconds) {
  timeval timeout = {};
  timeout.tv_sec = milliseconds / 1000;
  timeout.tv_usec = milliseconds % 1000 * 1000;
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
}

void Socket::Shutdown() { shutdown(descriptor_, SHUT_RDWR); }

bool Socket::IsClosedByPeer() const {
  char byte = 0;
  const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// --- Messages ----------------------------------------------------------------

std::string Request::Header(const std::string& name) const {
  return Find(headers, name);
}

std::string Request::Argument(const std::string& name) const {
  const std::size_t question = target.find('?');
  if (question == std::string::npos) return "";
  std::stringstream arguments(target.substr(question + 1));
  std::string one;
  while (std::getline(arguments, one, '&')) {
    if (one.rfind(name + "=", 0) == 0) return one.substr(name.size() + 1);
  }
  return "";
}

std::string Answer::Header(const std::string& name) const {
  return Find(headers, name);
}

std::string Answer::Text() const {
  if (status == 0) return "closed without an answer";
  return std::to_string(status) + (complete ? "" : " cut off");
}

bool ReadRequest(Socket& socket, Request* request) {
  *request = {};
  std::string line;
  if (!socket.ReadLine(&line)) return false;
  std::stringstream words(line);
  words >> request->method >> request->target;
  if (!ReadHeaders(socket, &request->headers)) return false;
  if (SameName(request->Header("Transfer-Encoding"), "chunked")) {
    return ReadChunks(socket, &request->body);
  }
  return socket.ReadBytes(ToNumber(request->Header("Content-Length")),
                          &request->body);
}

Answer ReadAnswer(Socket& socket) {
  Answer answer;
  answer.sent_ms = NowMs();
  std::string line;
  if (socket.ReadLine(&line) && line.size() > 12) {
    answer.status = std::atoi(line.c_str() + 9);
    if (ReadHeaders(socket, &answer.headers)) {
      const std::string length = answer.Header("Content-Length");
      if (SameName(answer.Header("Transfer-Encoding"), "chunked")) {
        answer.complete = ReadChunks(socket, &answer.body);
      } else if (!length.empty()) {
        answer.complete = socket.ReadBytes(ToNumber(length), &answer.body);
      } else {
        answer.complete = socket.ReadToEnd(&answer.body);
      }
    }
  }
  answer.ended_ms = NowMs();
  return answer;
}

std::string RequestText(const std::string& method, const std::string& path,
                        const Headers& headers, const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  if (method != "GET" || !body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string AnswerText(const std::string& status, const Headers& headers,
                       const std::string& body) {
  std::string text = "HTTP/1.1 " + status + "\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

// --- Listener ----------------------------------------------------------------

Listener::Listener(const std::string& ip, int port, Serve serve)
    : serve_(std::move(serve)) {
  sockaddr_in address;
  MakeAddress(ip, port, &address);
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(descriptor_, generic, size) != 0 || listen(descriptor_, 128) != 0 ||
      getsockname(descriptor_, generic, &size) != 0) {
    CouldNotRun("can't listen on " + ip);
  }
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

Listener::~Listener() {
  stopping_ = true;
  shutdown(descriptor_, SHUT_RDWR);
  acceptor_.join();
  close(descriptor_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& weak : sockets_) {
      if (const auto socket = weak.lock()) socket->Shutdown();
    }
  }
  for (std::thread& thread : threads_) thread.join();
}

void Listener::Accept() {
  while (!stopping_) {
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto socket = std::make_shared<Socket>(accepted);
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.push_back(socket);
    // The thread owns the socket: the connection closes when it returns.
    threads_.emplace_back([this, owned = std::move(socket)]() mutable {
      serve_(*owned);
      owned.reset();
    });
  }
}

// --- Store -------------------------------------------------------------------

Store::Store(const std::string& ip) {
  listener_ = std::make_unique<Listener>(
      ip, 0, [this](Socket& socket) { Serve(socket); });
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  listener_.reset();
}

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    rows_[{table, key}] = {value, ++version_, false};
  }
  changed_.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    rows_[{table, key}] = {"", ++version_, true};
  }
  changed_.notify_all();
}

std::size_t Store::Count(const std::string& table) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(rows_.begin(), rows_.end(), [&](const auto& item) {
        return item.first.first == table && !item.second.removed;
      }));
}

void Store::Serve(Socket& socket) {
  Request request;
  while (ReadRequest(socket, &request)) {
    if (!socket.Send(Handle(request))) return;
  }
}

std::string Store::Rows(const std::string& table, std::uint64_t since,
                        bool feed) {
  Json::Value body;
  body["rows"] = Json::arrayValue;
  // In the order of their versions.
  std::map<std::uint64_t, Json::Value> ordered;
  for (const auto& [name, row] : rows_) {
    if (name.first != table || row.version <= since) continue;
    if (!feed && row.removed) continue;
    Json::Value json;
    json["table"] = table;
    json["part"] = "";
    json["key"] = name.second;
    json["ver"] = static_cast<Json::UInt64>(row.version);
    if (row.removed) json["tombstone"] = true;
    if (!row.removed) json["value"] = Encode64(row.value);
    ordered[row.version] = json;
  }
  for (const auto& [version, json] : ordered) body["rows"].append(json);
  body["has_more"] = false;
  body["ver"] = static_cast<Json::UInt64>(version_);
  body["now_ms"] = static_cast<Json::Int64>(NowMs());
  const bool none = body["rows"].empty();
  return feed && none ? "" : JsonText(body);
}

std::string Store::Handle(const Request& request) {
  const Headers json = {{"Content-Type", "application/json"}};
  const std::string path = request.target.substr(0, request.target.find('?'));
  std::unique_lock<std::mutex> lock(mutex_);
  if (path == "/v1/rows-get") {
    return AnswerText("200 OK", json,
                      Rows(request.Argument("table"), 0, false));
  }
  if (path == "/v1/rows-feed") {
    const std::string table = request.Argument("table");
    const std::uint64_t since = ToNumber(request.Argument("since_rev"));
    std::string rows;
    const auto wait =
        std::chrono::milliseconds(ToNumber(request.Argument("wait_ms")));
    changed_.wait_for(lock, wait, [&] {
      rows = Rows(table, since, true);
      return stopping_ || !rows.empty();
    });
    if (rows.empty()) {
      Json::Value none;
      none["rows"] = Json::arrayValue;
      none["ver"] = static_cast<Json::UInt64>(version_);
      none["now_ms"] = static_cast<Json::Int64>(NowMs());
      rows = JsonText(none);
    }
    return AnswerText("200 OK", json, rows);
  }
  if (path == "/v1/rows-tx") return Transact(request.body);
  return AnswerText("404 Not Found", {}, "");
}

// Called with the lock held.
std::string Store::Transact(const std::string& body) {
  const Headers headers = {{"Content-Type", "application/json"}};
  Json::Value call;
  std::stringstream(body) >> call;
  Json::Value current;
  current["rows"] = Json::arrayValue;
  bool fits = true;
  for (const Json::Value& expected : call["expected_rev"]) {
    const auto found =
        rows_.find({expected["table"].asString(), expected["key"].asString()});
    const bool exists = found != rows_.end() && !found->second.removed;
    const std::uint64_t version = exists ? found->second.version : 0;
    if (version != expected["ver"].asUInt64()) fits = false;
    if (!exists) continue;
    Json::Value row = expected;
    row["ver"] = static_cast<Json::UInt64>(version);
    row["value"] = Encode64(found->second.value);
    current["rows"].append(row);
  }
  if (fits) {
    ++version_;
    for (const Json::Value& row : call["writes"]) {
      rows_[{row["table"].asString(), row["key"].asString()}] = {
          Decode64(row["value"].asString()), version_, false};
    }
    for (const Json::Value& row : call["drop"]) {
      rows_[{row["table"].asString(), row["key"].asString()}] = {"", version_,
                                                                 true};
    }
    current = Json::objectValue;
    changed_.notify_all();
  }
  current["ver"] = static_cast<Json::UInt64>(version_);
  current["now_ms"] = static_cast<Json::Int64>(NowMs());
  return AnswerText(fits ? "200 OK" : "412 Precondition Failed", headers,
                    JsonText(current));
}

// --- Gateway -----------------------------------------------------------------

Gateway::Gateway(const std::string& folder, const std::string& name,
                 const std::string& ip, const std::string& zone,
                 const std::string& store)
    : name_(name),
      ip_(ip),
      settings_(folder + "/" + name + ".ini"),
      log_(folder + "/" + name + ".log") {
  for (const int port : {kCallersPort, kReadyPort, kPeersPort, kMetricsPort}) {
    if (!IsFree(ip, port)) CouldNotRun("a port of " + ip + " is in use");
  }
  const std::string text = ReadFile("deploy/gateway.ini");
  if (text.empty()) CouldNotRun("deploy/gateway.ini isn't here");
  std::ofstream(settings_) << Render(
      text, {{"node_name", name},
             {"zone", zone},
             {"ip", ip},
             {"bounds.grace_s", "8"},
             {"bounds.drain_ms", "2000"},
             {"bounds.retry_budget_ratio", "0.2"},
             {"bounds.retry_burst", "54"},
             {"bounds.quota_slack", "140000"},
             {"limits.cpu_quota", "0.25"},
             {"listen.frontend", ip + ":" + std::to_string(kCallersPort)},
             {"listen.ready", ip + ":" + std::to_string(kReadyPort)},
             {"port_range.0", std::to_string(kPeersPort)},
             {"platform.address", store}});
}

Gateway::~Gateway() {
  if (process_ <= 0) return;
  kill(process_, SIGCONT);
  kill(process_, SIGKILL);
  Wait();
}

void Gateway::Start() {
  const std::string variable = "GENTIANLB_CONFIG=" + settings_;
  process_ = fork();
  if (process_ < 0) CouldNotRun("can't fork");
  if (process_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // Never outlives the case.
  const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  char program[] = "target/src/gentianlb/gentianlb";
  char command[] = "gateway";
  char* arguments[] = {program, command, nullptr};
  std::string copy = variable;
  char* environment[] = {copy.data(), nullptr};
  execve(program, arguments, environment);
  _exit(127);
}

void Gateway::Signal(int signal) {
  if (process_ > 0) kill(process_, signal);
}

void Gateway::Wait() {
  if (process_ > 0) waitpid(process_, nullptr, 0);
  process_ = -1;
}

bool Gateway::HasEnded() {
  if (process_ <= 0) return true;
  if (waitpid(process_, nullptr, WNOHANG) != process_) return false;
  process_ = -1;
  return true;
}

bool Gateway::WaitUntilReady() {
  for (int i = 0; i < 200; ++i) {
    if (HasEnded()) return false;
    if (const auto socket = Socket::Connect(ip_, kReadyPort)) {
      socket->Send(RequestText("GET", "/v1/readyz", {{"Host", ip_}}, ""));
      if (ReadAnswer(*socket).status == 200) return true;
    }
    SleepMs(50);
  }
  return false;
}

std::shared_ptr<Socket> Gateway::Connect() const {
  return Socket::Connect(ip_, kCallersPort);
}

std::string Gateway::Metrics() const {
  const auto socket = Socket::Connect(ip_, kMetricsPort);
  if (socket == nullptr) return "";
  socket->Send(RequestText("GET", "/metrics", {{"Host", ip_}}, ""));
  return ReadAnswer(*socket).body;
}

std::int64_t Gateway::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(process_) + "/status");
  std::string word;
  std::int64_t kilobytes = 0;
  while (file >> word) {
    if (word == "VmRSS:") file >> kilobytes;
  }
  return kilobytes / 1024;
}

// --- Site --------------------------------------------------------------------

Site::Site(const std::string& configuration,
           const std::vector<std::string>& zones) {
  NowMs();
  folder_ = std::filesystem::temp_directory_path() / "review-XXXXXX";
  if (mkdtemp(folder_.data()) == nullptr) CouldNotRun("no temporary folder");
  const int process = getpid();
  const std::string net = "127." + std::to_string(20 + process / 250 % 200) +
                          "." + std::to_string(1 + process % 250) + ".";
  ip_ = net + "200";
  store_ = std::make_unique<Store>(net + "100");
  store_->Put("op", "config", configuration);
  for (std::size_t i = 0; i < zones.size(); ++i) {
    gateways_.push_back(std::make_unique<Gateway>(
        folder_, "edge-" + zones[i] + "-" + std::to_string(i + 1),
        net + std::to_string(i + 1), zones[i],
        net + "100:" + std::to_string(store_->port())));
  }
}

Site::~Site() {
  const char* keep = std::getenv("REVIEW_LOGS");
  gateways_.clear();
  store_.reset();
  if (keep != nullptr) {
    std::filesystem::copy(
        folder_, keep,
        std::filesystem::copy_options::recursive |
            std::filesystem::copy_options::overwrite_existing);
  }
  std::filesystem::remove_all(folder_);
}

void Site::Start() {
  for (const auto& gateway : gateways_) gateway->Start();
  for (const auto& gateway : gateways_) {
    if (!gateway->WaitUntilReady()) CouldNotRun("a gateway isn't ready");
  }
  SleepMs(kStableWindowMs + 500);
}

std::string ServerRow(const std::string& service, const std::string& address,
                      const std::string& zone, int slots,
                      const std::string& version) {
  return R"({"service":")" + service + R"(","address":")" + address +
         R"(","zone":")" + zone + R"(","version":")" + version +
         R"(","slots":)" + std::to_string(slots) +
         R"(,"state":"ready","cold_left_ms":0,"seq":4})";
}

}  // namespace review
