// What the cases have in common beside the harness: the operator's
// configuration, clients' headers, and stand-ins for model servers.

#ifndef REVIEW_COMMON_DEPLOYMENT_H_
#define REVIEW_COMMON_DEPLOYMENT_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace review {

struct RouteSpec {
  std::string name;
  std::string prefix;
  std::string type;  // As in PROTOCOL.md.
  std::string service;
  int timeout_ms = 1200;
  int slo_ms = 150;
  int max_attempts = 1;
  bool resumable = false;
};

struct ServiceSpec {
  std::string name;
  int slots = 6;
  bool engine = false;
};

// Returns the value of op/config, with one tenant without a limit.
std::string Configuration(const std::vector<RouteSpec>& routes,
                          const std::vector<ServiceSpec>& services);

// Returns the headers that each request of a client carries.
Headers ClientHeaders(const std::string& id, int deadline_ms);
// The same for a request to a model server. `parts`: as in Prefix-Hash.
Headers PromptHeaders(const std::string& id, int deadline_ms,
                      const std::string& parts);

// Sends a request on a new connection and reads its answer.
Answer Call(const Gateway& gateway, const std::string& text);

// Returns the numbers of the whole events in the body of a stream.
std::vector<int> EventIds(const std::string& body);

// A model server: a process with an address that may crash and come back.
class ModelServer {
 public:
  // Answers one request; returns false if the connection ends.
  using Serve = std::function<bool(Socket& socket, const Request& request)>;

  ModelServer(std::string ip, std::string id, Serve serve);
  ~ModelServer();
  // Both must not be called by the server's own threads. `port`: 0 for any.
  void Start();
  void Crash();
  bool running() const { return running_; }
  const std::string& id() const { return id_; }
  std::string address() const;

 private:
  const std::string ip_;
  const std::string id_;
  const Serve serve_;
  int port_ = 0;
  std::atomic<bool> running_ = false;
  std::unique_ptr<Listener> listener_;
};

}  // namespace review

#endif  // REVIEW_COMMON_DEPLOYMENT_H_
