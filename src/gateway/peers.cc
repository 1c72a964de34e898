#include "gateway/peers.h"

#include <glog/logging.h>

#include <utility>

#include "absl/hash/hash.h"
#include "absl/time/clock.h"
#include "base/json_text.h"

namespace gentianlb::gateway {
namespace {

constexpr char kAddressField[] = "address";

std::string AnnouncementOf(const settings::Endpoint& address) {
  Json::Value json;
  json[kAddressField] = settings::Format(address);
  return ToText(json);
}

// Others find a host that is not announced only by hearing from it; a second is
// no loss to them.
constexpr RetryOptions kAnnounceRetry = {.first_delay = absl::Milliseconds(100),
                                         .longest_delay = absl::Seconds(1)};

// None when the row names no address.
std::optional<settings::Endpoint> AddressIn(const std::string& row) {
  const auto json = ParseObject(row);
  if (!json || !AllStrings(*json, {kAddressField})) return std::nullopt;
  auto address = settings::ParseEndpoint((*json)[kAddressField].asString());
  if (!address.ok()) return std::nullopt;
  return address.value();
}

}  // namespace

Peers::Peers(PeersOptions options, TablePort table, loop::EventLoop* loop,
             Compose compose, OnNews on_news, OnHosts on_hosts, OnTick on_tick)
    : options_(std::move(options)),
      table_(std::move(table)),
      loop_(loop),
      compose_(std::move(compose)),
      on_news_(std::move(on_news)),
      on_hosts_(std::move(on_hosts)),
      on_tick_(std::move(on_tick)),
      incarnation_(absl::ToUnixMicros(absl::Now())),
      follower_(
          {.table = options_.table}, table_, &loop->timers(),
          [loop] { return loop->now(); }, absl::HashOf(options_.host) + 2,
          [this](const auto& rows, bool whole, absl::Time) {
            TakeRows(rows, whole);
          },
          [](bool, absl::Time) {}) {}

Peers::~Peers() {
  loop_->timers().Cancel(tick_);
  loop_->timers().Cancel(announcing_);
}

Outcome<std::unique_ptr<Peers>> Peers::Start(PeersOptions options,
                                             TablePort table,
                                             loop::EventLoop* loop,
                                             Compose compose, OnNews on_news,
                                             OnHosts on_hosts, OnTick on_tick) {
  std::unique_ptr<Peers> peers(
      new Peers(std::move(options), std::move(table), loop, std::move(compose),
                std::move(on_news), std::move(on_hosts), std::move(on_tick)));
  Peers* self = peers.get();
  auto socket = loop::DatagramSocket::Bind(
      loop, self->options_.address.ip,
      static_cast<std::uint16_t>(self->options_.address.port),
      [self](std::string_view bytes) { self->Take(bytes); });
  if (!socket.ok()) return socket.error();
  self->socket_ = std::move(socket.value());
  self->Announce(0);
  self->follower_.Start();
  self->tick_ = loop->timers().Every(
      loop->now() + self->options_.period, self->options_.period,
      [self](absl::Time now) { self->Tell(now); });
  return peers;
}

void Peers::Announce(int tries) {
  settings::Endpoint address = options_.address;
  address.port = socket_->port();
  table_.write(
      options_.table, options_.host.str(), AnnouncementOf(address),
      [this, tries, alive = std::weak_ptr<int>(alive_)](bool done) {
        if (alive.expired()) return;
        if (done) return;
        LOG(WARNING) << "event=announcing-failed tries=" << tries + 1;
        // The hash spreads hosts that were started together.
        const double draw =
            static_cast<double>(absl::HashOf(options_.host, tries) % 1024) /
            1024;
        announcing_ = loop_->timers().At(
            loop_->now() + RetryDelay(kAnnounceRetry, tries, draw),
            [this, tries](absl::Time) { Announce(tries + 1); });
      });
}

void Peers::TakeRows(const std::vector<TableRow>& rows, bool whole) {
  if (whole) addresses_.clear();
  for (const TableRow& row : rows) {
    if (row.key == options_.host.str()) continue;
    const auto address = row.removed ? std::nullopt : AddressIn(row.value);
    LOG(INFO) << "event=peer host=" << row.key
              << " address=" << (address ? settings::Format(*address) : "none");
    if (address) {
      addresses_[row.key] = *address;
    } else {
      addresses_.erase(row.key);
    }
  }
  std::vector<std::string> hosts;
  for (const auto& [host, address] : addresses_) hosts.push_back(host);
  on_hosts_(hosts);
}

void Peers::Take(std::string_view bytes) {
  const auto news = DecodePeerNews(bytes);
  if (!news) {
    ++malformed_;
    return;
  }
  if (news->host != options_.host.str()) on_news_(*news);
}

void Peers::Tell(absl::Time now) {
  PeerNews news;
  news.host = options_.host.str();
  news.incarnation = incarnation_;
  news.sequence = ++sequence_;
  compose_(&news);
  const std::string bytes = Encode(news);
  for (const auto& [host, address] : addresses_) {
    socket_->Send(address.ip, static_cast<std::uint16_t>(address.port), bytes);
  }
  on_tick_(now);
}

}  // namespace gentianlb::gateway
