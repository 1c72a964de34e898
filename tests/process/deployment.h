// A small site as processes on loopback: the platform, model engines, plain
// services and entry hosts, with settings and an intent written for them.

#ifndef GENTIANLB_PROCESS_DEPLOYMENT_H_
#define GENTIANLB_PROCESS_DEPLOYMENT_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "process/callers.h"
#include "process/process.h"
#include "process/relay.h"

namespace gentianlb::process {

// The workspaces' bearer tokens, and the one model.
inline constexpr char kDraftingToken[] = "token-tender-drafting";
inline constexpr char kChatToken[] = "token-contract-summaries";
inline constexpr char kPermitToken[] = "token-permit-checks";
inline constexpr char kModel[] = "drafter";

// With it, entry hosts call each other.
inline constexpr char kPeerKey[] = "peer-key-of-the-tests-0123456789";

struct EngineShape {
  std::string zone;
  int decode_rate = 2000;  // Tokens a second of one stream.
  int max_streams = 16;
};

struct Shape {
  std::vector<std::string> zones = {"abdali", "sahab"};
  int hosts_per_zone = 2;
  std::vector<EngineShape> engines = {{"abdali"}, {"sahab"}};
  int portals_per_zone = 1;
  // Whether each link goes over a relay, so that it can be cut.
  bool relays = false;
  // Added to each host's settings.
  std::string more_settings;
};

// A process of the site, and where it listens.
struct Member {
  std::string name;
  std::string zone;
  std::string address;
  std::string control;  // Entry hosts only: for peers and operators.
  std::unique_ptr<Process> process;
};

class Deployment {
 public:
  // Starts everything, confirms the intent and waits until all hosts are ready.
  // `build` is the folder of the build.
  Deployment(std::string build, Shape shape);
  ~Deployment();

  Member& host(std::size_t i) { return hosts_.at(i); }
  Member& engine(std::size_t i) { return engines_.at(i); }
  Member& portal(std::size_t i) { return portals_.at(i); }
  Member& platform() { return platform_; }
  std::size_t host_count() const { return hosts_.size(); }

  // Starts an entry host (again), with the settings it had.
  void StartHost(std::size_t i);
  void WaitUntilReady(std::size_t i);

  // Links that go over a relay; both ways of a pair of hosts, as either may
  // begin a call.
  void SetPeerLink(std::size_t a, std::size_t b, LinkState state);
  void SetPlatformLink(std::size_t host, LinkState state);

  // Cuts a host off from everything but its callers and its zone's servers.
  void SetAllLinks(std::size_t host, LinkState state);

  // Shows the platform's list with these servers or hosts as leaving.
  void ListAsLeaving(const std::vector<std::string>& names);

  // Executions at all servers together, by the request's name there.
  std::map<std::string, std::int64_t> Executions() const;
  // The most that any request was executed.
  std::int64_t MostExecutions() const;
  // All executions at all servers.
  std::int64_t AllExecutions() const;

  // Runs gentianctl against entry host 0.
  Finished Operate(std::vector<std::string> arguments);
  Finished OperateAt(std::size_t host, std::vector<std::string> arguments);
  // The merged time line of all entry hosts.
  Finished Timeline(std::vector<std::string> arguments = {});
  // Plans and confirms an intent file.
  void Confirm(const std::string& intent_file);

  std::string Program(const std::string& name) const;
  const TempFolder& folder() const { return folder_; }

 private:
  void StartPlatform();
  void StartEngine(const EngineShape& shape);
  void StartPortal(const std::string& zone);
  void PlaceHosts();
  Finished RunGentianctl(std::vector<std::string> arguments);
  std::string Settings(std::size_t i);
  std::string Intent() const;
  // The environment that leads a host's calls of its peers over relays.
  std::vector<std::string> RoutesOf(const Member& host);
  std::string ThroughRelay(const std::string& name, const std::string& target);

  const std::string build_;
  const Shape shape_;
  TempFolder folder_;
  std::map<std::string, std::unique_ptr<Relay>> relays_;
  Member platform_;
  std::vector<Member> engines_;
  std::vector<Member> portals_;
  std::vector<Member> hosts_;
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_DEPLOYMENT_H_
