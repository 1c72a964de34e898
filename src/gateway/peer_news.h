// What entry hosts tell each other several times a second: how much each has
// running on which server, how many tokens its workspaces ask for, and how far
// it has followed the platform's tables.

#ifndef GENTIANLB_GATEWAY_PEER_NEWS_H_
#define GENTIANLB_GATEWAY_PEER_NEWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianlb::gateway {

// Stands for the name of a server or a workspace in messages.
using NameHash = std::uint32_t;
NameHash HashName(std::string_view name);

struct ServerUse {
  NameHash server = 0;
  std::uint16_t running = 0;  // Requests of the sender there.
  // Of them, those that the dispatcher of the server's group hasn't granted.
  std::uint16_t alone = 0;
  // How many times slower than expected it is, as the sender has learnt from
  // its answers; 0: it hasn't.
  float prefill = 0;
  float decode = 0;
  auto operator<=>(const ServerUse&) const = default;
};

struct WorkspaceUse {
  NameHash workspace = 0;
  float tokens_per_second = 0;    // Asked of the sender, served or not.
  std::uint64_t let_through = 0;  // Tokens, since the sender's start.
  std::uint64_t given_back = 0;   // Of them, for requests that were not sent.
  float part = 0;  // Of the limit, that the sender keeps to; 0: not known.
  auto operator<=>(const WorkspaceUse&) const = default;
};

struct TableNews {
  NameHash table = 0;
  std::uint64_t newest_change = 0;  // Version of the newest that it knows.
  bool up = false;                  // The table service answers the sender.
  auto operator<=>(const TableNews&) const = default;
};

struct PeerNews {
  std::string host;
  std::string address;           // Where the sender takes messages, IP:PORT.
  std::int64_t incarnation = 0;  // Higher after each start of the host.
  std::uint64_t sequence = 0;    // Counts its messages.
  bool draining = false;         // It is about to stop.
  float processor = 1;           // Part of one that the sender may use.
  std::vector<ServerUse> servers;
  std::vector<WorkspaceUse> workspaces;
  std::vector<TableNews> tables;
  bool operator==(const PeerNews&) const = default;
};

// Which of two messages of one host is the newer. Starts before sequences.
struct NewsPlace {
  std::int64_t incarnation = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const NewsPlace&) const = default;
};
inline NewsPlace PlaceOf(const PeerNews& news) {
  return {news.incarnation, news.sequence};
}

std::string Encode(const PeerNews& news);
bool IsPeerNews(std::string_view bytes);

// None when the bytes are no news: cut, or from somebody else.
std::optional<PeerNews> DecodePeerNews(std::string_view bytes);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_PEER_NEWS_H_
