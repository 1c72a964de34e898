// Stand-ins and helpers for the cases below review/: the platform's store,
// servers, clients, and the gateway as separate processes. All of them speak
// what the users' PROTOCOL.md says, over loopback addresses.

#ifndef REVIEW_COMMON_HARNESS_H_
#define REVIEW_COMMON_HARNESS_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

constexpr int kBroken = 1;    // Exit code: the rule was broken.
constexpr int kHeld = 0;      // The rule held.
constexpr int kCouldNot = 2;  // The case couldn't run.

// Milliseconds since the start of the case.
std::int64_t NowMs();
void SleepMs(std::int64_t milliseconds);
void SleepUntilMs(std::int64_t time_ms);
// Returns false if TROUBLE=0: the same without the disruption.
bool Trouble();
// Ends the case as one that couldn't run.
[[noreturn]] void CouldNotRun(const std::string& cause);

// Runs a case and returns its exit code.
int RunCase(const std::function<int()>& run);

// Writes lines to record.txt in the folder of the case.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// One end of a TCP connection.
class Socket {
 public:
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Returns null if nobody listens there.
  static std::shared_ptr<Socket> Connect(const std::string& ip, int port);

  bool Send(const std::string& bytes);
  // Return false at the end of the connection, or after the timeout.
  bool ReadLine(std::string* line);
  bool ReadBytes(std::size_t count, std::string* bytes);
  // Reads what comes until the end. Returns true if that was an orderly one.
  bool ReadToEnd(std::string* bytes);
  // Appends what has come; false at the end of the connection.
  bool ReadSome(std::string* bytes);
  void SetTimeout(std::int64_t milliseconds);
  // Wakes up whoever reads.
  void Shutdown();
  // Returns whether the other side has closed, without reading.
  bool IsClosedByPeer() const;

 private:
  bool Fill();

  const int descriptor_;
  std::string buffer_;
};

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string Header(const std::string& name) const;
  std::string Argument(const std::string& name) const;
};

struct Answer {
  int status = 0;
  Headers headers;
  std::string body;
  bool complete = false;  // By its length or its last chunk.
  std::int64_t sent_ms = 0;
  std::int64_t ended_ms = 0;
  std::string Header(const std::string& name) const;
  // "200", "200 cut off" or "closed without an answer".
  std::string Text() const;
};

// Reads one message; false at the end of the connection.
bool ReadRequest(Socket& socket, Request* request);
// Reads the rest of one answer after its request was sent.
Answer ReadAnswer(Socket& socket);

std::string RequestText(const std::string& method, const std::string& path,
                        const Headers& headers, const std::string& body);
std::string AnswerText(const std::string& status, const Headers& headers,
                       const std::string& body);

// Listens on an address and runs each connection in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Socket&)>;
  Listener(const std::string& ip, int port, Serve serve);
  ~Listener();
  int port() const { return port_; }

 private:
  void Accept();

  const Serve serve_;
  int descriptor_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// The platform's store: rows, transactions under conditions, and the feed.
class Store {
 public:
  explicit Store(const std::string& ip);
  ~Store();
  int port() const { return listener_->port(); }
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  std::size_t Count(const std::string& table);

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  void Serve(Socket& socket);
  std::string Handle(const Request& request);
  std::string Rows(const std::string& table, std::uint64_t since, bool feed);
  std::string Transact(const std::string& body);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::uint64_t version_ = 1;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::unique_ptr<Listener> listener_;
};

// A gateway process on an address of its own, started with the command and the
// template of the deploy file.
class Gateway {
 public:
  Gateway(const std::string& folder, const std::string& name,
          const std::string& ip, const std::string& zone,
          const std::string& store);
  ~Gateway();
  void Start();
  void Signal(int signal);
  // Waits for the end of the process.
  void Wait();
  bool WaitUntilReady();
  bool HasEnded();
  std::shared_ptr<Socket> Connect() const;
  std::string Metrics() const;
  // Returns the memory that the process uses; 0 if it has ended.
  std::int64_t MemoryMb() const;
  const std::string& name() const { return name_; }
  const std::string& log() const { return log_; }

 private:
  const std::string name_;
  const std::string ip_;
  const std::string settings_;
  const std::string log_;
  int process_ = -1;
};

// The addresses and processes of a small deployment.
class Site {
 public:
  // `zones`: of the entry hosts.
  Site(const std::string& configuration, const std::vector<std::string>& zones);
  ~Site();
  // Starts the gateways and waits until they are ready, know each other and
  // have been in touch for a while.
  void Start();
  Store& store() { return *store_; }
  Gateway& gateway(std::size_t index) { return *gateways_.at(index); }
  // The address of the servers.
  const std::string& ip() const { return ip_; }

 private:
  std::string folder_;
  std::string ip_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
};

// The row of a server, as PROTOCOL.md shows it.
std::string ServerRow(const std::string& service, const std::string& address,
                      const std::string& zone, int slots,
                      const std::string& version = "v1");

}  // namespace review

#endif  // REVIEW_COMMON_HARNESS_H_
