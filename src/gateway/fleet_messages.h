// Messages between entry hosts and their encoding.
//
// Each host sends its state to the aggregator of its availability zone.
// Aggregators exchange the merged states of their zones, and each sends every
// host of its zone the merged state of all its peers. aggregate.h merges the
// states, aggregator_election.h elects the aggregators.

#ifndef GENTIANLB_GATEWAY_FLEET_MESSAGES_H_
#define GENTIANLB_GATEWAY_FLEET_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/rollout_evidence.h"
#include "gateway/table_availability.h"
#include "gateway/table_page.h"

namespace gentianlb::gateway {

// Identifies a server, a workspace or a table in messages.
using NameHash = std::uint32_t;
NameHash HashName(std::string_view name);
// Returns a number from 0 to below 1 that depends only on `name`.
double FractionOf(std::string_view name);

// Address and properties of an entry host.
struct HostEntry {
  std::string host;
  std::string address;  // IP:PORT on which it receives messages.
  std::string zone;
  float processor = 1;  // Processors that it may use; may be a fraction.
  auto operator<=>(const HostEntry&) const = default;
};

// Orders hosts by their suitability as aggregator or dispatcher, the best one
// last. The order is the same on every host. Processor time decides first,
// because both roles work for other hosts.
bool RanksBelow(const HostEntry& a, const HostEntry& b);

// Load that one or several hosts put on a server.
struct ServerUse {
  NameHash server = 0;
  std::uint16_t running = 0;  // Requests that run on the server.
  // Of these, the requests that the dispatcher of the server's group did not
  // grant.
  std::uint16_t ungranted = 0;
  // Measured time divided by expected time of each phase; 0: not measured.
  float prefill_slowdown = 0;
  float decode_slowdown = 0;
  // Requests a second that the server's responses have lately named as its
  // limit; 0: none did.
  float request_limit = 0;
  auto operator<=>(const ServerUse&) const = default;
};

// Use of a workspace's limit by one or several hosts.
struct WorkspaceUse {
  NameHash workspace = 0;
  float tokens_per_second = 0;  // Demand of the callers, served or not.
  std::uint64_t admitted = 0;   // Tokens since the sender began to count.
  std::uint64_t refunded = 0;   // Of these, tokens of requests not sent.
  float share = 0;              // Sum of the agreed shares of the limit.
  std::uint16_t shares = 0;     // Number of hosts with an agreed share.
  std::uint16_t unsettled = 0;  // Number of hosts without one.
  // Tokens that a host admitted since it last received its peers' state.
  float unreported = 0;
  // Sum of the levels of the whole limit, on hosts that count most of it, and
  // the number of these hosts.
  float level = 0;
  std::uint16_t levels = 0;
  auto operator<=>(const WorkspaceUse&) const = default;
};

// State of a table's copy on one or several hosts.
struct TableState {
  NameHash table = 0;
  TableHistory history;
  bool up = false;  // A host receives changes from the service itself.
  // The service answers a host that polls it with short waits.
  bool monitored = false;
  AnswerAges answers;
  auto operator<=>(const TableState&) const = default;
};

// The hosts whose state an update contains.
enum class UpdateScope : std::uint8_t {
  kHost,  // The sender; sent to its aggregator.
  kZone,  // All hosts of the sender's zone; sent to aggregators of other zones.
  kAll,   // All hosts except the recipient; sent by its aggregator.
  kNone,  // No host; the message only names an aggregator.
};

// State of one or several hosts, sent once per period.
struct FleetUpdate {
  UpdateScope scope = UpdateScope::kHost;
  HostEntry sender;
  std::int64_t incarnation = 0;  // Increases when the counters restart.
  std::uint64_t sequence = 0;    // Increases with each message.
  std::uint16_t period_ms = 0;   // Time until the sender's next message.
  std::uint32_t age_ms = 0;      // Time since the sender began to count.
  std::uint16_t hosts = 1;       // Number of hosts that the state covers.
  // The most hosts that any of these knows, whether they are live or not.
  std::uint16_t known_hosts = 1;
  bool complete = true;   // No expected host is missing.
  bool draining = false;  // The sender is about to stop.
  std::vector<WorkspaceUse> workspaces;
  std::vector<TableState> tables;
  // Roll-outs in progress. With scope kAll they include the recipient.
  std::vector<RolloutReport> rollouts;
  // False while the sender has not aggregated long enough to have received the
  // state of every host.
  bool settled = true;
  // Aggregator of the sender's zone, or in a kNone message of any zone; empty
  // if unknown.
  HostEntry aggregator;

  // Whether the lists below are present. They are long and sent less often.
  bool detailed = false;
  std::vector<ServerUse> servers;
  std::vector<HostEntry> dispatchers;  // Hosts that may dispatch for groups.
  std::vector<HostEntry> neighbours;   // Some hosts of the sender's zone.
  bool operator==(const FleetUpdate&) const = default;
};

// Position of a message among those of its sender. The incarnation decides
// first.
struct UpdatePosition {
  std::int64_t incarnation = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const UpdatePosition&) const = default;
};
inline UpdatePosition PositionOf(const FleetUpdate& update) {
  return {update.incarnation, update.sequence};
}

std::string Encode(const FleetUpdate& update);
bool IsFleetUpdate(std::string_view bytes);
// Returns nullopt if the bytes are truncated or not a fleet update.
std::optional<FleetUpdate> DecodeFleetUpdate(std::string_view bytes);

// Maximum length of an encoded TableChanges message; with its envelope it fits
// into one datagram.
inline constexpr std::size_t kMaxChangesBytes = 48 << 10;

// Changes of a table that one host has read from the table service.
struct TableChanges {
  NameHash table = 0;
  // The page has all changes after this version up to its own; 0: the page is
  // the whole table.
  std::uint64_t since = 0;
  TablePage page;
  AnswerAges answers;  // At the sending.
  bool operator==(const TableChanges&) const = default;
};

// Returns nullopt if the message is too long for a datagram.
std::optional<std::string> Encode(const TableChanges& changes);
bool IsTableChanges(std::string_view bytes);
std::optional<TableChanges> DecodeTableChanges(std::string_view bytes);

// Asks a peer for the changes of a table that it has.
struct TableQuery {
  std::string requester;  // Host to reply to.
  NameHash table = 0;
  std::uint64_t since = 0;  // Version that the requester has; 0: none.
  bool operator==(const TableQuery&) const = default;
};

std::string Encode(const TableQuery& query);
bool IsTableQuery(std::string_view bytes);
std::optional<TableQuery> DecodeTableQuery(std::string_view bytes);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FLEET_MESSAGES_H_
