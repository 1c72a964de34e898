#include "gateway/peers.h"

#include <glog/logging.h>

#include <algorithm>
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

// Decisions rest on what was heard last. A tenth of a second is less than most
// requests take; with many hosts each sends no more than 200 messages a second,
// about a hundredth of a core.
constexpr absl::Duration kShortestPeriod = absl::Milliseconds(100);
constexpr absl::Duration kPeriodPerHost = absl::Milliseconds(5);

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
             Compose compose, OnNews on_news, OnHosts on_hosts, OnTick on_tick,
             OnOther on_other)
    : options_(std::move(options)),
      table_(std::move(table)),
      loop_(loop),
      compose_(std::move(compose)),
      on_news_(std::move(on_news)),
      on_hosts_(std::move(on_hosts)),
      on_tick_(std::move(on_tick)),
      on_other_(std::move(on_other)),
      incarnation_(absl::ToUnixMicros(absl::Now())) {}

Peers::~Peers() {
  loop_->timers().Cancel(tick_);
  loop_->timers().Cancel(announcing_);
}

Outcome<std::unique_ptr<Peers>> Peers::Start(PeersOptions options,
                                             TablePort table,
                                             loop::EventLoop* loop,
                                             Compose compose, OnNews on_news,
                                             OnHosts on_hosts, OnTick on_tick,
                                             OnOther on_other) {
  std::unique_ptr<Peers> peers(
      new Peers(std::move(options), std::move(table), loop, std::move(compose),
                std::move(on_news), std::move(on_hosts), std::move(on_tick),
                std::move(on_other)));
  Peers* self = peers.get();
  auto socket = loop::DatagramSocket::Bind(
      loop, self->options_.address.ip,
      static_cast<std::uint16_t>(self->options_.address.port),
      [self](std::string_view bytes) { self->Take(bytes); });
  if (!socket.ok()) return socket.error();
  self->socket_ = std::move(socket.value());
  self->address_ = self->options_.address;
  self->address_.port = self->socket_->port();
  self->Announce(0);
  self->tick_ = loop->timers().At(loop->now() + self->Period(),
                                  [self](absl::Time now) { self->Tell(now); });
  return peers;
}

absl::Duration Peers::Period() const {
  const auto hosts = static_cast<std::int64_t>(addresses_.size()) + 1;
  return std::max(kShortestPeriod, hosts * kPeriodPerHost);
}

void Peers::Announce(int tries) {
  table_.write(options_.table, options_.host.str(), AnnouncementOf(address_),
               [this, tries, alive = std::weak_ptr<int>(alive_)](bool done) {
                 if (alive.expired()) return;
                 if (done) return ReadOthers(0, "");
                 LOG(WARNING) << "event=announcing-failed tries=" << tries + 1;
                 Again(tries, [this, tries] { Announce(tries + 1); });
               });
}

void Peers::ReadOthers(int tries, const std::string& from) {
  table_.read(options_.table, from,
              [this, tries, from,
               alive = std::weak_ptr<int>(alive_)](const TableAnswer& answer) {
                if (alive.expired()) return;
                const auto* page = std::get_if<TablePage>(&answer);
                if (page == nullptr) {
                  LOG(WARNING) << "event=hosts-unread tries=" << tries + 1;
                  return Again(tries, [this, tries, from] {
                    ReadOthers(tries + 1, from);
                  });
                }
                for (const TableRow& row : page->rows) {
                  if (auto address = AddressIn(row.value)) {
                    Learn(row.key, *address);
                  }
                }
                if (page->more && !page->rows.empty()) {
                  ReadOthers(0, page->rows.back().key + '\0');
                }
              });
}

void Peers::Again(int tries, std::function<void()> call) {
  // The hash spreads hosts that were started together.
  const double draw =
      static_cast<double>(absl::HashOf(options_.host, tries) % 1024) / 1024;
  announcing_ =
      loop_->timers().At(loop_->now() + RetryDelay(kAnnounceRetry, tries, draw),
                         [call = std::move(call)](absl::Time) { call(); });
}

void Peers::Learn(const std::string& host, const settings::Endpoint& address) {
  if (host == options_.host.str()) return;
  settings::Endpoint& known = addresses_[host];
  if (known == address) return;
  known = address;
  LOG(INFO) << "event=peer host=" << host
            << " address=" << settings::Format(address);
  std::vector<std::string> hosts;
  for (const auto& [name, endpoint] : addresses_) hosts.push_back(name);
  on_hosts_(hosts);
}

void Peers::Take(std::string_view bytes) {
  if (!IsPeerNews(bytes)) return on_other_(bytes);
  const auto news = DecodePeerNews(bytes);
  if (!news) {
    ++malformed_;
    return;
  }
  if (news->host == options_.host.str()) return;
  const auto address = settings::ParseEndpoint(news->address);
  if (address.ok()) Learn(news->host, address.value());
  on_news_(*news);
}

bool Peers::Send(const EntryHostId& host, std::string_view bytes) {
  const auto found = addresses_.find(host.str());
  if (found == addresses_.end()) return false;
  const settings::Endpoint& address = found->second;
  return socket_->Send(address.ip, static_cast<std::uint16_t>(address.port),
                       bytes);
}

void Peers::Tell(absl::Time now) {
  PeerNews news;
  news.host = options_.host.str();
  news.address = settings::Format(address_);
  news.incarnation = incarnation_;
  news.sequence = ++sequence_;
  compose_(&news);
  const std::string bytes = Encode(news);
  for (const auto& [host, address] : addresses_) {
    socket_->Send(address.ip, static_cast<std::uint16_t>(address.port), bytes);
  }
  on_tick_(now);
  tick_ =
      loop_->timers().At(now + Period(), [this](absl::Time at) { Tell(at); });
}

}  // namespace gentianlb::gateway
