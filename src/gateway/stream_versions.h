// Finds the software version that began a stream which a caller takes up again.
//
// What servers of two versions write doesn't fit together, so a stream may go
// on only at the version that wrote its first event. The caller takes it up
// over any host, and the one over which it began may have been killed. So while
// a service has servers of several versions, a host passes the version of each
// stream that begins to two others, one of them in another zone. A host that
// doesn't know a stream asks all hosts that may dispatch. As all of them may be
// killed at once, streams are recorded in a table too (stream_records.h), which
// is read if none knows. If the table doesn't say either and several versions
// may have served, or if it can't be read, the version is not known: a guess
// would mix events of two versions, which the caller doesn't notice.
//
// Has no network and no clock of its own.

#ifndef GENTIANLB_GATEWAY_STREAM_VERSIONS_H_
#define GENTIANLB_GATEWAY_STREAM_VERSIONS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/timer_service.h"
#include "gateway/messages.h"
#include "gateway/stream_messages.h"
#include "gateway/stream_records.h"
#include "gateway/version_history.h"

namespace gentianlb::gateway {

// What is known of the version that began a stream.
struct StreamFinding {
  std::optional<std::string> version;
  // If there is no version: the records could not be read, and may name it.
  bool may_be_recorded = false;
  bool operator==(const StreamFinding&) const = default;
};

struct StreamVersionsHooks {
  // Sends a message to a peer.
  std::function<void(const EntryHostId& host, const StreamMessage& message)>
      send;
};

class StreamVersions {
 public:
  // When full, further streams are not remembered.
  static constexpr std::size_t kMaxStreams = 1 << 15;

  using Found = std::function<void(const StreamFinding& finding)>;

  StreamVersions(EntryHostId self, ZoneId zone, TimerService* timers,
                 std::function<absl::Time()> clock, StreamVersionsHooks hooks);
  ~StreamVersions();
  StreamVersions(const StreamVersions&) = delete;
  StreamVersions& operator=(const StreamVersions&) = delete;

  // Without records, the memory of this host and its peers is all there is.
  void SetRecords(StreamRecords* records) { records_ = records; }

  // Sets the hosts that may dispatch; they may include this one.
  void SetPeers(const std::vector<HostEntry>& hosts) { peers_ = hosts; }
  // Sets all registered servers of all services.
  void SetServers(const std::vector<ServerEntry>& servers);

  // Records that a server of `version` wrote the first event of a stream, which
  // must end by `until`.
  void OnBegin(const ServiceId& service, StreamId stream,
               const std::string& version, absl::Time until);

  // Calls `found` once, at once if this host knows. `life`: a stream that still
  // goes on began within this time.
  void Find(const ServiceId& service, StreamId stream, absl::Duration life,
            Found found);

  void HandleMessage(const StreamMessage& message);

  // To be called when rows of the records have been read.
  void OnRecordsRead();
  // Returns the versions that were registered within a stream's life.
  VersionSets RegisteredVersions() const;

  // Returns the number of streams that are remembered.
  std::size_t size() const { return streams_.size(); }

 private:
  struct Stream {
    NameHash service = 0;
    std::string version;
    absl::Time until;
    bool began_here = false;
  };
  struct Query {
    NameHash service = 0;
    absl::Duration life;
    std::vector<Found> found;
    std::set<EntryHostId> unanswered;
    std::size_t asked = 0;
    absl::Time asked_at;
    bool several = false;      // A peer knows that several versions served.
    std::string only_version;  // As a peer knows; empty: none does.
    bool reads_records = false;
    TimerId timer = 0;
  };

  void Remember(StreamId stream, const Stream& entry);
  void ForgetOld(absl::Time now);
  // Returns the versions that served at or after `from`, as far as this host or
  // the records know.
  std::set<std::string> VersionsSince(NameHash service, absl::Time from) const;
  // Returns whether a service has, or had within a stream's life, several
  // versions. If it didn't before, passes on the streams that began here.
  bool UpdateSeveral(NameHash service, absl::Time now);
  // Passes streams that began here to peers and to the records.
  void PassOn(const std::map<StreamId, Stream>& streams);
  // Sends streams that began here to the hosts that keep them too.
  void Replicate(const std::map<StreamId, Stream>& streams);
  // Returns two hosts by the hash of the stream: one of this zone and one of
  // another, if there are such.
  std::vector<EntryHostId> KeepersOf(StreamId stream) const;
  StreamAnswer AnswerTo(const StreamQuery& query) const;
  void Ask(StreamId stream, const Query& query);
  void OnAnswer(const EntryHostId& from, const StreamAnswer& answer);
  // Asks the peers again that have not answered, or gives up.
  void OnTimer(StreamId stream);
  // Ends a query by what the peers answered, or reads the records.
  void Conclude(StreamId stream);
  // Ends a query by the records, if they could be read.
  void ConcludeByRecords(StreamId stream, bool read);
  void Resolve(StreamId stream, const StreamFinding& finding,
               std::string_view source);

  const EntryHostId self_;
  const ZoneId zone_;
  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  const StreamVersionsHooks hooks_;
  std::vector<HostEntry> peers_;
  StreamRecords* records_ = nullptr;
  std::map<NameHash, VersionHistory> histories_;
  std::set<NameHash> several_;  // Services whose streams are passed on.
  absl::flat_hash_map<StreamId, Stream> streams_;
  std::map<StreamId, Query> queries_;
  absl::Time forgot_at_ = absl::InfinitePast();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_STREAM_VERSIONS_H_
