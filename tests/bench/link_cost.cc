// What one request costs on the link between its entry host and the dispatcher
// of its domain at another host: the items as JSON, without the message around
// them, which a batch shares.

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "config/codec.h"
#include "costs.h"
#include "entry/wire.h"
#include "meter.h"
#include "rpc/codec.h"

namespace gentianlb::bench {
namespace {

using entry::DispatchDecision;
using entry::DispatchEvent;
using entry::PeerItem;

constexpr int kTokensPerReport = 32;  // As entry::Calls.
constexpr int kRounds = 300;
constexpr int kEndpoints = 2;

schedule::Request MakeRequest(int prompt) {
  schedule::Request request;
  request.id = RequestId("entry-1000-1790000000000000-12345");
  request.host = EntryHostId("entry-1000");
  request.workspace = WorkspaceId("workspace-00017");
  request.model = ModelId("model-large");
  request.tier = Tier{1};
  request.arrival = absl::UnixEpoch() + absl::Hours(500'000);
  request.deadline = request.arrival + absl::Seconds(30);
  request.prompt_tokens = prompt;
  request.max_output_tokens = 1024;
  request.body_bytes = std::int64_t{prompt} * 4;
  for (int i = 0; i < prompt / schedule::kPrefixBlockTokens; ++i) {
    request.prefix.push_back(0x9E3779B97F4A7C15ULL * (i + 1));
  }
  return request;
}

struct Items {
  std::vector<PeerItem> arrival;
  std::vector<PeerItem> others;
};

Items ItemsOf(int prompt, int output) {
  entry::Domain domain{ServiceId("service-0"), ZoneId("zone-11")};
  schedule::Request request = MakeRequest(prompt);
  Items items;
  items.arrival.push_back(
      DispatchEvent{domain, schedule::RequestArrived{request}});
  items.others.push_back(DispatchDecision{
      domain,
      schedule::Grant{request.id, request.host, ServerId("server-0123")}});
  for (int tokens = 1; tokens < output; tokens += kTokensPerReport) {
    items.others.push_back(
        DispatchEvent{domain, schedule::TokensStreamed{request.id, tokens}});
  }
  items.others.push_back(DispatchEvent{
      domain, schedule::RequestEnded{request.id, schedule::EndKind::kComplete,
                                     output, 0}});
  return items;
}

std::size_t BytesOf(const std::vector<PeerItem>& items) {
  std::size_t bytes = 0;
  for (const PeerItem& item : items) {
    bytes += config::WriteJson(entry::ToJson(item)).size() + 1;
  }
  return bytes;
}

// JSON-RPC around the items of one batch, without HTTP.
double MessageBytes() {
  Json::Value params;
  params["from"] = "entry-1000";
  params["incarnation"] = Json::Int64{1'790'000'000'000'000};
  params["stamp"].append(Json::Int64{1'790'000'000'000'000});
  params["stamp"].append(0U);
  params["number"] = 100'000;
  params["items"] = Json::Value(Json::arrayValue);
  return static_cast<double>(rpc::EncodeCall("peer.items", params).size());
}

// Encodes and decodes all of them; false when one doesn't come back.
bool Carry(const std::vector<PeerItem>& items) {
  for (const PeerItem& item : items) {
    auto json = config::ReadJson(config::WriteJson(entry::ToJson(item)));
    if (!json.ok()) return false;
    auto back = Capture([&] { return entry::PeerItemFromJson(json.value()); });
    if (!back.ok()) return false;
  }
  return true;
}

std::vector<double> Measure(int prompt, int output) {
  Items items = ItemsOf(prompt, output);
  Stopwatch watch;
  bool whole = true;
  watch.Start();
  for (int i = 0; i < kRounds; ++i) {
    whole = whole && Carry(items.arrival) && Carry(items.others);
  }
  watch.Stop();
  auto arrival = static_cast<double>(BytesOf(items.arrival));
  auto others = static_cast<double>(BytesOf(items.others));
  auto count = static_cast<double>(items.arrival.size() + items.others.size());
  return {static_cast<double>(prompt),
          static_cast<double>(output),
          count,
          arrival,
          others,
          arrival + others,
          MessageBytes(),
          whole ? watch.seconds() * 1e9 / kRounds / kEndpoints : -1};
}

}  // namespace

Table MeasureLink(bool /*quick*/) {
  Table table{"link",
              {"prompt tokens", "output tokens", "items/request",
               "bytes of arrival", "bytes of the rest", "bytes/request",
               "bytes around a batch", "ns/request at each end"},
              {}};
  for (int prompt : {100, 1'000, 10'000}) {
    table.rows.push_back(Measure(prompt, 310));
  }
  table.rows.push_back(Measure(1'000, 32));
  return table;
}

}  // namespace gentianlb::bench
