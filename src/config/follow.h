// The follower: keeps a host at the newest confirmed version.
//
// Each host reads the head row at its own staggered pace, and tells peers when
// it has a new version; a peer that hears of one reads at once. A host that the
// platform doesn't answer takes head and rows from a peer: rows are named by
// their digest, so that it matters little who hands them on. Only a version
// that grows is taken, and only whole; whatever is missing or corrupt leaves
// the old one in force.

#ifndef GENTIANLB_CONFIG_FOLLOW_H_
#define GENTIANLB_CONFIG_FOLLOW_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "config/follow_pace.h"
#include "config/in_force.h"
#include "config/rows.h"
#include "store/messages.h"

namespace gentianlb::config {

// How a follower reaches other entry hosts. Each call of Read() answers once,
// later, on the control thread.
template <typename P>
concept PeerLink = requires(P peers, EntryHostId peer,
                            std::vector<std::string> keys, Version version,
                            std::function<void(store::ReadResult)> read) {
  // The rows that the peer's follower has for these keys.
  peers.ReadRows(peer, keys, read);
  // Tells some peers that this host has `version`.
  peers.Announce(version);
  // The peers that are thought to live.
  { peers.Candidates() } -> std::same_as<std::vector<EntryHostId>>;
};

// What a follower has met, for metrics.
struct FollowCounters {
  std::uint64_t polls = 0;
  std::uint64_t applied = 0;
  std::uint64_t refused = 0;     // Half-read or corrupt.
  std::uint64_t went_back = 0;   // A head below what is in force.
  std::uint64_t from_peers = 0;  // Versions that a peer handed on.
  std::uint64_t rows_read = 0;
  std::uint64_t bytes_read = 0;
  bool operator==(const FollowCounters&) const = default;
};

// Owned by the control thread. The table and the peers outlive it.
template <store::TableService Table, PeerLink Peers>
class Follower {
 public:
  using Applied = std::function<void(InForcePtr)>;

  Follower(const FollowOptions& options, Table& table, Peers& peers,
           Applied applied)
      : options_(options),
        table_(table),
        peers_(peers),
        applied_(std::move(applied)),
        in_force_(std::make_shared<const InForce>()),
        alive_(std::make_shared<bool>(true)) {}

  // Call at NextDue() or sooner; an answer or news may bring it forward.
  void Tick(absl::Time now) {
    CheckProgress(now);
    Tell(now);
    if (fetch_ || now < next_poll_) return;
    next_poll_ = now + PollPeriod(options_, counters_.polls);
    ++counters_.polls;
    StartFetch(std::nullopt, now);
  }

  absl::Time NextDue() const {
    absl::Time next =
        fetch_ ? fetch_started_ + options_.fetch_limit : next_poll_;
    return tellings_left_ > 0 ? std::min(next, next_telling_) : next;
  }

  // A peer has told that it has `version`.
  void OnNews(Version version, const EntryHostId& peer, absl::Time now) {
    newest_heard_ = std::max(newest_heard_, version);
    if (version <= current_version()) return;
    // The latest to tell is the likeliest to live.
    news_from_ = peer;
    // Hosts that hear at the same moment must not all read at once.
    next_poll_ = std::min(next_poll_, now + NewsDelay(options_));
  }

  // Whether this host may take requests. A host that was restarted and has
  // heard of a version that it can't get would run an old one; it waits. Once
  // ready it stays so: in an outage it serves by what it has.
  bool ready() const { return ready_; }

  InForcePtr current() const { return in_force_; }
  Version current_version() const { return in_force_->configuration.version; }
  const FollowCounters& counters() const { return counters_; }

  // For peers: the rows of the version in force, and its head.
  std::vector<store::Row> RowsFor(const std::vector<std::string>& keys) const {
    std::vector<store::Row> rows;
    const Snapshot& snapshot = in_force_->snapshot;
    for (const std::string& key : keys) {
      auto row = snapshot.rows.find(key);
      if (row != snapshot.rows.end()) rows.push_back({key, row->second, 1});
      bool head = key == kHeadKey && current_version() > 0;
      if (!head) continue;
      rows.push_back({key, EncodeHead({current_version(), snapshot.index}), 1});
    }
    return rows;
  }

 private:
  // One attempt to get a newer version, from the platform or from a peer.
  struct Fetch {
    std::optional<EntryHostId> peer;  // None: the platform.
    Head head;
    Snapshot snapshot;
    std::vector<std::string> missing;  // Shards still to be read.
  };
  using FetchPtr = std::shared_ptr<Fetch>;
  using Step = void (Follower::*)(const std::vector<store::Row>& rows,
                                  absl::Time now);

  // An answer that never comes must not stop the following; a long read that
  // goes on is left alone.
  void CheckProgress(absl::Time now) {
    if (!fetch_ || now < fetch_started_ + options_.fetch_limit) return;
    if (!std::exchange(progress_, false)) return SourceFailed(now);
    fetch_started_ = now;
  }

  // Some peers hear nothing of one telling: with three told by each host, one
  // in twenty would wait for its own next poll. Telling again in rounds reaches
  // them for a few dozen bytes.
  void Tell(absl::Time now) {
    if (tellings_left_ == 0 || now < next_telling_) return;
    --tellings_left_;
    next_telling_ = now + options_.news_spread;
    peers_.Announce(current_version());
  }

  void StartFetch(std::optional<EntryHostId> peer, absl::Time now) {
    fetch_ = std::make_shared<Fetch>();
    fetch_->peer = std::move(peer);
    fetch_started_ = now;
    progress_ = false;
    ReadRows({kHeadKey}, &Follower::TakeHead, now);
  }

  void EndFetch() { fetch_ = nullptr; }

  // Reads from the fetch's source and goes on with `step`. An answer to a fetch
  // that was given up meanwhile is dropped.
  void ReadRows(std::vector<std::string> keys, Step step, absl::Time now) {
    FetchPtr fetch = fetch_;
    std::weak_ptr<bool> alive = alive_;
    auto read = [this, alive, fetch, step, now](store::ReadResult rows) {
      if (alive.expired() || fetch != fetch_) return;
      if (!rows.ok()) return SourceFailed(now);
      for (const store::Row& row : rows.value()) {
        ++counters_.rows_read;
        counters_.bytes_read += row.key.size() + row.value.size();
      }
      (this->*step)(rows.value(), now);
    };
    if (!fetch->peer) return table_.Read(keys, read);
    peers_.ReadRows(*fetch->peer, keys, read);
  }

  // The platform is out or slow: a peer may know more. When the peer does not
  // answer either, another is asked at the next poll, which comes soon when
  // there is something to get.
  void SourceFailed(absl::Time now) {
    bool was_platform = !fetch_->peer;
    EndFetch();
    bool wanted = newest_heard_ > current_version();
    if (wanted) next_poll_ = std::min(next_poll_, now + options_.retry);
    if (!was_platform) return;
    std::optional<EntryHostId> peer = PickPeer();
    if (peer) StartFetch(peer, now);
  }

  // Who told the news first, and else one after the other.
  std::optional<EntryHostId> PickPeer() {
    if (news_from_) return std::exchange(news_from_, std::nullopt);
    std::vector<EntryHostId> all = peers_.Candidates();
    if (all.empty()) return std::nullopt;
    return all[next_peer_++ % all.size()];
  }

  void TakeHead(const std::vector<store::Row>& rows, absl::Time now) {
    if (rows.empty()) return NothingNewer(0, now);
    auto head = DecodeHead(rows[0].value);
    if (!head.ok()) return Refuse();
    Version version = head.value().version;
    if (version <= current_version()) return NothingNewer(version, now);
    fetch_->head = head.value();
    fetch_->snapshot.index = fetch_->head.index;
    newest_heard_ = std::max(newest_heard_, version);
    ReadRows({fetch_->head.index}, &Follower::TakeIndex, now);
  }

  // The source has no newer version. A table that was restored from an old copy
  // shows a lower one; this host must not go back with it, and a peer may have
  // the newer one that was heard of.
  void NothingNewer(Version version, absl::Time now) {
    if (version < current_version()) ++counters_.went_back;
    bool was_platform = !fetch_->peer;
    EndFetch();
    if (!was_platform || newest_heard_ <= current_version()) return;
    std::optional<EntryHostId> peer = PickPeer();
    if (peer) StartFetch(peer, now);
  }

  void TakeIndex(const std::vector<store::Row>& rows, absl::Time now) {
    bool good = !rows.empty() && rows[0].key == fetch_->head.index &&
                Intact(rows[0].key, rows[0].value);
    if (!good) return Refuse();
    auto shards = DecodeIndex(rows[0].value);
    if (!shards.ok()) return Refuse();
    fetch_->snapshot.rows.emplace(rows[0].key, rows[0].value);
    for (const std::string& key : shards.value().shards) Want(key);
    ReadShards(now);
  }

  // Shards that are here already are not read again.
  void Want(const std::string& key) {
    const RowTexts& held = in_force_->snapshot.rows;
    auto row = held.find(key);
    if (row != held.end()) fetch_->snapshot.rows.insert(*row);
    if (row == held.end()) fetch_->missing.push_back(key);
  }

  void ReadShards(absl::Time now) {
    std::vector<std::string>& missing = fetch_->missing;
    if (missing.empty()) return Apply();
    auto keys = TakeLast(&missing, options_.rows_per_read);
    expected_ = keys.size();
    ReadRows(std::move(keys), &Follower::TakeShards, now);
  }

  void TakeShards(const std::vector<store::Row>& rows, absl::Time now) {
    if (rows.size() != expected_) return Refuse();
    for (const store::Row& row : rows) {
      if (!Intact(row.key, row.value)) return Refuse();
      fetch_->snapshot.rows.emplace(row.key, row.value);
    }
    progress_ = true;
    ReadShards(now);
  }

  // The old version stays; the next poll tries again.
  void Refuse() {
    ++counters_.refused;
    EndFetch();
  }

  void Apply() {
    auto whole = assembler_.Assemble(fetch_->head.version, fetch_->snapshot);
    if (!whole.ok()) return Refuse();
    auto next = std::make_shared<InForce>();
    next->configuration = std::move(whole.value());
    next->snapshot = std::move(fetch_->snapshot);
    if (fetch_->peer) ++counters_.from_peers;
    EndFetch();
    ++counters_.applied;
    in_force_ = std::move(next);
    ready_ = ready_ || current_version() >= newest_heard_;
    applied_(in_force_);
    tellings_left_ = options_.tellings - 1;
    next_telling_ = fetch_started_ + options_.news_spread;
    peers_.Announce(current_version());
  }

  const FollowOptions options_;
  Table& table_;
  Peers& peers_;
  Applied applied_;
  Assembler assembler_;
  InForcePtr in_force_;
  bool ready_ = false;
  Version newest_heard_ = 0;
  std::optional<EntryHostId> news_from_;
  std::size_t next_peer_ = 0;
  std::size_t expected_ = 0;
  FetchPtr fetch_;         // Null: none is on.
  bool progress_ = false;  // It read shards since it was last looked at.
  absl::Time fetch_started_ = absl::InfinitePast();
  absl::Time next_poll_ = absl::InfinitePast();
  int tellings_left_ = 0;
  absl::Time next_telling_ = absl::InfinitePast();
  FollowCounters counters_;
  std::shared_ptr<bool> alive_;  // Gone with the follower.
};

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_FOLLOW_H_
