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

// Returns nullopt if the row doesn't describe a host.
std::optional<HostEntry> ParseHost(const TableRow& row) {
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

// Peers learn of a host that is not announced only from its messages, so a
// delay of a second does no harm.
constexpr RetryOptions kAnnounceRetry = {.first_delay = absl::Milliseconds(100),
                                         .max_delay = absl::Seconds(1)};

// A host that can't read the table of hosts in this time starts without it, and
// learns of peers from their messages.
constexpr absl::Duration kReadTimeout = absl::Seconds(3);

// A write that takes longer is delayed by other hosts or by the service.
constexpr absl::Duration kWriteTime = absl::Milliseconds(200);

// First bytes of an envelope. It precedes the messages of other components with
// the sender's address, so that a host that does not know the sender can reply.
constexpr std::string_view kEnvelopeMagic = "GE1";

struct Envelope {
  std::string host;
  std::string address;
  std::string content;
};

// Maximum length of an envelope without its content.
constexpr std::size_t kMaxEnvelopeBytes = 8 << 10;
static_assert(kMaxChangesBytes + kMaxEnvelopeBytes <= loop::kMaxMessageBytes);

std::string EncodeEnvelope(const Envelope& envelope) {
  std::ostringstream out;
  out << kEnvelopeMagic;
  WireWriter writer(out);
  WriteText(writer, envelope.host);
  WriteText(writer, envelope.address);
  out << envelope.content;
  return out.str();
}

std::optional<Envelope> DecodeEnvelope(std::string_view bytes) {
  if (!bytes.starts_with(kEnvelopeMagic)) return std::nullopt;
  bytes.remove_prefix(kEnvelopeMagic.size());
  std::istringstream in{std::string(bytes)};
  Envelope envelope;
  try {
    WireReader reader(in);
    ReadText(reader, &envelope.host);
    ReadText(reader, &envelope.address);
    envelope.content = bytes.substr(static_cast<std::size_t>(in.tellg()));
  } catch (const std::exception&) {
    return std::nullopt;  // The caller counts malformed messages.
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
  loop_->timers().Cancel(tick_timer_);
  loop_->timers().Cancel(announce_timer_);
  loop_->timers().Cancel(start_timer_);
  loop_->timers().Cancel(early_read_timer_);
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
      [self](std::string_view bytes) { self->HandleDatagram(bytes); });
  if (!socket.ok()) return socket.error();
  self->socket_ = std::move(socket.value());
  settings::Endpoint address = self->options_.address;
  address.port = self->socket_->port();
  self->address_ = settings::Format(address);
  self->StartFleet();
  self->early_read_timer_ =
      loop->timers().At(loop->now() + kWriteTime,
                        [self](absl::Time) { self->ReadHostsEarly(""); });
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
  hooks.on_peers = hooks_.on_peers;
  hooks.on_zone = hooks_.on_zone;
  hooks.on_host = [this](const HostEntry& host) {
    SetAddress(host.host, host.address);
  };
  hooks.send = [this](const std::string& host, const FleetUpdate& update) {
    const auto found = addresses_.find(host);
    if (found == addresses_.end()) return;
    socket_->Send(found->second.ip,
                  static_cast<std::uint16_t>(found->second.port),
                  Encode(update));
  };
  fleet_ = std::make_unique<Fleet>(Self(), absl::ToUnixMicros(absl::Now()),
                                   std::move(hooks), now);
  tick_timer_ = loop_->timers().At(now + fleet_->Period(),
                                   [this](absl::Time at) { Tick(at); });
  start_timer_ = loop_->timers().At(
      now + kReadTimeout, [this](absl::Time at) { fleet_->StartElection(at); });
}

void Peers::Announce(int tries) {
  table_.write(options_.table, options_.host.str(), AnnouncementOf(Self()),
               [this, tries, alive = std::weak_ptr<int>(alive_)](bool done) {
                 if (alive.expired()) return;
                 if (done) {
                   loop_->timers().Cancel(early_read_timer_);
                   return ReadHosts(0, "");
                 }
                 LOG(WARNING) << "event=announcing-failed tries=" << tries + 1;
                 RetryLater(tries, [this, tries] { Announce(tries + 1); });
               });
}

void Peers::ReadHosts(int tries, const std::string& from) {
  table_.read(options_.table, from,
              [this, tries, from,
               alive = std::weak_ptr<int>(alive_)](const TableAnswer& answer) {
                if (alive.expired()) return;
                const auto* page = std::get_if<TablePage>(&answer);
                if (page == nullptr) {
                  LOG(WARNING) << "event=hosts-unread tries=" << tries + 1;
                  return RetryLater(tries, [this, tries, from] {
                    ReadHosts(tries + 1, from);
                  });
                }
                AddHosts(*page);
                if (page->more && !page->rows.empty()) {
                  return ReadHosts(0, page->rows.back().key + '\0');
                }
                fleet_->OnHostsRead();
                hooks_.on_host_count(fleet_->known_hosts());
                LOG(INFO) << "event=hosts-read known=" << addresses_.size();
                fleet_->StartElection(loop_->now());
              });
}

void Peers::ReadHostsEarly(const std::string& from) {
  table_.read(
      options_.table, from,
      [this, alive = std::weak_ptr<int>(alive_)](const TableAnswer& answer) {
        if (alive.expired()) return;
        const auto* page = std::get_if<TablePage>(&answer);
        if (page == nullptr) {
          LOG(WARNING) << "event=hosts-unread-early";
          return;
        }
        AddHosts(*page);
        hooks_.on_host_count(fleet_->known_hosts());
        LOG(INFO) << "event=hosts-read-early known=" << addresses_.size();
        // The list may lack hosts that have not written yet, so this is no
        // Fleet::OnHostsRead().
        if (page->more && !page->rows.empty()) {
          ReadHostsEarly(page->rows.back().key + '\0');
        }
      });
}

void Peers::AddHosts(const TablePage& page) {
  for (const TableRow& row : page.rows) {
    if (const auto host = ParseHost(row)) fleet_->AddHost(*host);
  }
}

void Peers::RetryLater(int tries, std::function<void()> call) {
  // The hash spreads the retries of hosts that were started together.
  const double jitter =
      static_cast<double>(absl::HashOf(options_.host, tries) % 1024) / 1024;
  announce_timer_ = loop_->timers().At(
      loop_->now() + RetryDelay(kAnnounceRetry, tries, jitter),
      [call = std::move(call)](absl::Time) { call(); });
}

void Peers::SetAddress(const std::string& host, const std::string& address) {
  const auto endpoint = settings::ParseEndpoint(address);
  if (host == options_.host.str() || !endpoint.ok()) return;
  addresses_[host] = endpoint.value();
}

void Peers::HandleDatagram(std::string_view bytes) {
  if (IsFleetUpdate(bytes)) {
    const auto update = DecodeFleetUpdate(bytes);
    if (update) return fleet_->OnUpdate(*update, loop_->now());
  } else if (const auto envelope = DecodeEnvelope(bytes)) {
    SetAddress(envelope->host, envelope->address);
    return hooks_.on_message(envelope->content);
  }
  ++malformed_;
}

bool Peers::Send(const std::string& host, std::string_view bytes) {
  const auto found = addresses_.find(host);
  if (found == addresses_.end()) return false;
  const settings::Endpoint& address = found->second;
  return socket_->Send(
      address.ip, static_cast<std::uint16_t>(address.port),
      EncodeEnvelope({options_.host.str(), address_, std::string(bytes)}));
}

void Peers::Tick(absl::Time now) {
  fleet_->Tick(now);
  hooks_.on_tick(now);
  tick_timer_ = loop_->timers().At(now + fleet_->Period(),
                                   [this](absl::Time at) { Tick(at); });
}

}  // namespace gentianlb::gateway
