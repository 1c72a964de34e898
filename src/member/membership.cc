#include "member/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace gentianlb::member {
namespace {

// News per message. Eight of them with their roles stay below 2 KB, and at 350
// hosts a change still reaches all within the rounds below.
constexpr std::size_t kNewsPerMessage = 8;

// A piece of news is passed on this often times log2 of the hosts; SWIM's
// analysis asks for a small multiple, and 3 covers lost messages.
constexpr int kNewsRounds = 3;

// How many others ping a silent host on behalf of the prober.
constexpr std::size_t kIndirectProbes = 3;

// Every how many probes one goes to a dead host or an unheard seed, so that two
// sides of a healed cut find each other again.
constexpr std::uint64_t kDeadProbeEvery = 8;

bool Probed(MemberState state) { return state != MemberState::kDead; }

// Whether `news` is newer than `known`, by incarnation, revision and then the
// graver state.
bool Newer(const Member& news, const Member& known) {
  return std::tuple(news.incarnation, news.revision, news.state) >
         std::tuple(known.incarnation, known.revision, known.state);
}

}  // namespace

Membership::Membership(Member self, const MembershipOptions& options,
                       const std::vector<Seed>& seeds)
    : self_(std::move(self)), options_(options), random_(options.seed) {
  for (const Seed& seed : seeds) AddSeed(seed);
}

void Membership::AddSeed(const Seed& seed) {
  if (seed.id == self_.id || members_.contains(seed.id)) return;
  Entry entry;
  entry.member.id = seed.id;
  entry.member.address = seed.address;
  entry.member.state = MemberState::kDead;
  members_.emplace(seed.id, std::move(entry));
}

void Membership::Tick(absl::Time now, std::vector<Envelope>* out,
                      std::vector<MemberChange>* changes) {
  AskOthers(now, out);
  ExpireSuspects(now, changes);
  if (now < next_probe_) return;
  FinishProbe(now, changes);
  ForgetDead(now);
  StartProbe(now, out);
  next_probe_ = now + options_.probe_period;
}

absl::Time Membership::NextTick() const {
  if (probe_.number != 0 && !probe_.acked && !probe_.indirect) {
    return std::min(next_probe_, probe_.started + options_.ack_timeout);
  }
  return next_probe_;
}

// The direct ping has had its time: a cut or lossy link between the two hosts
// looks the same as a death, and others may still have a way.
void Membership::AskOthers(absl::Time now, std::vector<Envelope>* out) {
  if (probe_.number == 0 || probe_.acked || probe_.indirect) return;
  if (now - probe_.started < options_.ack_timeout) return;
  probe_.indirect = true;
  std::vector<const Entry*> helpers;
  for (const auto& [id, entry] : members_) {
    if (id != probe_.target && entry.member.state == MemberState::kAlive) {
      helpers.push_back(&entry);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), random_);
  if (helpers.size() > kIndirectProbes) helpers.resize(kIndirectProbes);
  for (const Entry* helper : helpers) {
    out->push_back(Write(*helper, PingRequest{probe_.number, probe_.target}));
  }
}

void Membership::FinishProbe(absl::Time now,
                             std::vector<MemberChange>* changes) {
  Probe finished = std::exchange(probe_, Probe{});
  if (finished.number == 0 || finished.acked) return;
  auto found = members_.find(finished.target);
  if (found == members_.end()) return;
  Entry& entry = found->second;
  bool trusted = entry.member.state == MemberState::kAlive ||
                 entry.member.state == MemberState::kLeaving;
  if (trusted) SetState(entry, MemberState::kSuspect, now, changes);
}

void Membership::StartProbe(absl::Time now, std::vector<Envelope>* out) {
  EntryHostId target = NextTarget(now);
  if (target.empty()) return;
  probe_ = {next_number_++, target, now, false, false};
  out->push_back(Write(members_.at(target), Ping{probe_.number}));
  // Errands whose target never answered.
  std::erase_if(errands_, [&](const auto& errand) {
    return now - errand.second.started > 4 * options_.probe_period;
  });
}

EntryHostId Membership::NextTarget(absl::Time /*now*/) {
  while (!urgent_.empty()) {
    EntryHostId target = urgent_.back();
    urgent_.pop_back();
    if (members_.contains(target)) return target;
  }
  std::vector<EntryHostId> dead;
  std::vector<EntryHostId> living;
  for (const auto& [id, entry] : members_) {
    (Probed(entry.member.state) ? living : dead).push_back(id);
  }
  bool probe_dead = living.empty() || ++probes_ % kDeadProbeEvery == 0;
  if (probe_dead && !dead.empty()) {
    return dead[random_() % dead.size()];
  }
  // Every living host once per round, in an order that differs from host to
  // host and from round to round, so that probes spread evenly.
  while (!order_.empty()) {
    EntryHostId target = order_.back();
    order_.pop_back();
    auto found = members_.find(target);
    if (found == members_.end()) continue;
    if (Probed(found->second.member.state)) return target;
  }
  if (living.empty()) return {};
  order_ = std::move(living);
  std::shuffle(order_.begin(), order_.end(), random_);
  EntryHostId target = order_.back();
  order_.pop_back();
  return target;
}

void Membership::ExpireSuspects(absl::Time now,
                                std::vector<MemberChange>* changes) {
  for (auto& [id, entry] : members_) {
    if (entry.member.state == MemberState::kSuspect &&
        now - entry.since >= options_.suspicion_timeout) {
      SetState(entry, MemberState::kDead, now, changes);
    }
  }
}

// A host that was replaced under a new name would otherwise be probed for ever.
// Seeds stay: the settings name them.
void Membership::ForgetDead(absl::Time now) {
  std::erase_if(members_, [&](const auto& known) {
    const Entry& entry = known.second;
    return entry.heard && entry.member.state == MemberState::kDead &&
           now - entry.since > options_.dead_retention;
  });
}

void Membership::HandleEnvelope(const Envelope& envelope, absl::Time now,
                                std::vector<Envelope>* out,
                                std::vector<MemberChange>* changes) {
  if (envelope.from.id == self_.id) return;
  auto known = members_.find(envelope.from.id);
  if (known != members_.end() &&
      known->second.member.incarnation > envelope.from.incarnation) {
    return;
  }
  Learn(envelope.from, now, /*direct=*/true, changes);
  for (const Member& news : envelope.updates) {
    Learn(news, now, /*direct=*/false, changes);
  }
  const Entry& sender = members_.at(envelope.from.id);
  if (const auto* ping = std::get_if<Ping>(&envelope.body)) {
    out->push_back(Write(sender, Ack{ping->number, self_.id}));
    return;
  }
  if (const auto* request = std::get_if<PingRequest>(&envelope.body)) {
    auto target = members_.find(request->target);
    if (target == members_.end()) return;
    std::uint64_t number = next_number_++;
    errands_[number] = {request->number, envelope.from.id, now};
    out->push_back(Write(target->second, Ping{number}));
    return;
  }
  const auto& ack = std::get<Ack>(envelope.body);
  if (ack.number == probe_.number && ack.alive_host == probe_.target) {
    probe_.acked = true;
  }
  auto errand = errands_.find(ack.number);
  if (errand == errands_.end()) return;
  auto asker = members_.find(errand->second.asked_by);
  if (asker != members_.end()) {
    out->push_back(
        Write(asker->second, Ack{errand->second.asked_number, ack.alive_host}));
  }
  errands_.erase(errand);
}

void Membership::Learn(const Member& news, absl::Time now, bool direct,
                       std::vector<MemberChange>* changes) {
  if (news.id == self_.id) {
    Refute(news);
    return;
  }
  auto [found, inserted] = members_.try_emplace(news.id);
  Entry& entry = found->second;
  bool first = inserted || !entry.heard;
  // A host that was forgotten is not brought back by old news of its death.
  if (first && !direct && news.state == MemberState::kDead) {
    if (inserted) members_.erase(found);
    return;
  }
  // Hearing a host itself outweighs what others suspect of it.
  bool contradicts = direct && news.incarnation == entry.member.incarnation &&
                     (entry.member.state == MemberState::kSuspect ||
                      entry.member.state == MemberState::kDead);
  if (!first && !contradicts && !Newer(news, entry.member)) return;
  MemberState before = first ? MemberState::kDead : entry.member.state;
  std::uint64_t revision = std::max(news.revision, entry.member.revision);
  bool same_start = entry.member.incarnation == news.incarnation;
  // A new version in force is no news of a member: hosts hear of versions from
  // every probe, and passing 350 of them on at each change would crowd out the
  // deaths, which then took minutes to reach all.
  Member told = news;
  told.config_version = entry.member.config_version;
  told.revision = entry.member.revision;
  bool worth_telling = first || told != entry.member;
  entry.member = news;
  if (same_start) entry.member.revision = revision;
  entry.heard = true;
  if (worth_telling) entry.news_left = NewsRounds();
  ++changes_;
  if (news.config_version > newest_config_) {
    newest_config_ = news.config_version;
    newest_config_host_ = news.id;
  }
  if (before != news.state || first) {
    entry.since = now;
    changes->push_back({entry.member, before, first});
  }
}

// Someone suspects this host, or takes it for dead. A higher revision makes the
// denial newer than the suspicion everywhere.
void Membership::Refute(const Member& news) {
  if (news.incarnation != self_.incarnation) return;
  bool doubted =
      news.state == MemberState::kSuspect || news.state == MemberState::kDead;
  if (doubted && news.revision >= self_.revision) {
    self_.revision = news.revision + 1;
  }
}

void Membership::SetState(Entry& entry, MemberState state, absl::Time now,
                          std::vector<MemberChange>* changes) {
  MemberState before = entry.member.state;
  entry.member.state = state;
  ++changes_;
  entry.since = now;
  entry.news_left = NewsRounds();
  changes->push_back({entry.member, before, false});
}

Envelope Membership::Write(const Entry& to, decltype(Envelope::body) body) {
  Envelope envelope{self_, to.member.id, to.member.address, std::move(body),
                    TakeNews()};
  // The receiver must learn what is thought of it, or it could not deny it.
  if (to.heard && to.member.state != MemberState::kAlive) {
    envelope.updates.push_back(to.member);
  }
  return envelope;
}

std::vector<Member> Membership::TakeNews() {
  std::vector<Entry*> fresh;
  for (auto& [id, entry] : members_) {
    if (entry.news_left > 0) fresh.push_back(&entry);
  }
  // What was passed on least goes first.
  std::stable_sort(fresh.begin(), fresh.end(), [](Entry* a, Entry* b) {
    return a->news_left > b->news_left;
  });
  if (fresh.size() > kNewsPerMessage) fresh.resize(kNewsPerMessage);
  std::vector<Member> news;
  for (Entry* entry : fresh) {
    --entry->news_left;
    news.push_back(entry->member);
  }
  return news;
}

int Membership::NewsRounds() const {
  return kNewsRounds * (1 + static_cast<int>(std::log2(
                                1.0 + static_cast<double>(members_.size()))));
}

void Membership::ProbeSoon(const EntryHostId& host) {
  if (std::find(urgent_.begin(), urgent_.end(), host) == urgent_.end()) {
    urgent_.push_back(host);
  }
}

void Membership::SetRoles(std::vector<HeldRole> roles) {
  if (self_.roles == roles) return;
  self_.roles = std::move(roles);
  ++self_.revision;
}

void Membership::SetConfigVersion(std::int64_t version) {
  if (self_.config_version == version) return;
  self_.config_version = version;
  ++self_.revision;
}

void Membership::Leave() {
  self_.state = MemberState::kLeaving;
  ++self_.revision;
}

const Member* Membership::Find(const EntryHostId& id) const {
  if (id == self_.id) return &self_;
  auto found = members_.find(id);
  if (found == members_.end() || !found->second.heard) return nullptr;
  return &found->second.member;
}

std::vector<Member> Membership::Peers() const {
  std::vector<Member> others;
  for (const auto& [id, entry] : members_) {
    if (entry.heard) others.push_back(entry.member);
  }
  return others;
}

}  // namespace gentianlb::member
