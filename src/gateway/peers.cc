#include "gateway/peers.h"

#include <glog/logging.h>

#include <sstream>
#include <utility>

#include "absl/hash/hash.h"
#include "absl/time/clock.h"
#include "base/json_text.h"
#include "gateway/wire_lists.h"

namespace gentianlb::gateway {
namespace {

constexpr char kAddressField[] = "address";
constexpr char kZoneField[] = "zone";
constexpr char kProcessorField[] = "processor";

std::string AnnouncementOf(const HostEntry& host) {
  Json::Value json;
  json[kAddressField] = host.address;
  json[kZoneField] = host.zone;
  json[kProcessorField] = host.processor;
  return ToText(json);
}

// None when the row names no host.
std::optional<HostEntry> HostIn(const TableRow& row) {
  const auto json = ParseObject(row.value);
  if (!json || !AllStrings(*json, {kAddressField, kZoneField})) {
    return std::nullopt;
  }
  if (!(*json)[kProcessorField].isNumeric()) return std::nullopt;
  HostEntry host;
  host.host = row.key;
  host.address = (*json)[kAddressField].asString();
  host.zone = (*json)[kZoneField].asString();
  host.processor = (*json)[kProcessorField].asFloat();
  return host;
}

// Others find a host that is not announced only by hearing from it; a second is
// no loss to them.
constexpr RetryOptions kAnnounceRetry = {.first_delay = absl::Milliseconds(100),
                                         .max_delay = absl::Seconds(1)};

// A host that can't read who else there is goes on with whom it hears.
constexpr absl::Duration kReadTime = absl::Seconds(3);

// Before what others of this host send to hosts: where the sender is, so that
// it can be answered by a host that never heard of it.
constexpr std::string_view kEnvelopeMark = "GE1";

struct Envelope {
  std::string host;
  std::string address;
  std::string content;
};

// The names of a host and its address.
constexpr std::size_t kMostEnvelopeBytes = 8 << 10;
static_assert(kMostChangeBytes + kMostEnvelopeBytes <= loop::kMaxMessageBytes);

std::string Seal(const Envelope& envelope) {
  std::ostringstream out;
  out << kEnvelopeMark;
  WireWriter writer(out);
  WriteText(writer, envelope.host);
  WriteText(writer, envelope.address);
  out << envelope.content;
  return out.str();
}

std::optional<Envelope> Open(std::string_view bytes) {
  if (!bytes.starts_with(kEnvelopeMark)) return std::nullopt;
  bytes.remove_prefix(kEnvelopeMark.size());
  std::istringstream in{std::string(bytes)};
  Envelope envelope;
  try {
    WireReader reader(in);
    ReadText(reader, &envelope.host);
    ReadText(reader, &envelope.address);
    envelope.content = bytes.substr(static_cast<std::size_t>(in.tellg()));
  } catch (const std::exception&) {
    return std::nullopt;  // Whoever takes messages in counts these.
  }
  return envelope;
}

}  // namespace

Peers::Peers(PeersOptions options, TablePort table, loop::EventLoop* loop,
             PeersHooks hooks)
    : options_(std::move(options)),
      table_(std::move(table)),
      loop_(loop),
      hooks_(std::move(hooks)) {}

Peers::~Peers() {
  loop_->timers().Cancel(tick_);
  loop_->timers().Cancel(announcing_);
  loop_->timers().Cancel(begin_);
}

Outcome<std::unique_ptr<Peers>> Peers::Start(PeersOptions options,
                                             TablePort table,
                                             loop::EventLoop* loop,
                                             PeersHooks hooks) {
  std::unique_ptr<Peers> peers(
      new Peers(std::move(options), std::move(table), loop, std::move(hooks)));
  Peers* self = peers.get();
  auto socket = loop::DatagramSocket::Bind(
      loop, self->options_.address.ip,
      static_cast<std::uint16_t>(self->options_.address.port),
      [self](std::string_view bytes) { self->Take(bytes); });
  if (!socket.ok()) return socket.error();
  self->socket_ = std::move(socket.value());
  settings::Endpoint address = self->options_.address;
  address.port = self->socket_->port();
  self->address_ = settings::Format(address);
  self->StartFleet();
  self->Announce(0);
  return peers;
}

HostEntry Peers::Self() const {
  return {options_.host.str(), address_, options_.zone.str(),
          static_cast<float>(options_.processor)};
}

void Peers::StartFleet() {
  const absl::Time now = loop_->now();
  FleetHooks hooks;
  hooks.compose = hooks_.compose;
  hooks.on_others = hooks_.on_others;
  hooks.on_zone = hooks_.on_zone;
  hooks.on_host = [this](const HostEntry& host) {
    Locate(host.host, host.address);
  };
  hooks.send = [this](const std::string& host, const FleetNews& news) {
    const auto found = addresses_.find(host);
    if (found == addresses_.end()) return;
    socket_->Send(found->second.ip,
                  static_cast<std::uint16_t>(found->second.port), Encode(news));
  };
  fleet_ = std::make_unique<Fleet>(Self(), absl::ToUnixMicros(absl::Now()),
                                   std::move(hooks), now);
  tick_ = loop_->timers().At(now + fleet_->Period(),
                             [this](absl::Time at) { Tick(at); });
  begin_ = loop_->timers().At(now + kReadTime,
                              [this](absl::Time at) { fleet_->Begin(at); });
}

void Peers::Announce(int tries) {
  table_.write(options_.table, options_.host.str(), AnnouncementOf(Self()),
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
                  if (const auto host = HostIn(row)) fleet_->Learn(*host);
                }
                if (page->more && !page->rows.empty()) {
                  return ReadOthers(0, page->rows.back().key + '\0');
                }
                hooks_.on_known(fleet_->known());
                LOG(INFO) << "event=hosts-read known=" << addresses_.size();
                fleet_->Begin(loop_->now());
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

void Peers::Locate(const std::string& host, const std::string& address) {
  const auto endpoint = settings::ParseEndpoint(address);
  if (host == options_.host.str() || !endpoint.ok()) return;
  addresses_[host] = endpoint.value();
}

void Peers::Take(std::string_view bytes) {
  if (IsFleetNews(bytes)) {
    const auto news = DecodeFleetNews(bytes);
    if (news) return fleet_->Take(*news, loop_->now());
  } else if (const auto envelope = Open(bytes)) {
    Locate(envelope->host, envelope->address);
    return hooks_.on_other(envelope->content);
  }
  ++malformed_;
}

bool Peers::Send(const std::string& host, std::string_view bytes) {
  const auto found = addresses_.find(host);
  if (found == addresses_.end()) return false;
  const settings::Endpoint& address = found->second;
  return socket_->Send(
      address.ip, static_cast<std::uint16_t>(address.port),
      Seal({options_.host.str(), address_, std::string(bytes)}));
}

void Peers::Tick(absl::Time now) {
  fleet_->Tick(now);
  hooks_.on_tick(now);
  tick_ = loop_->timers().At(now + fleet_->Period(),
                             [this](absl::Time at) { Tick(at); });
}

}  // namespace gentianlb::gateway
