// Determines which entry hosts are alive with the SWIM protocol. Each host
// probes one peer at a time, first directly and then through some other peers,
// and updates travel with the probes. The traffic of a host does not grow with
// the number of hosts.
//
// Without it, hosts would send requests to dispatchers that no longer run,
// where they wait until their callers give up.

#ifndef GENTIANLB_MEMBER_MEMBERSHIP_H_
#define GENTIANLB_MEMBER_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "member/messages.h"

namespace gentianlb::member {

struct MembershipOptions {
  absl::Duration probe_period = absl::Milliseconds(500);
  absl::Duration ack_timeout = absl::Milliseconds(250);
  absl::Duration suspicion_timeout = absl::Seconds(3);  // From suspect to dead.
  absl::Duration dead_retention = absl::Minutes(10);
  std::uint64_t seed = 1;
  bool operator==(const MembershipOptions&) const = default;
};

// A host that is probed from the start, before any update about it arrives.
struct Seed {
  EntryHostId id;
  std::string address;
  auto operator<=>(const Seed&) const = default;
};

// A change of one member's state.
struct MemberChange {
  Member member;
  MemberState old_state = MemberState::kDead;
  bool first_seen = false;
  bool operator==(const MemberChange&) const = default;
};

// The membership list of one entry host and its probes. Not thread-safe: owned
// by the control thread.
class Membership {
 public:
  Membership(Member self, const MembershipOptions& options,
             const std::vector<Seed>& seeds);

  // Advances to `now`. Appends the messages to send and the state changes.
  void Tick(absl::Time now, std::vector<Envelope>* out,
            std::vector<MemberChange>* changes);

  // Handles a received message. Ignores one from an earlier incarnation of its
  // sender.
  void HandleEnvelope(const Envelope& envelope, absl::Time now,
                      std::vector<Envelope>* out,
                      std::vector<MemberChange>* changes);

  // Adds a host that the settings don't name but the platform's list does.
  void AddSeed(const Seed& seed);

  // Probes `host` next, because a message to it failed.
  void ProbeSoon(const EntryHostId& host);

  // Set the state that this host publishes about itself with its messages.
  void SetRoles(std::vector<HeldRole> roles);
  void SetConfigVersion(std::int64_t version);
  void Leave();

  const Member& self() const { return self_; }

  // Returns this host or a known peer, or null.
  const Member* Find(const EntryHostId& id) const;

  // Returns all known members but this host, sorted by id.
  std::vector<Member> Peers() const;

  // Increases with every change of a member.
  std::uint64_t change_count() const { return change_count_; }

  // Return the highest configuration version that a member has published, and
  // that member.
  std::int64_t newest_config_version() const { return newest_config_version_; }
  const EntryHostId& newest_config_host() const { return newest_config_host_; }

  // Returns when Tick() is due.
  absl::Time NextTick() const;

 private:
  struct Entry {
    Member member;
    absl::Time state_since;  // When it entered its state.
    bool known = false;      // False for a seed without any update.
    int sends_left = 0;      // Remaining sends of its update.
  };

  // The probe that waits for its Ack.
  struct Probe {
    std::uint64_t number = 0;
    EntryHostId target;
    absl::Time sent_at;
    bool indirect = false;
    bool acked = false;
  };

  // A ping that this host sent for a PingRequest.
  struct RelayedPing {
    std::uint64_t request_number = 0;
    EntryHostId requester;
    absl::Time sent_at;
  };

  void FinishProbe(absl::Time now, std::vector<MemberChange>* changes);
  void SendIndirectProbes(absl::Time now, std::vector<Envelope>* out);
  void StartProbe(absl::Time now, std::vector<Envelope>* out);
  EntryHostId NextTarget(absl::Time now);
  void ExpireSuspects(absl::Time now, std::vector<MemberChange>* changes);
  void ForgetDead(absl::Time now);
  // Applies an update about a member; `direct` if the member itself sent it.
  void ApplyUpdate(const Member& update, absl::Time now, bool direct,
                   std::vector<MemberChange>* changes);
  void RefuteSuspicion(const Member& update);
  void SetState(Entry& entry, MemberState state, absl::Time now,
                std::vector<MemberChange>* changes);
  Envelope MakeEnvelope(const Entry& to, decltype(Envelope::body) body);
  std::vector<Member> TakeUpdates();
  int UpdateRepeats() const;

  Member self_;
  const MembershipOptions options_;
  std::map<EntryHostId, Entry> members_;
  std::vector<EntryHostId> probe_order_;  // Remaining targets of this round.
  std::vector<EntryHostId> priority_targets_;
  Probe probe_;
  std::map<std::uint64_t, RelayedPing> relayed_pings_;
  std::uint64_t next_number_ = 1;
  std::uint64_t probe_count_ = 0;
  std::uint64_t change_count_ = 0;
  std::int64_t newest_config_version_ = 0;
  EntryHostId newest_config_host_;
  absl::Time next_probe_ = absl::InfinitePast();
  std::mt19937_64 random_;
};

}  // namespace gentianlb::member

#endif  // GENTIANLB_MEMBER_MEMBERSHIP_H_
