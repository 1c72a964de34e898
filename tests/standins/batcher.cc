#include "standins/batcher.h"

#include <algorithm>
#include <utility>

namespace gentianlb::standins {

void Batcher::Add(Stream stream) {
  std::string id = stream.id;
  order_.push_back(id);
  streams_.emplace(id, std::move(stream));
}

Stream* Batcher::Find(const std::string& id) {
  auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : &found->second;
}

void Batcher::Cancel(const std::string& id) {
  // `id` may be the stream's own text, so that the stream goes last.
  std::erase(order_, id);
  streams_.erase(id);
}

void Batcher::Advance(absl::Time now, absl::Duration elapsed,
                      const Speeds& speeds, const Events& events) {
  double seconds = absl::ToDoubleSeconds(elapsed);
  Admit(speeds, events);
  Prefill(speeds.prefill_rate * seconds, events);
  Decode(now, seconds, speeds, events);
  std::erase_if(order_, [&](const std::string& id) { return Find(id)->done; });
}

void Batcher::Forget(absl::Time then) {
  std::erase_if(streams_, [&](const auto& entry) {
    return entry.second.done && entry.second.ended < then;
  });
}

std::int64_t Batcher::running() const {
  return std::count_if(order_.begin(), order_.end(), [&](const auto& id) {
    return streams_.at(id).admitted;
  });
}

std::int64_t Batcher::queued() const {
  return static_cast<std::int64_t>(order_.size()) - running();
}

std::int64_t Batcher::kv_used() const {
  std::int64_t used = 0;
  for (const std::string& id : order_) {
    const Stream& stream = streams_.at(id);
    if (stream.admitted) used += stream.kv_tokens();
  }
  return used;
}

std::vector<Stream*> Batcher::Unfinished() {
  std::vector<Stream*> found;
  for (const std::string& id : order_) found.push_back(Find(id));
  return found;
}

void Batcher::Admit(const Speeds& speeds, const Events& events) {
  std::int64_t count = running();
  std::int64_t used = kv_used();
  for (Stream* stream : Unfinished()) {
    if (stream->admitted) continue;
    bool room = used + stream->kv_tokens() <= speeds.kv_tokens || count == 0;
    if (count >= speeds.max_running || !room) return;
    stream->admitted = true;
    ++count;
    used += stream->kv_tokens();
    events.on_admitted(*stream);
  }
}

void Batcher::Prefill(double budget, const Events& events) {
  for (Stream* stream : Unfinished()) {
    if (!stream->admitted || stream->prefill_left <= 0) continue;
    double taken = std::min(budget, stream->prefill_left);
    stream->prefill_left -= taken;
    budget -= taken;
    if (stream->prefill_left > 0) return;
    events.on_prefilled(*stream);
  }
}

void Batcher::Decode(absl::Time now, double seconds, const Speeds& speeds,
                     const Events& events) {
  std::vector<Stream*> decoding;
  for (Stream* stream : Unfinished()) {
    bool due = now >= stream->begun + speeds.first_token_delay;
    if (stream->admitted && stream->prefill_left <= 0 && due) {
      decoding.push_back(stream);
    }
  }
  if (decoding.empty()) return;
  double share = speeds.batch_rate / static_cast<double>(decoding.size());
  double step = seconds * std::min(speeds.decode_rate, share);
  for (Stream* stream : decoding) {
    stream->progress += step;
    if (stream->tokens() < stream->max_tokens) continue;
    stream->done = true;
    stream->ended = now;
    events.on_done(*stream);
  }
}

}  // namespace gentianlb::standins
