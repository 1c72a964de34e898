// Which entry hosts live, by the SWIM protocol: each host probes one other at a
// time, directly and then through some others, and news travels along with the
// probes. Traffic per host does not grow with their number.
//
// Without it, requests would be described to dispatchers that are gone and wait
// there until their callers give up.

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
  absl::Duration suspicion_timeout = absl::Seconds(3);  // Suspect until dead.
  absl::Duration dead_retention = absl::Minutes(10);
  std::uint64_t seed = 1;
  bool operator==(const MembershipOptions&) const = default;
};

// A host that is probed from the start, of which nothing is known but this.
struct Seed {
  EntryHostId id;
  std::string address;
  auto operator<=>(const Seed&) const = default;
};

// A change of one member's state, for whoever acts on it.
struct MemberChange {
  Member member;
  MemberState before = MemberState::kDead;
  bool first_seen = false;
  bool operator==(const MemberChange&) const = default;
};

// Not thread-safe: owned by the control thread.
class Membership {
 public:
  Membership(Member self, const MembershipOptions& options,
             const std::vector<Seed>& seeds);

  // Moves on to `now`; appends what is to be sent and what has changed.
  void Tick(absl::Time now, std::vector<Envelope>* out,
            std::vector<MemberChange>* changes);

  // Takes a message that has arrived. One from an earlier incarnation of its
  // sender is ignored.
  void HandleEnvelope(const Envelope& envelope, absl::Time now,
                      std::vector<Envelope>* out,
                      std::vector<MemberChange>* changes);

  // The platform's list names a host that the settings don't.
  void AddSeed(const Seed& seed);

  // A message to `host` failed; it is probed next instead of in its turn.
  void ProbeSoon(const EntryHostId& host);

  // What this host tells of itself; spreads with its messages.
  void SetRoles(std::vector<HeldRole> roles);
  void SetConfigVersion(std::int64_t version);
  void Leave();

  const Member& self() const { return self_; }

  // Null when unknown.
  const Member* Find(const EntryHostId& id) const;

  // All that are known but this host, by id.
  std::vector<Member> Peers() const;

  // Raised whenever anything that is known of a member has changed.
  std::uint64_t change_count() const { return changes_; }

  // The highest configuration version that a member has told of, and who.
  std::int64_t newest_config_version() const { return newest_config_; }
  const EntryHostId& newest_config_host() const { return newest_config_host_; }

  // When Tick() is due.
  absl::Time NextTick() const;

 private:
  struct Entry {
    Member member;
    absl::Time since;    // Of its state.
    bool heard = false;  // False: a seed that never answered.
    int news_left = 0;   // How often it is still passed on.
  };

  // A probe that waits for its ack.
  struct Probe {
    std::uint64_t number = 0;
    EntryHostId target;
    absl::Time started;
    bool indirect = false;
    bool acked = false;
  };

  // A ping made for another host.
  struct Errand {
    std::uint64_t asked_number = 0;
    EntryHostId asked_by;
    absl::Time started;
  };

  void FinishProbe(absl::Time now, std::vector<MemberChange>* changes);
  void AskOthers(absl::Time now, std::vector<Envelope>* out);
  void StartProbe(absl::Time now, std::vector<Envelope>* out);
  EntryHostId NextTarget(absl::Time now);
  void ExpireSuspects(absl::Time now, std::vector<MemberChange>* changes);
  void ForgetDead(absl::Time now);
  void Learn(const Member& news, absl::Time now, bool direct,
             std::vector<MemberChange>* changes);
  void Refute(const Member& news);
  void SetState(Entry& entry, MemberState state, absl::Time now,
                std::vector<MemberChange>* changes);
  Envelope Write(const Entry& to, decltype(Envelope::body) body);
  std::vector<Member> TakeNews();
  int NewsRounds() const;

  Member self_;
  const MembershipOptions options_;
  std::map<EntryHostId, Entry> members_;
  std::vector<EntryHostId> order_;  // The probes of this round.
  std::vector<EntryHostId> urgent_;
  Probe probe_;
  std::map<std::uint64_t, Errand> errands_;
  std::uint64_t next_number_ = 1;
  std::uint64_t probes_ = 0;
  std::uint64_t changes_ = 0;
  std::int64_t newest_config_ = 0;
  EntryHostId newest_config_host_;
  absl::Time next_probe_ = absl::InfinitePast();
  std::mt19937_64 random_;
};

}  // namespace gentianlb::member

#endif  // GENTIANLB_MEMBER_MEMBERSHIP_H_
