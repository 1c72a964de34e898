// Remembers under what the connections to backend servers were lost: under
// which contents of requests, or which parts of their prompts.

#ifndef GENTIANLB_SCHEDULE_SERVER_LOSSES_H_
#define GENTIANLB_SCHEDULE_SERVER_LOSSES_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "base/ids.h"

namespace gentianlb::schedule {

class ServerLosses {
 public:
  // A ContentHash or PartHash.
  using Key = std::uint64_t;

  struct Loss {
    ServerId server;
    absl::Time at;
    int weight = 1;
    bool operator==(const Loss&) const = default;
  };

  // Not empty, in the order of their times, one for each server.
  using Losses = std::vector<Loss>;

  // Forgets a key `memory` after its last loss. If there are more than
  // `max_keys`, those with the fewest losses are forgotten first.
  ServerLosses(absl::Duration memory, std::size_t max_keys)
      : memory_(memory), max_keys_(max_keys) {}

  // Returns whether the loss was not known yet, or only with a lower weight.
  bool Add(Key key, const Loss& loss);
  // Removes one loss, and the key with its last one. Returns whether that was
  // its last one.
  bool Remove(Key key, const ServerId& server);
  // Returns whether the key was known.
  bool Clear(Key key);

  // Returns null if the key is not known, or its memory has ended.
  const Losses* Find(Key key, absl::Time now) const;
  // Returns the keys under which `server` was lost.
  std::vector<Key> KeysOf(const ServerId& server) const;
  // Returns those of them with a loss before `granted_at`: a response to a
  // request that was granted then shows that the server had not ended.
  std::vector<Key> RefutedBy(const ServerId& server,
                             absl::Time granted_at) const;

  // Returns the losses of the keys with the most of them, at most `most`.
  std::vector<std::pair<Key, Loss>> MostSuspected(std::size_t most) const;

  std::size_t size() const { return losses_.size(); }
  bool empty() const { return losses_.empty(); }

  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [key, losses] : losses_) visit(key, losses);
  }

 private:
  void ForgetOld(absl::Time now);
  void MakeRoom();

  const absl::Duration memory_;
  const std::size_t max_keys_;
  absl::flat_hash_map<Key, Losses> losses_;
  absl::flat_hash_map<ServerId, absl::flat_hash_set<Key>> by_server_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_SERVER_LOSSES_H_
