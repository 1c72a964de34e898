// Processes a claim from Open() to its verdict.

#include "claim/claim_machine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::claim {
namespace {

// Maximum time between two timer events.
constexpr absl::Duration kTickInterval = absl::Seconds(1);

// How long after its row was written a request may still reach its server.
constexpr absl::Duration kMaxSendTime = absl::Seconds(10);

}  // namespace

ClaimMachine::ClaimMachine(ClaimOptions options, absl::Time now)
    : options_(std::move(options)),
      coverage_(options_.coverage, options_.self, options_.incarnation, now),
      started_(now),
      now_(now),
      next_scan_(now),
      paused_from_(now),
      awake_since_(now) {}

void ClaimMachine::Handle(const Event& event, absl::Time now,
                          std::vector<Action>* actions) {
  actions_ = actions;
  AdvanceTime(now);
  std::visit([this](const auto& typed) { On(typed); }, event);
  actions_ = nullptr;
}

void ClaimMachine::SetPeers(std::vector<EntryHostId> peers) {
  peers_.insert(peers.begin(), peers.end());
  peers_.erase(options_.self);
}

absl::Time ClaimMachine::NextWakeup() const {
  absl::Time next = std::min(next_scan_, now_ + kTickInterval);
  return scanning_ ? now_ + kTickInterval : next;
}

void ClaimMachine::AdvanceTime(absl::Time now) {
  if (now - now_ > options_.pause_gap) {
    bool new_pause = now_ - awake_since_ > options_.max_transit;
    if (new_pause) paused_from_ = now_;
    awake_since_ = now;
  }
  now_ = now;
}

// Returns a lower bound of the send time of a message that arrives now. The
// HTTP server limits the transit time, but a message may also have waited in a
// socket while this process was paused.
absl::Time ClaimMachine::EarliestSendTime() const {
  absl::Time transit_bound = now_ - options_.max_transit;
  return transit_bound < awake_since_ ? paused_from_ - options_.max_transit
                                      : transit_bound;
}

absl::Time ClaimMachine::EarliestFirstSend(const ClaimRequest& request) const {
  absl::Time bound = EarliestSendTime();
  if (request.attempt != 1) bound -= options_.coverage.key_window;
  if (!request.key_time) return bound;
  return std::max(bound, *request.key_time - options_.coverage.clock_skew);
}

// --- Events -----------------------------------------------------------------

void ClaimMachine::On(const ClaimOpened& event) {
  ++counters_.opened;
  Claim& claim = claims_[event.id];
  claim.id = event.id;
  claim.request = event.request;
  claim.first_sent = EarliestFirstSend(event.request);
  Begin(claim);
}

void ClaimMachine::On(const AttachFailed& event) {
  Claim* claim = Find(event.id);
  if (claim == nullptr || claim->phase != Phase::kAttached) return;
  // Restart as a re-send: the owner may have run the key or deleted its row.
  Claim again;
  again.id = claim->id;
  again.request = claim->request;
  again.first_sent = claim->first_sent;
  again.attach_failed = true;
  *claim = std::move(again);
  Begin(*claim);
}

void ClaimMachine::On(const ClaimAbandoned& event) {
  Claim* claim = Find(event.id);
  if (claim == nullptr) return;
  if (claim->phase == Phase::kRunning) {
    Finish(*claim);
    return;
  }
  Release(*claim);
  claims_.erase(event.id);
}

void ClaimMachine::On(const PeerAnswered& event) {
  auto node = calls_.extract(event.call);
  if (node.empty()) return;
  Claim* claim = Find(node.mapped().claim);
  if (claim == nullptr) return;
  auto query = claim->queries.extract(event.call);
  if (query.empty()) return;
  if (event.answer) aware_peers_.insert(query.mapped());
  if (claim->phase == Phase::kQueryingOwner) {
    OnOwnerAnswer(*claim, event.answer);
  } else {
    OnPeerAnswer(*claim, query.mapped(), event.answer);
  }
}

// --- Writing the row --------------------------------------------------------

void ClaimMachine::Begin(Claim& claim) {
  if (coverage_.superseded()) {
    GiveRefusal(claim, Code::kLeaseLost, "another incarnation took over");
    return;
  }
  const ClaimRequest& request = claim.request;
  // Concurrent requests for one key at this host share one claim.
  if (Claim* holder = FindHolder(request.key)) {
    if (holder->request.body_digest != request.body_digest) {
      GiveRefusal(claim, Code::kKeyReused, "");
    } else {
      GiveAttach(claim, options_.self);
    }
    return;
  }
  if (std::optional<FinishedKey> finished = memory_.FindFinished(request.key)) {
    if (finished->body_digest != request.body_digest) {
      GiveRefusal(claim, Code::kKeyReused, "");
    } else if (!request.idempotent) {
      GiveRefusal(claim, Code::kKeyAlreadyRun,
                  "ran at " + finished->server.str());
    } else {
      GiveResume(claim, {claim.request.key, finished->server, true});
    }
    return;
  }
  holders_[request.key] = claim.id;
  claim.token = absl::StrCat(options_.self.str(), "/", options_.incarnation,
                             "/", next_token_++);
  claim.promises = memory_.FindPromises(request.key);
  if (table_up_) {
    WriteRow(claim);
  } else {
    OnTableFailed(claim);
  }
}

void ClaimMachine::WriteRow(Claim& claim) {
  claim.phase = Phase::kWriting;
  // Keep the time of the first write: any of the writes may have taken effect.
  if (!claim.row_may_exist) claim.row_sent = now_;
  claim.row_may_exist = true;
  Commit(Purpose::kClaimWrite, claim.id, claim.token, RowKey(claim.request.key),
         claim.replaced_version, Encode(RowOf(claim, RowState::kClaimed)));
}

void ClaimMachine::ReadRow(Claim& claim, Phase phase) {
  claim.phase = phase;
  Read(Purpose::kClaimRead, claim.id, claim.token, RowKey(claim.request.key));
}

void ClaimMachine::OnRowWritten(Claim& claim,
                                const store::CommitResult& result) {
  if (claim.phase != Phase::kWriting) return;
  switch (result.state) {
    case store::CommitState::kCommitted:
      OnRowDurable(claim, result.versions.empty() ? claim.replaced_version + 1
                                                  : result.versions[0].version);
      return;
    case store::CommitState::kConflict:
    case store::CommitState::kUnknown:
      // The write may have taken effect although its answer was lost. Decide
      // only after a read shows whether the row has this claim's token.
      ReadRow(claim, Phase::kReading);
      return;
    case store::CommitState::kNotApplied:
      OnTableFailed(claim);
      return;
  }
}

void ClaimMachine::OnRowRead(Claim& claim, const store::Row* row) {
  if (claim.phase != Phase::kReading) return;
  if (row == nullptr) {
    claim.replaced_version = 0;
    WriteRow(claim);
    return;
  }
  std::optional<ClaimRow> found = DecodeClaim(row->value);
  if (!found) {
    GiveRefusal(claim, Code::kClaimInDoubt, "the row can't be read");
  } else if (found->token == claim.token) {
    OnRowDurable(claim, row->version);
  } else {
    OnForeignRow(claim, *row, *found);
  }
}

void ClaimMachine::OnTableFailed(Claim& claim) {
  if (!claim.request.idempotent) {
    GiveRefusal(claim, TableDownCode(claim), "the table does not answer");
  } else if (coverage_.HasLapsed(now_)) {
    RunWithoutTable(claim);
  } else {
    // Until the lease lapses, peers assume that this host writes a row for
    // every key it runs.
    claim.phase = Phase::kQueued;
  }
}

// --- Row of another claim ---------------------------------------------------

void ClaimMachine::OnForeignRow(Claim& claim, const store::Row& row,
                                const ClaimRow& foreign) {
  if (foreign.body_digest != claim.request.body_digest) {
    GiveRefusal(claim, Code::kKeyReused, "");
    return;
  }
  if (foreign.state == RowState::kDone && !claim.request.idempotent) {
    GiveRefusal(claim, Code::kKeyAlreadyRun, "ran at " + foreign.server.str());
    return;
  }
  claim.found_row = row;
  if (foreign.owner != options_.self) {
    claim.phase = Phase::kQueryingOwner;
    Query(claim, foreign.owner, foreign.token);
  } else if (memory_.IsAbandoned(foreign.token)) {
    TakeOver(claim);
  } else {
    OnOwnerUnavailable(claim, foreign);
  }
}

void ClaimMachine::OnOwnerAnswer(Claim& claim,
                                 const std::optional<PeerAnswer>& answer) {
  std::optional<ClaimRow> foreign = DecodeClaim(claim.found_row->value);
  PeerState state = answer ? answer->state : PeerState::kNoPromise;
  if (state == PeerState::kHeld && !claim.attach_failed) {
    GiveAttach(claim, foreign->owner);
  } else if (state == PeerState::kAbandoned) {
    TakeOver(claim);
  } else if (state == PeerState::kFinished && claim.request.idempotent) {
    GiveResume(claim, {claim.request.key, answer->server, true});
  } else if (state == PeerState::kFinished) {
    GiveRefusal(claim, Code::kKeyAlreadyRun, "ran at " + answer->server.str());
  } else {
    OnOwnerUnavailable(claim, *foreign);
  }
}

// Handles a row whose owner is dead, unreachable, or has forgotten the key.
void ClaimMachine::OnOwnerUnavailable(Claim& claim, const ClaimRow& foreign) {
  if (foreign.fenced && foreign.state == RowState::kClaimed) {
    // The owner must replace this row version before it sends the first byte.
    // That write fails once our row is in place.
    TakeOver(claim);
  } else if (claim.request.idempotent) {
    Resume resume{claim.request.key, foreign.server, /*finished=*/false};
    resume.may_be_in_transit = now_ - foreign.written <= kMaxSendTime;
    GiveResume(claim, resume);
  } else {
    GiveRefusal(claim, Code::kClaimInDoubt,
                "sent to " + foreign.server.str() + " by a host that is gone");
  }
}

void ClaimMachine::TakeOver(Claim& claim) {
  claim.replaced_version = claim.found_row->version;
  WriteRow(claim);
}

// --- Own row is durable -----------------------------------------------------

void ClaimMachine::OnRowDurable(Claim& claim, store::RowVersion version) {
  claim.version = version;
  CheckUnrecordedRuns(claim);
}

// Checks whether a host that lost the table ran the key without a row. A
// request marked as the first attempt rules that out, and so do current leases.
void ClaimMachine::CheckUnrecordedRuns(Claim& claim) {
  const ClaimRequest& request = claim.request;
  bool unmarked_but_certain =
      request.attempt == 0 && coverage_.HasFullMemory(claim.first_sent);
  bool first_attempt = request.attempt == 1 || unmarked_but_certain;
  bool may_have_run = claim.attach_failed || !first_attempt;
  // No host runs a non-idempotent request without a row.
  if (!request.idempotent) {
    GiveProceed(claim);
    return;
  }
  if (!coverage_.registered() || !coverage_.IsScanFresh(now_)) {
    claim.phase = Phase::kAwaitingScan;
    StartScan();
    return;
  }
  Suspects suspects;
  if (may_have_run) {
    suspects = coverage_.FindSuspects(claim.row_sent, claim.first_sent, now_);
  }
  std::set<EntryHostId> peers(suspects.to_query.begin(),
                              suspects.to_query.end());
  // A peer that queried this host about the key may be running it.
  for (const Promise& promise : claim.promises) peers.insert(promise.requester);
  // A host that does not know this one may run a re-send of the key without
  // querying this host, or may have done so and lost its memory.
  if (coverage_.AnyLostRunUnaware(claim.first_sent)) suspects.lost_run = true;
  for (const EntryHostId& host : coverage_.UnawareHosts()) {
    if (!aware_peers_.contains(host)) peers.insert(host);
  }
  // The owner of the replaced row must update that row before it dispatches,
  // and can no longer do so. Querying it would keep the key in doubt until a
  // dead owner is replaced.
  if (claim.replaced_version != 0 && claim.found_row.has_value()) {
    std::optional<ClaimRow> replaced = DecodeClaim(claim.found_row->value);
    if (replaced.has_value()) peers.erase(replaced->owner);
  }
  claim.phase = Phase::kQueryingPeers;
  claim.in_doubt = suspects.lost_run;
  if (!claim.in_doubt) {
    for (const EntryHostId& peer : peers) Query(claim, peer, "");
  }
  if (claim.queries.empty()) OnAllPeersAnswered(claim);
}

void ClaimMachine::Query(Claim& claim, const EntryHostId& peer,
                         std::string token) {
  ++counters_.queries;
  CallId call = NewCall(Purpose::kQuery, claim.id, claim.token);
  claim.queries[call] = peer;
  PeerQuery query{claim.request.key, options_.self, options_.incarnation,
                  std::move(token), claim.version != 0};
  actions_->push_back(QueryCall{call, peer, std::move(query)});
}

void ClaimMachine::OnPeerAnswer(Claim& claim, const EntryHostId& peer,
                                const std::optional<PeerAnswer>& answer) {
  if (answer && answer->state == PeerState::kHeld) {
    GiveAttach(claim, peer);
    return;
  }
  if (answer && answer->state == PeerState::kFinished) {
    GiveResume(claim, {claim.request.key, answer->server, true});
    return;
  }
  if (!ProvesNotRun(claim, peer, answer)) claim.in_doubt = true;
  if (claim.queries.empty()) OnAllPeersAnswered(claim);
}

// Returns whether the answer proves that `peer` has not run the key and will
// not run it.
bool ClaimMachine::ProvesNotRun(const Claim& claim, const EntryHostId& peer,
                                const std::optional<PeerAnswer>& answer) const {
  if (!answer || answer->state != PeerState::kNotHeld) return false;
  // A restarted peer has forgotten what its earlier incarnation ran.
  if (coverage_.SpansKey(answer->memory_start, claim.first_sent)) return true;
  if (claim.phase != Phase::kQueryingPeers) return false;
  // The answer must come from the incarnation that the lease or the promise
  // names.
  bool matches = true;
  bool promised = false;
  for (const Promise& promise : claim.promises) {
    if (promise.requester != peer) continue;
    promised = true;
    matches = matches && promise.incarnation == answer->incarnation;
  }
  if (promised) return matches;
  return answer->incarnation == coverage_.IncarnationOf(peer);
}

void ClaimMachine::OnAllPeersAnswered(Claim& claim) {
  if (!claim.in_doubt) {
    GiveProceed(claim);
  } else if (claim.phase == Phase::kQueryingPeers) {
    GiveRefusal(claim, Code::kClaimInDoubt, "a host that may know is away");
  } else {
    GiveRefusal(claim, TableDownCode(claim), "the table and a peer are away");
  }
}

// --- Without the table ------------------------------------------------------

void ClaimMachine::RunWithoutTable(Claim& claim) {
  bool first = claim.request.attempt == 1 && claim.promises.empty() &&
               !claim.attach_failed;
  // If the key was first sent after this host's lease lapsed, a host that gets
  // a re-send sees the lapsed lease and queries this host.
  bool after_lapse =
      coverage_.SpansKey(coverage_.LapseTime(), claim.first_sent);
  if (first && after_lapse) {
    GiveProceed(claim);
  } else {
    QueryAllPeers(claim);
  }
}

void ClaimMachine::QueryAllPeers(Claim& claim) {
  claim.phase = Phase::kQueryingAllPeers;
  // No query can find a run that this host or an unavailable one has forgotten.
  claim.in_doubt = !coverage_.SpansKey(started_, claim.first_sent) ||
                   coverage_.AnyLostRun(claim.first_sent);
  if (!claim.in_doubt) {
    for (const EntryHostId& peer : AllPeers()) Query(claim, peer, "");
  }
  if (claim.queries.empty()) OnAllPeersAnswered(claim);
}

// --- Queries from peers -----------------------------------------------------

PeerAnswer ClaimMachine::HandleQuery(const PeerQuery& query, absl::Time now,
                                     std::vector<Action>* actions) {
  actions_ = actions;
  AdvanceTime(now);
  peers_.insert(query.requester);
  PeerAnswer answer{PeerState::kNoPromise, options_.incarnation, started_, {}};
  AnswerQuery(query, &answer);
  actions_ = nullptr;
  return answer;
}

void ClaimMachine::AnswerQuery(const PeerQuery& query, PeerAnswer* answer) {
  if (coverage_.superseded()) return;
  if (Claim* holder = FindHolder(query.key)) {
    if (!YieldsTo(*holder, query)) {
      answer->state = PeerState::kHeld;
      return;
    }
    GiveAttach(*holder, query.requester);
  }
  if (auto finished = memory_.FindFinished(query.key)) {
    answer->state = PeerState::kFinished;
    answer->server = finished->server;
  } else if (memory_.IsAbandoned(query.token)) {
    answer->state = PeerState::kAbandoned;
  } else if (memory_.AddPromise(query.key,
                                {query.requester, query.incarnation, now_})) {
    answer->state = PeerState::kNotHeld;
  }
}

// Returns whether `holder` yields the key to the requester of `query`. Of two
// hosts that query each other about the same key, exactly one must proceed: the
// one with a durable row, or else the one with the lower name.
bool ClaimMachine::YieldsTo(const Claim& holder, const PeerQuery& query) const {
  bool decided =
      holder.phase == Phase::kReady || holder.phase == Phase::kFencing ||
      holder.phase == Phase::kFenceReading || holder.phase == Phase::kRunning;
  if (decided || !holder.request.idempotent) return false;
  if (!query.token.empty() || holder.version != 0) return false;
  return query.durable || query.requester < options_.self;
}

// --- Helpers ----------------------------------------------------------------

ClaimMachine::Claim* ClaimMachine::Find(ClaimId id) {
  auto found = claims_.find(id);
  return found == claims_.end() ? nullptr : &found->second;
}

ClaimMachine::Claim* ClaimMachine::FindHolder(const ClaimKey& key) {
  auto found = holders_.find(key);
  return found == holders_.end() ? nullptr : Find(found->second);
}

std::vector<EntryHostId> ClaimMachine::AllPeers() const {
  std::set<EntryHostId> all = peers_;
  for (EntryHostId& host : coverage_.LeasedPeers()) all.insert(std::move(host));
  return {all.begin(), all.end()};
}

CallId ClaimMachine::NewCall(Purpose purpose, ClaimId claim,
                             std::string token) {
  CallId call = next_call_++;
  calls_[call] = {purpose, claim, std::move(token), now_};
  return call;
}

void ClaimMachine::Commit(Purpose purpose, ClaimId claim, std::string token,
                          const std::string& row_key, store::RowVersion version,
                          std::optional<std::string> value) {
  ++counters_.row_writes;
  CallId call = NewCall(purpose, claim, std::move(token));
  store::Transaction transaction{
      "", {{row_key, version}}, {{row_key, std::move(value)}}};
  actions_->push_back(CommitCall{call, std::move(transaction)});
}

void ClaimMachine::Read(Purpose purpose, ClaimId claim, std::string token,
                        const std::string& row_key) {
  ++counters_.row_reads;
  CallId call = NewCall(purpose, claim, std::move(token));
  actions_->push_back(ReadCall{call, {row_key}});
}

}  // namespace gentianlb::claim
