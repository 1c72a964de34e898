// Decides which peers a host asks for what they remember of lost servers.
//
// Load pattern: a host starts, takes a group that it dispatched for before, and
// knows nothing of the requests under which servers end. So a host asks peers
// that it has not known until now: all of them once it has started, and those
// of the other side once a partition has ended.
//
// Has no network and no clock.

#ifndef GENTIANLB_GATEWAY_MEMORY_QUERIES_H_
#define GENTIANLB_GATEWAY_MEMORY_QUERIES_H_

#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {

class MemoryQueries {
 public:
  // Each round asks so many peers, as one of them may have started lately too.
  static constexpr std::size_t kPeersAtOnce = 2;
  // Rounds without an answer. The list of hosts comes some times a second.
  static constexpr int kMaxRounds = 10;

  explicit MemoryQueries(EntryHostId self) : self_(std::move(self)) {}

  // Returns the peers to ask now, of the live hosts that may dispatch.
  std::vector<EntryHostId> OnHosts(const std::vector<HostEntry>& hosts);
  // Records that a peer has answered.
  void OnAnswer() { rounds_left_ = 0; }

 private:
  const EntryHostId self_;
  std::set<std::string> known_;
  std::vector<EntryHostId> candidates_;  // Asked in turn.
  std::size_t next_ = 0;
  int rounds_left_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_MEMORY_QUERIES_H_
