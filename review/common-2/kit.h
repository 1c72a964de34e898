// Stand-ins and helpers that the scripts of the second review share: a table
// service, backend servers, callers, and gateways as processes. All of them
// listen on loopback addresses, at ports that the kernel picks.

#ifndef GENTIANLB_REVIEW_COMMON_2_KIT_H_
#define GENTIANLB_REVIEW_COMMON_2_KIT_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Returns whether the case runs with its disruption.
inline bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

// Returns the seconds since the case began.
inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline void Sleep(double seconds) {
  if (seconds <= 0) return;
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// The lines of record.txt, which also go to the standard output.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%8.3f %s\n", Now(), text);
      std::fflush(file_);
    }
  }
  // A line that the standard output gets too.
  void Say(const std::string& text) {
    Line("%s", text.c_str());
    const std::lock_guard lock(mutex_);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::FILE* const file_;
};

// Ends all gateways that the case has started.
void EndAllGateways();

[[noreturn]] inline void GiveUp(const std::string& why) {
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  void EndAllGateways();
  EndAllGateways();
  std::_Exit(kCouldNotRun);
}

// --- Sockets -----------------------------------------------------------------

struct Address {
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string str() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

// Listens at a free port of `ip`. Returns the socket, and sets the port.
inline int Listen(Address* address, int backlog = 512) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = ToSockaddr(*address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      listen(fd, backlog) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  address->port = ntohs(at.sin_port);
  return fd;
}

// Returns an address whose port was free a moment ago.
inline Address FreeAddress(const std::string& ip = "127.0.0.1") {
  static std::mutex mutex;
  static std::set<int> given;
  const std::lock_guard lock(mutex);
  for (int i = 0; i < 100; ++i) {
    Address address{ip, 0};
    const int fd = Listen(&address);
    if (fd < 0) continue;
    close(fd);
    if (given.insert(address.port).second) return address;
  }
  GiveUp("no free port");
}

// Lets this process open as many files as it may.
inline void RaiseDescriptors(rlim_t needed) {
  rlimit limit = {};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::max(limit.rlim_cur, std::min(limit.rlim_max, needed));
  setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < needed) GiveUp("too few descriptors");
}

// Returns a connected socket, or -1.
inline int Connect(const Address& to, double timeout,
                   const std::function<void(int)>& prepare = {}) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return -1;
  if (prepare) prepare(fd);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in at = ToSockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    pollfd waits = {fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS ||
        poll(&waits, 1, static_cast<int>(timeout * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  return fd;
}

// Sends all bytes. Returns false if they could not be sent by `until`.
inline bool SendAll(int fd, std::string_view bytes, double until) {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno != EAGAIN) return false;
    const double left = until - Now();
    if (left <= 0) return false;
    pollfd waits = {fd, POLLOUT, 0};
    poll(&waits, 1, std::max(1, static_cast<int>(left * 1000)));
  }
  return true;
}

// --- HTTP --------------------------------------------------------------------

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (key.size() == name.size() &&
          strncasecmp(key.data(), name.data(), name.size()) == 0) {
        return value;
      }
    }
    return {};
  }
};

// Reads messages from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  enum class Result { kWhole, kClosed, kTimeout, kBad };

  // Reads one message. `is_answer`: a body without a length ends with the
  // connection.
  Result Read(Message* message, double until, bool is_answer) {
    *message = {};
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      const Result more = Fill(until);
      if (more != Result::kWhole) return more;
    }
    ParseHead(std::string_view(buffer_).substr(0, end), message);
    buffer_.erase(0, end + 4);
    if (message->Header("Transfer-Encoding") == "chunked") {
      return ReadChunks(message, until);
    }
    const std::string length = message->Header("Content-Length");
    if (length.empty() && is_answer) {
      Result more = Result::kWhole;
      while ((more = Fill(until)) == Result::kWhole) {
      }
      message->body = std::exchange(buffer_, "");
      return more == Result::kClosed ? Result::kWhole : more;
    }
    const std::size_t size =
        length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      const Result more = Fill(until);
      if (more != Result::kWhole) return more;
    }
    message->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return Result::kWhole;
  }

 private:
  static void ParseHead(std::string_view head, Message* message) {
    std::size_t at = 0;
    bool first = true;
    while (at <= head.size()) {
      std::size_t end = head.find("\r\n", at);
      if (end == std::string_view::npos) end = head.size();
      const std::string_view line = head.substr(at, end - at);
      at = end + 2;
      if (std::exchange(first, false)) {
        message->first_line = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string_view::npos) continue;
      std::string_view value = line.substr(colon + 1);
      while (value.starts_with(' ')) value.remove_prefix(1);
      message->headers.emplace_back(line.substr(0, colon), value);
    }
  }

  Result ReadChunks(Message* message, double until) {
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        const Result more = Fill(until);
        if (more != Result::kWhole) return more;
      }
      const std::size_t size =
          std::strtoull(buffer_.substr(0, end).c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      while (buffer_.size() < size + 2) {
        const Result more = Fill(until);
        if (more != Result::kWhole) return more;
      }
      message->body.append(buffer_, 0, size);
      buffer_.erase(0, size + 2);
      if (size == 0) return Result::kWhole;
    }
  }

  Result Fill(double until) {
    const double left = until - Now();
    if (left <= 0) return Result::kTimeout;
    pollfd waits = {fd_, POLLIN, 0};
    const int ready =
        poll(&waits, 1, std::max(1, static_cast<int>(left * 1000)));
    if (ready == 0) return Result::kTimeout;
    char block[16384];
    const ssize_t count = recv(fd_, block, sizeof block, 0);
    if (count < 0 && errno == EAGAIN) return Result::kWhole;
    if (count <= 0) return Result::kClosed;
    buffer_.append(block, static_cast<std::size_t>(count));
    return Result::kWhole;
  }

  const int fd_;
  std::string buffer_;
};

inline int StatusOf(const Message& answer) {
  return answer.first_line.size() < 12
             ? 0
             : std::atoi(answer.first_line.c_str() + 9);
}

// What a caller got.
struct Reply {
  int status = 0;  // 0: no whole answer.
  Message answer;
  bool timed_out = false;
  bool connected = false;
  double seconds = 0;
};

// Sends one request on a connection of its own and waits for the answer.
inline Reply Ask(const Address& to, const std::string& request, double timeout,
                 double connect_timeout = 1) {
  Reply reply;
  const double start = Now();
  const int fd = Connect(to, std::min(timeout, connect_timeout));
  reply.connected = fd >= 0;
  if (fd < 0) {
    reply.seconds = Now() - start;
    return reply;
  }
  if (SendAll(fd, request, start + timeout)) {
    Reader reader(fd);
    const Reader::Result result =
        reader.Read(&reply.answer, start + timeout, /*is_answer=*/true);
    reply.timed_out = result == Reader::Result::kTimeout;
    if (result == Reader::Result::kWhole) {
      reply.status = StatusOf(reply.answer);
    }
  }
  close(fd);
  reply.seconds = Now() - start;
  return reply;
}

// A server with one thread a connection.
class HttpServer {
 public:
  using Handler = std::function<bool(int fd, const Message& request)>;

  // `handler` answers, and returns whether the connection stays open.
  void Start(Handler handler) {
    handler_ = std::move(handler);
    const int listener = Listen(&address_);
    if (listener < 0) GiveUp("a stand-in can't listen");
    std::thread([this, listener] {
      while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }
  const Address& address() const { return address_; }

 private:
  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request, Now() + 3600, /*is_answer=*/false) ==
           Reader::Result::kWhole) {
      if (!handler_(fd, request)) break;
    }
    close(fd);
  }

  Handler handler_;
  Address address_;
};

inline void Write(
    int fd, int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  SendAll(fd, text, Now() + 10);
}

// --- The table service -------------------------------------------------------

inline std::string Base64(std::string_view bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t block = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      block =
          block << 8 |
          (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[block >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

// Rows by table and key, with a feed of changes, as PROTOCOL.md describes them.
class Store {
 public:
  Store() {
    server_.Start([this](int fd, const Message& request) {
      Handle(fd, request);
      return true;
    });
  }
  const Address& address() const { return server_.address(); }

  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    Set(table, key, Base64(value), false);
  }
  void Drop(const std::string& table, const std::string& key) {
    Set(table, key, "", true);
  }

 private:
  struct Row {
    std::string value;  // As base64.
    std::uint64_t version = 0;
    bool dropped = false;
  };

  void Set(const std::string& table, const std::string& key,
           const std::string& value, bool dropped) {
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {value, ++version_, dropped};
    changed_.notify_all();
  }

  static std::string Argument(const std::string& line,
                              const std::string& name) {
    const std::size_t from = line.find('?');
    std::size_t at = line.find("&" + name + "=", from);
    if (at == std::string::npos) at = line.find("?" + name + "=", from);
    if (at == std::string::npos) return {};
    at += name.size() + 2;
    std::string value;
    while (at < line.size() && line[at] != '&' && line[at] != ' ') {
      if (line[at] == '%') {
        value += static_cast<char>(
            std::strtol(line.substr(at + 1, 2).c_str(), nullptr, 16));
        at += 3;
      } else {
        value += line[at++];
      }
    }
    return value;
  }

  static Json::Value ToJson(const std::string& key, const Row& row) {
    Json::Value json;
    json["key"] = key;
    json["ver"] = Json::UInt64{row.version};
    if (row.dropped) json["tombstone"] = true;
    if (!row.dropped) json["value"] = row.value;
    return json;
  }

  void Answer(int fd, Json::Value body) const {
    body["ver"] = Json::UInt64{version_};
    body["now_ms"] = Json::Int64(Now() * 1000) + 1000;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    Write(fd, 200, {{"Content-Type", "application/json"}},
          Json::writeString(builder, body));
  }

  void Handle(int fd, const Message& request) {
    const std::string& line = request.first_line;
    const std::string table = Argument(line, "table");
    std::unique_lock lock(mutex_);
    Json::Value body;
    body["rows"] = Json::arrayValue;
    if (line.find("/v1/rows-get") != std::string::npos) {
      body["has_more"] = false;
      const std::string from = Argument(line, "from");
      for (const auto& [name, row] : rows_) {
        if (name.first != table || row.dropped || name.second < from) continue;
        body["rows"].append(ToJson(name.second, row));
      }
      return Answer(fd, body);
    }
    if (line.find("/v1/rows-feed") != std::string::npos) {
      const auto since =
          std::strtoull(Argument(line, "since_rev").c_str(), nullptr, 10);
      const auto wait = std::chrono::milliseconds(
          std::atoi(Argument(line, "wait_ms").c_str()));
      const auto collect = [&] {
        body["rows"] = Json::arrayValue;
        for (const auto& [name, row] : rows_) {
          if (name.first != table || row.version <= since) continue;
          body["rows"].append(ToJson(name.second, row));
        }
        return !body["rows"].empty();
      };
      changed_.wait_for(lock, wait, collect);
      return Answer(fd, body);
    }
    Json::Value call;
    Json::Reader().parse(request.body, call);
    for (const Json::Value& row : call["writes"]) {
      rows_[{row["table"].asString(), row["key"].asString()}] = {
          row["value"].asString(), ++version_, false};
    }
    for (const Json::Value& row : call["drop"]) {
      rows_[{row["table"].asString(), row["key"].asString()}] = {"", ++version_,
                                                                 true};
    }
    changed_.notify_all();
    Answer(fd, body);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::uint64_t version_ = 100;
  HttpServer server_;
};

// --- Backend servers ---------------------------------------------------------

// A sound server of a plain service: runs up to `slots` requests at once, lets
// as many wait as `queue` says, and turns others away.
class PlainServer {
 public:
  struct Run {
    std::string id;
    std::string tenant;
    std::string tokens;
    double at = 0;
  };

  // `more_headers`: of its answers.
  PlainServer(
      std::string id, int slots, int queue, double work_seconds,
      std::vector<std::pair<std::string, std::string>> more_headers = {})
      : id_(std::move(id)),
        slots_(slots),
        queue_(queue),
        work_seconds_(work_seconds),
        more_headers_(std::move(more_headers)) {
    server_.Start(
        [this](int fd, const Message& request) { return Handle(fd, request); });
  }

  std::string Registration(const std::string& service,
                           const std::string& zone) const {
    return "{\"service\":\"" + service + "\",\"address\":\"" +
           server_.address().str() + "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
           ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}";
  }
  const std::string& id() const { return id_; }

  std::vector<Run> Runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  bool Handle(int fd, const Message& request) {
    const std::string expected = request.Header("Expect-Instance");
    const std::string request_id = request.Header("Request-Id");
    if (!expected.empty() && expected != id_) {
      Write(fd, 421, {{"Instance-Id", id_}, {"Not-Executed", "1"}}, "");
      return true;
    }
    if (request.first_line.find(" /healthz ") != std::string::npos) {
      Write(fd, 200, {{"Instance-Id", id_}, {"Server-Load", Load()}}, "");
      return true;
    }
    {
      std::unique_lock lock(mutex_);
      if (running_ >= slots_ && waiting_ >= queue_) {
        lock.unlock();
        Write(fd, 503, {{"Not-Executed", "1"}, {"Request-Id", request_id}}, "");
        return true;
      }
      ++waiting_;
      free_.wait(lock, [this] { return running_ < slots_; });
      --waiting_;
      ++running_;
      runs_.push_back({request_id, request.Header("Tenant"),
                       request.Header("Token-Count"), Now()});
    }
    Sleep(work_seconds_);
    const std::string load = Load();
    {
      const std::lock_guard lock(mutex_);
      --running_;
      free_.notify_one();
    }
    std::vector<std::pair<std::string, std::string>> headers = {
        {"Request-Id", request_id},
        {"Server-Stamp", "stamp-" + id_},
        {"Server-Load", load}};
    headers.insert(headers.end(), more_headers_.begin(), more_headers_.end());
    Write(fd, 200, headers, "done by " + id_ + " " + std::string(700, 'x'));
    return true;
  }

  std::string Load() const {
    const std::lock_guard lock(mutex_);
    return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
           std::to_string(slots_);
  }

  const std::string id_;
  const int slots_;
  const int queue_;
  const double work_seconds_;
  const std::vector<std::pair<std::string, std::string>> more_headers_;
  mutable std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0;
  int waiting_ = 0;
  std::vector<Run> runs_;
  HttpServer server_;
};

// --- Gateways ----------------------------------------------------------------

inline std::mutex gateways_mutex;
inline std::set<pid_t> gateways;

inline void EndAllGateways() {
  const std::lock_guard lock(gateways_mutex);
  for (const pid_t pid : gateways) kill(pid, SIGKILL);
  for (const pid_t pid : gateways) waitpid(pid, nullptr, 0);
  gateways.clear();
}

// Figures of a small deployment, as its settings state them.
struct Site {
  double processor = 0.25;
  int memory_mb = 110;
  int max_fds = 4100;
  int drain_ms = 2000;
  int grace_s = 8;
  int quota_slack = 140000;
  double retry_budget_ratio = 0.2;
  int retry_burst = 54;
};

// One entry host: the program that the deploy file starts, with the settings of
// its template.
class Gateway {
 public:
  Gateway(const std::string& folder, std::string name, std::string zone,
          const Address& table, const Site& site, const std::string& ip)
      : folder_(folder),
        name_(std::move(name)),
        site_(site),
        callers_(FreeAddress(ip)),
        ready_(FreeAddress(ip)) {
    const std::string path = folder + "/" + name_ + ".ini";
    std::FILE* const file = std::fopen(path.c_str(), "w");
    if (file == nullptr) GiveUp("can't write the settings");
    std::fprintf(
        file,
        "[host]\nid = %s\nzone = %s\ngrace = %ds\nprocessor = %g\n"
        "memory = %dMiB\n\n[callers]\naddress = %s\n\n[ready]\n"
        "address = %s\npath = /v1/readyz\n\n[metrics]\naddress = %s\n\n"
        "[peers]\naddress = %s\n\n[table]\naddress = %s\n\n[retries]\n"
        "per_request = %g\nburst = %d\n\n[servers]\n"
        "zone_crossing_cost = 300ms\ndrain_time = %dms\n\n[limits]\n"
        "tolerance_tokens = %d\n",
        name_.c_str(), zone.c_str(), site.grace_s, site.processor,
        site.memory_mb, callers_.str().c_str(), ready_.str().c_str(),
        FreeAddress(ip).str().c_str(), FreeAddress(ip).str().c_str(),
        table.str().c_str(), site.retry_budget_ratio, site.retry_burst,
        site.drain_ms, site.quota_slack);
    std::fclose(file);
    settings_ = path;
    Start();
  }

  void Start() {
    const std::string log = folder_ + "/" + name_ + ".log";
    const pid_t pid = fork();
    if (pid < 0) GiveUp("can't fork");
    if (pid == 0) {
      // It must not outlive the case.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      rlimit limit = {};
      getrlimit(RLIMIT_NOFILE, &limit);
      limit.rlim_cur =
          std::min<rlim_t>(limit.rlim_max, static_cast<rlim_t>(site_.max_fds));
      setrlimit(RLIMIT_NOFILE, &limit);
      setenv("GENTIANLB_CONFIG", settings_.c_str(), 1);
      const char* const binary = "target/src/gentianlb/gentianlb";
      execl(binary, binary, "gateway", static_cast<char*>(nullptr));
      std::_Exit(127);
    }
    pid_ = pid;
    ended_ = false;
    const std::lock_guard lock(gateways_mutex);
    gateways.insert(pid);
  }

  bool IsReady(double timeout = 1) const {
    return Ask(ready_,
               "GET /v1/readyz HTTP/1.1\r\nHost: r\r\nConnection: "
               "close\r\n\r\n",
               timeout)
               .status == 200;
  }
  void WaitUntilReady() const {
    const double until = Now() + 15;
    while (!IsReady()) {
      if (Now() > until) GiveUp("a gateway isn't ready");
      Sleep(0.05);
    }
  }

  // Sends a signal. SIGKILL also reaps the process.
  void Signal(int signal) {
    kill(pid_, signal);
    if (signal != SIGKILL) return;
    waitpid(pid_, nullptr, 0);
    const std::lock_guard lock(gateways_mutex);
    gateways.erase(pid_);
  }
  bool HasEnded() {
    if (ended_) return true;
    ended_ = waitpid(pid_, nullptr, WNOHANG) == pid_;
    if (ended_) {
      const std::lock_guard lock(gateways_mutex);
      gateways.erase(pid_);
    }
    return ended_;
  }

  // Returns the process's resident memory in KiB; 0 if it has ended.
  long ResidentKib() const { return StatusField("VmRSS:"); }
  long PeakKib() const { return StatusField("VmHWM:"); }

  const Address& callers() const { return callers_; }
  const Address& ready() const { return ready_; }
  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }

 private:
  long StatusField(const char* name) const {
    std::FILE* const file =
        std::fopen(("/proc/" + std::to_string(pid_) + "/status").c_str(), "r");
    if (file == nullptr) return 0;
    char line[256];
    long value = 0;
    while (std::fgets(line, sizeof line, file) != nullptr) {
      if (std::strncmp(line, name, std::strlen(name)) == 0) {
        value = std::atol(line + std::strlen(name));
      }
    }
    std::fclose(file);
    return value;
  }

  const std::string folder_;
  const std::string name_;
  const Site site_;
  const Address callers_;
  const Address ready_;
  std::string settings_;
  pid_t pid_ = -1;
  bool ended_ = false;
};

// A temporary folder.
class Folder {
 public:
  Folder() {
    char path[] = "/tmp/review-XXXXXX";
    if (mkdtemp(path) == nullptr) GiveUp("no temporary folder");
    path_ = path;
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }
  void Remove() const {
    std::error_code error;
    std::filesystem::remove_all(path_, error);
  }

 private:
  std::string path_;
};

// The configuration of a small deployment: an idempotent and a non-idempotent
// route of a plain service with keys, and one tenant with a limit.
inline std::string Configuration(const std::string& tenants) {
  return R"({"version":7,"routes":[
{"name":"status","host":"site.example","prefix":"/status/",
"route_type":"idempotent","timeout_ms":2500,"slo_ms":150,"priority":2,
"service":"records","max_attempts":2,"public":false},
{"name":"refund","host":"site.example","prefix":"/refund/",
"route_type":"non_idempotent","timeout_ms":2500,"slo_ms":150,"priority":2,
"service":"records","max_attempts":1,"public":false}],
"services":[{"name":"records","health_path":"/healthz","max_conns":100,
"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[)" +
         tenants + "]}";
}

inline std::string Request(const std::string& method, const std::string& target,
                           const std::string& id, const std::string& key,
                           const std::string& more = "",
                           const std::string& body = "") {
  std::string text = method + " " + target +
                     " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer " + key +
                     "\r\n" + more;
  if (method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// Three servers of the plain service, registered in the table.
class Records {
 public:
  explicit Records(Store* store,
                   const std::vector<std::pair<std::string, std::string>>&
                       more_headers = {}) {
    for (int i = 0; i < 3; ++i) {
      servers_.push_back(std::make_unique<PlainServer>(
          "i-" + std::to_string(i), /*slots=*/6, /*queue=*/24,
          /*work_seconds=*/0.03, more_headers));
      store->Put("servers", servers_.back()->id(),
                 servers_.back()->Registration("records", "hall-a"));
    }
  }

  // Returns what all of them have run.
  std::vector<PlainServer::Run> Runs() const {
    std::vector<PlainServer::Run> all;
    for (const auto& server : servers_) {
      const std::vector<PlainServer::Run> runs = server->Runs();
      all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
  }

 private:
  std::vector<std::unique_ptr<PlainServer>> servers_;
};

// Ordinary callers of the non-idempotent route. Each sends one request after
// the other, on a kept connection or on one of its own each, and opens another
// where one gave no answer.
class Callers {
 public:
  static constexpr double kRouteTimeout = 2.5;  // As the route states.
  static constexpr double kWait = 3.1;          // Of a caller, for an answer.

  struct Sent {
    double at = 0;
    double answered = 0;  // 0: never.
    int status = 0;
  };

  Callers(const Address& to, const std::string& key, int count, bool keeps,
          Record* record)
      : to_(to), key_(key), keeps_(keeps), record_(record) {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }

  // Ends the callers and returns what they have sent, in no order.
  std::vector<Sent> Stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) thread.join();
    return sent_;
  }

 private:
  void Run(int caller) {
    int fd = -1;
    std::unique_ptr<Reader> reader;
    for (int number = 0; !stopping_; ++number) {
      if (fd < 0) {
        fd = Connect(to_, 1);
        reader = std::make_unique<Reader>(fd);
      }
      if (fd >= 0 && (!Exchange(fd, reader.get(), caller, number) || !keeps_)) {
        close(fd);
        fd = -1;
      }
      Sleep(0.2);
    }
    if (fd >= 0) close(fd);
  }

  bool Exchange(int fd, Reader* reader, int caller, int number) {
    const std::string id =
        "c" + std::to_string(caller) + "-" + std::to_string(number);
    Sent sent;
    sent.at = Now();
    Message answer;
    const bool whole =
        SendAll(fd, Request("POST", "/refund/a", id, key_, "", "{}"),
                sent.at + kWait) &&
        reader->Read(&answer, sent.at + kWait, /*is_answer=*/true) ==
            Reader::Result::kWhole;
    if (whole) {
      sent.answered = Now();
      sent.status = StatusOf(answer);
    }
    record_->Line("caller %s sent=%.3f answered=%.3f status=%d", id.c_str(),
                  sent.at, sent.answered, sent.status);
    const std::lock_guard lock(mutex_);
    sent_.push_back(sent);
    return whole;
  }

  const Address to_;
  const std::string key_;
  const bool keeps_;
  Record* const record_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<Sent> sent_;
  std::vector<std::thread> threads_;
};

// How the requests of a span fared against the rule on time-outs.
struct Timeouts {
  int sent = 0;
  int served = 0;      // With 200, in time.
  int unanswered = 0;  // At the route's timeout.
  int still = 0;       // Of these, half a second later.
  // The rule asks for more than half; fewer than eight requests prove nothing.
  bool Broken() const { return unanswered >= 8 && 2 * still > unanswered; }
};

// `from`, `to`: when the requests were sent.
inline Timeouts Judge(const std::vector<Callers::Sent>& all, double from,
                      double to) {
  Timeouts result;
  for (const Callers::Sent& one : all) {
    if (one.at < from || one.at > to) continue;
    ++result.sent;
    const double took = one.answered > 0 ? one.answered - one.at : 1e9;
    if (took <= Callers::kRouteTimeout) {
      if (one.status == 200) ++result.served;
      continue;
    }
    ++result.unanswered;
    if (took > Callers::kRouteTimeout + 0.5) ++result.still;
  }
  return result;
}

inline std::string ToText(const Timeouts& timeouts) {
  return "sent=" + std::to_string(timeouts.sent) +
         " served_in_time=" + std::to_string(timeouts.served) +
         " unanswered_at_timeout=" + std::to_string(timeouts.unanswered) +
         " still_unanswered_0.5s_later=" + std::to_string(timeouts.still);
}

// Asks each second, as the platform does, whether a host is ready.
class ReadyChecks {
 public:
  ReadyChecks(const Gateway* gateway, Record* record)
      : thread_([this, gateway, record] {
          while (!stopping_) {
            const double at = Now();
            const bool ready = gateway->IsReady(1);
            record->Line("ready=%d asked=%.3f", ready ? 1 : 0, at);
            const std::lock_guard lock(mutex_);
            checks_.emplace_back(at, ready);
            Sleep(at + 1 - Now());
          }
        }) {}
  // Returns when it asked and whether the host said that it is ready.
  std::vector<std::pair<double, bool>> Stop() {
    stopping_ = true;
    thread_.join();
    return checks_;
  }

 private:
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<std::pair<double, bool>> checks_;
  std::thread thread_;
};

// Ends what the case has started, and the case.
[[noreturn]] inline void Finish(Folder* folder, Record* record, int code) {
  EndAllGateways();
  record->Say(code == kBroken ? "result: the rule was broken"
                              : "result: the rule held");
  folder->Remove();
  std::_Exit(code);  // The stand-ins' threads run on.
}

}  // namespace kit

#endif  // GENTIANLB_REVIEW_COMMON_2_KIT_H_
