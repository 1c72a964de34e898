#include "gateway/stream_versions.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::gateway {
namespace {

// Peers that have not answered by then are asked again, once; by the second
// interval, they are cut off, frozen or gone. A caller waits meanwhile.
constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(40);

// Interval of forgetting streams that have ended.
constexpr absl::Duration kForgetInterval = absl::Seconds(2);

// Streams in one datagram, which then has some ten kilobytes.
constexpr std::size_t kMaxBeginsPerMessage = 400;

std::uint64_t Weight(const HostEntry& host, StreamId stream) {
  return StreamIdOf(RequestId(absl::StrCat(host.host, "/", stream)));
}

}  // namespace

StreamVersions::StreamVersions(EntryHostId self, ZoneId zone,
                               TimerService* timers,
                               std::function<absl::Time()> clock,
                               StreamVersionsHooks hooks)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      timers_(timers),
      clock_(std::move(clock)),
      hooks_(std::move(hooks)) {}

StreamVersions::~StreamVersions() {
  for (const auto& [stream, query] : queries_) timers_->Cancel(query.timer);
}

void StreamVersions::SetServers(const std::vector<ServerEntry>& servers) {
  const absl::Time now = clock_();
  std::map<NameHash, std::set<std::string>> present;
  for (const ServerEntry& server : servers) {
    present[HashName(server.service.str())].insert(server.version);
  }
  for (const auto& [service, versions] : present) histories_[service];
  for (auto& [service, history] : histories_) {
    UpdateSeveral(service, now);
    history.Update(present[service], now);
    UpdateSeveral(service, now);
  }
  if (records_ != nullptr) records_->OnVersions();
}

std::set<std::string> StreamVersions::VersionsSince(NameHash service,
                                                    absl::Time from) const {
  std::set<std::string> versions;
  const auto history = histories_.find(service);
  if (history != histories_.end()) {
    versions = history->second.VersionsSince(from);
  }
  if (records_ != nullptr) {
    versions.merge(records_->VersionsSince(service, from));
  }
  return versions;
}

bool StreamVersions::UpdateSeveral(NameHash service, absl::Time now) {
  if (VersionsSince(service, now - kMaxStreamLife).size() <= 1) {
    several_.erase(service);
    return false;
  }
  if (!several_.insert(service).second) return true;
  std::map<StreamId, Stream> begun;
  for (const auto& [stream, entry] : streams_) {
    if (entry.began_here && entry.service == service && entry.until > now) {
      begun[stream] = entry;
    }
  }
  PassOn(begun);
  return true;
}

void StreamVersions::PassOn(const std::map<StreamId, Stream>& streams) {
  Replicate(streams);
  if (records_ == nullptr) return;
  for (const auto& [stream, entry] : streams) {
    records_->OnBegin(stream, entry.version, entry.until);
  }
}

void StreamVersions::OnRecordsRead() {
  const absl::Time now = clock_();
  for (const auto& [service, history] : histories_) UpdateSeveral(service, now);
}

VersionSets StreamVersions::RegisteredVersions() const {
  VersionSets versions;
  const absl::Time from = clock_() - kMaxStreamLife;
  for (const auto& [service, history] : histories_) {
    versions[service] = history.VersionsSince(from);
  }
  return versions;
}

void StreamVersions::OnBegin(const ServiceId& service, StreamId stream,
                             const std::string& version, absl::Time until) {
  const NameHash name = HashName(service.str());
  const Stream entry{name, version, until, /*began_here=*/true};
  // A second version may have appeared or left meanwhile.
  if (UpdateSeveral(name, clock_())) PassOn({{stream, entry}});
  Remember(stream, entry);
}

void StreamVersions::Remember(StreamId stream, const Stream& entry) {
  const absl::Time now = clock_();
  if (now - forgot_at_ >= kForgetInterval) ForgetOld(now);
  if (streams_.size() >= kMaxStreams) {
    LOG_EVERY_N(WARNING, 1000) << "event=streams-full streams=" << kMaxStreams;
    return;
  }
  streams_.try_emplace(stream, entry);
}

void StreamVersions::ForgetOld(absl::Time now) {
  forgot_at_ = now;
  absl::erase_if(streams_,
                 [now](const auto& item) { return item.second.until <= now; });
}

std::vector<EntryHostId> StreamVersions::KeepersOf(StreamId stream) const {
  const HostEntry* near = nullptr;
  const HostEntry* far = nullptr;
  for (const HostEntry& host : peers_) {
    if (host.host == self_.str()) continue;
    const HostEntry*& best = host.zone == zone_.str() ? near : far;
    if (best == nullptr || Weight(host, stream) > Weight(*best, stream)) {
      best = &host;
    }
  }
  std::vector<EntryHostId> keepers;
  for (const HostEntry* keeper : {near, far}) {
    if (keeper != nullptr) keepers.emplace_back(keeper->host);
  }
  return keepers;
}

void StreamVersions::Replicate(const std::map<StreamId, Stream>& streams) {
  const absl::Time now = clock_();
  std::map<EntryHostId, StreamMessage> messages;
  for (const auto& [stream, entry] : streams) {
    for (const EntryHostId& keeper : KeepersOf(stream)) {
      StreamMessage& message = messages[keeper];
      message.from = self_;
      message.begins.push_back({stream, entry.version, entry.until - now});
      if (message.begins.size() < kMaxBeginsPerMessage) continue;
      hooks_.send(keeper, std::exchange(message, {}));
    }
  }
  for (const auto& [keeper, message] : messages) {
    if (!message.begins.empty()) hooks_.send(keeper, message);
  }
}

// --- Queries -----------------------------------------------------------------

StreamAnswer StreamVersions::AnswerTo(const StreamQuery& query) const {
  const absl::Time now = clock_();
  StreamAnswer answer{query.stream, StreamKnowledge::kNothing, ""};
  const auto known = streams_.find(query.stream);
  if (known != streams_.end() && known->second.until > now) {
    answer.knowledge = StreamKnowledge::kBegan;
    answer.version = known->second.version;
    return answer;
  }
  if (records_ != nullptr) {
    if (const auto version = records_->Find(query.stream)) {
      answer.knowledge = StreamKnowledge::kBegan;
      answer.version = *version;
      return answer;
    }
  }
  const auto history = histories_.find(query.service);
  if (history == histories_.end()) return answer;
  const absl::Time from = now - query.life;
  const std::set<std::string> versions = history->second.VersionsSince(from);
  if (versions.size() > 1) {
    answer.knowledge = StreamKnowledge::kSeveral;
  } else if (versions.size() == 1 && history->second.Covers(from)) {
    answer.knowledge = StreamKnowledge::kOnlyVersion;
    answer.version = *versions.begin();
  }
  return answer;
}

void StreamVersions::Find(const ServiceId& service, StreamId stream,
                          absl::Duration life, Found found) {
  const NameHash name = HashName(service.str());
  const StreamAnswer own = AnswerTo({stream, name, life});
  const bool known = own.knowledge == StreamKnowledge::kBegan ||
                     own.knowledge == StreamKnowledge::kOnlyVersion;
  if (known) return found({own.version});
  const auto [entry, is_new] = queries_.try_emplace(stream);
  Query& query = entry->second;
  query.found.push_back(std::move(found));
  if (!is_new) return;
  query.service = name;
  query.life = life;
  query.asked_at = clock_();
  query.several = own.knowledge == StreamKnowledge::kSeveral;
  for (const HostEntry& host : peers_) {
    if (host.host != self_.str()) query.unanswered.emplace(host.host);
  }
  query.asked = query.unanswered.size();
  if (query.unanswered.empty()) return Conclude(stream);
  query.timer = timers_->At(query.asked_at + kAnswerTimeout,
                            [this, stream](absl::Time) { OnTimer(stream); });
  Ask(stream, query);
}

void StreamVersions::Ask(StreamId stream, const Query& query) {
  StreamMessage message;
  message.from = self_;
  message.queries.push_back({stream, query.service, query.life});
  for (const EntryHostId& host : query.unanswered) hooks_.send(host, message);
}

void StreamVersions::OnTimer(StreamId stream) {
  const auto found = queries_.find(stream);
  if (found == queries_.end()) return;
  Query& query = found->second;
  query.timer = 0;
  const absl::Time now = clock_();
  if (now - query.asked_at >= 2 * kAnswerTimeout) return Conclude(stream);
  query.timer = timers_->At(query.asked_at + 2 * kAnswerTimeout,
                            [this, stream](absl::Time) { OnTimer(stream); });
  Ask(stream, query);
}

void StreamVersions::HandleMessage(const StreamMessage& message) {
  const absl::Time now = clock_();
  for (const StreamBegin& begin : message.begins) {
    Remember(begin.stream, {.service = 0,
                            .version = begin.version,
                            .until = now + begin.time_left});
  }
  if (!message.queries.empty()) {
    StreamMessage reply;
    reply.from = self_;
    for (const StreamQuery& query : message.queries) {
      reply.answers.push_back(AnswerTo(query));
    }
    hooks_.send(message.from, reply);
  }
  for (const StreamAnswer& answer : message.answers) {
    OnAnswer(message.from, answer);
  }
}

void StreamVersions::OnAnswer(const EntryHostId& from,
                              const StreamAnswer& answer) {
  const auto found = queries_.find(answer.stream);
  if (found == queries_.end()) return;
  Query& query = found->second;
  if (query.unanswered.erase(from) == 0) return;
  switch (answer.knowledge) {
    case StreamKnowledge::kBegan:
      return Resolve(answer.stream, {answer.version}, from.str());
    case StreamKnowledge::kOnlyVersion:
      query.only_version = answer.version;
      break;
    case StreamKnowledge::kSeveral:
      query.several = true;
      break;
    case StreamKnowledge::kNothing:
      break;
  }
  if (query.unanswered.empty()) Conclude(answer.stream);
}

void StreamVersions::Conclude(StreamId stream) {
  Query& query = queries_.at(stream);
  if (query.reads_records) return;
  if (!query.several && !query.only_version.empty()) {
    return Resolve(stream, {query.only_version}, "history-of-a-peer");
  }
  if (records_ == nullptr) return ConcludeByRecords(stream, /*read=*/false);
  query.reads_records = true;
  timers_->Cancel(std::exchange(query.timer, 0));
  records_->Refresh([this, stream](bool read) {
    if (queries_.contains(stream)) ConcludeByRecords(stream, read);
  });
}

void StreamVersions::ConcludeByRecords(StreamId stream, bool read) {
  const Query& query = queries_.at(stream);
  if (records_ != nullptr) {
    if (const auto version = records_->Find(stream)) {
      return Resolve(stream, {version}, "records");
    }
  }
  if (!read) {
    const StreamFinding finding{.may_be_recorded = records_ != nullptr};
    return Resolve(stream, finding, "records-unread");
  }
  if (query.several) return Resolve(stream, {}, "nobody");
  // All hosts have just started; as far as any knew, one version serves. If no
  // host that ran before has written records, they may have known others.
  const absl::Time from = clock_() - query.life;
  const bool is_recorded =
      records_ != nullptr && records_->Covers(query.service, from);
  const std::set<std::string> versions = VersionsSince(query.service, from);
  if (is_recorded && versions.size() == 1) {
    return Resolve(stream, {*versions.begin()}, "servers-now");
  }
  Resolve(stream, {}, "nobody");
}

void StreamVersions::Resolve(StreamId stream, const StreamFinding& finding,
                             std::string_view source) {
  auto node = queries_.extract(stream);
  const Query& query = node.mapped();
  timers_->Cancel(query.timer);
  LOG(INFO) << "event=stream-version stream=" << absl::StrCat(absl::Hex(stream))
            << " version=" << finding.version.value_or("-")
            << " source=" << source << " asked=" << query.asked
            << " unanswered=" << query.unanswered.size() << " after_ms="
            << absl::ToInt64Milliseconds(clock_() - query.asked_at);
  for (const Found& found : query.found) found(finding);
}

}  // namespace gentianlb::gateway
