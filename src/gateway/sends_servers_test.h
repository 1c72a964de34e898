// Backend servers for SendsSite: they can't be reached, run requests, refuse
// them and break off, and record each send and run.

#ifndef GENTIANLB_GATEWAY_SENDS_SERVERS_TEST_H_
#define GENTIANLB_GATEWAY_SENDS_SERVERS_TEST_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/fake_site_test.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

class Dice {
 public:
  explicit Dice(unsigned seed) : random_(seed) {}

  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  absl::Duration Between(int from_ms, int to_ms) {
    return absl::Milliseconds(from_ms + Pick(to_ms - from_ms + 1));
  }

  template <typename Item>
  void Shuffle(std::vector<Item>* items) {
    std::shuffle(items->begin(), items->end(), random_);
  }

 private:
  std::mt19937 random_;
};

// What became of one attempt of a caller.
struct SendsRecord {
  int host = 0;
  bool once = false;
  int sends = 0;
  int open = 0;  // Sends that have not ended.
  int runs = 0;
  int unknown_ends = 0;  // Sends that ended, and may have run.
  std::shared_ptr<FakeCaller> caller;
};

class SendsServers {
 public:
  // `runs`: whether the process of a host runs. The pointers must outlive this
  // object.
  SendsServers(Dice* dice, const absl::Time* now,
               std::function<bool(int host)> runs)
      : dice_(dice), now_(now), runs_(std::move(runs)) {}

  // Returns the port of host `number`.
  ServerPort Port(int number) {
    ServerPort port;
    port.send = [this, number](ServerCall call, CallSink sink) {
      const std::string id = call.request->id.str();
      SendsRecord& record = records.at(id);
      if (record.open > 0) faults_.push_back("sent while open: " + id);
      if (record.once && record.unknown_ends > 0) {
        faults_.push_back("sent after an unknown end: " + id);
      }
      if (record.caller->status != 0) {
        faults_.push_back("sent after its answer: " + id);
      }
      ++record.sends;
      ++record.open;
      ++sends_;
      const http::TransferId transfer = next_transfer_++;
      Call state;
      state.host = number;
      state.request = id;
      state.call = std::move(call);
      state.sink = std::move(sink);
      state.due = *now_ + dice_->Between(1, 30);
      calls_[transfer] = std::move(state);
      return transfer;
    };
    port.cancel = [this](http::TransferId id) {
      const auto found = calls_.find(id);
      if (found == calls_.end()) return;
      SendsRecord& record = records.at(found->second.request);
      --record.open;
      if (found->second.arrived && !found->second.refused) {
        ++record.unknown_ends;
      }
      calls_.erase(found);
    };
    return port;
  }

  // Lets what is due arrive or end.
  void Step() {
    std::vector<http::TransferId> due;
    for (const auto& [id, call] : calls_) {
      if (call.due <= *now_) due.push_back(id);
    }
    for (const http::TransferId id : due) {
      const auto found = calls_.find(id);
      if (found == calls_.end()) continue;
      // A process that stands still neither sends nor reads.
      if (!runs_(found->second.host)) {
        continue;
      }
      if (found->second.arrived) {
        FinishCall(id);
      } else {
        Arrive(id);
      }
    }
  }

  // The process of the host was killed, with its connections.
  void DropHost(int host) {
    for (auto& [id, record] : records) {
      if (record.host == host) record.caller->on_disconnect = nullptr;
    }
    std::erase_if(calls_, [&](const auto& item) {
      if (item.second.host != host) return false;
      --records.at(item.second.request).open;
      return true;
    });
  }

  // What broke the promise that a request runs at most once, a line each.
  std::vector<std::string> Faults() const {
    std::vector<std::string> faults = faults_;
    for (const auto& [id, record] : records) {
      const int status = record.caller->status;
      const bool promised = status == 503 || status == 429;
      const std::string text =
          absl::StrCat(id, " status ", status, " sends ", record.sends,
                       " runs ", record.runs);
      if (record.once && record.runs > 1) faults.push_back("twice: " + text);
      if (record.once && promised && record.runs > 0) {
        faults.push_back("refused and run: " + text);
      }
    }
    return faults;
  }

  int served() const {
    return static_cast<int>(std::count_if(
        records.begin(), records.end(),
        [](const auto& item) { return item.second.caller->status == 200; }));
  }
  int sends() const { return sends_; }

  std::map<std::string, SendsRecord> records;  // By request.

 private:
  // Shares of sends.
  static constexpr double kUnreachable = 0.12;
  static constexpr double kRefused = 0.15;
  static constexpr double kBroken = 0.06;
  static constexpr double kAsksForCooldown = 0.2;  // Of the refusals.

  // A request on its way to a server, or there.
  struct Call {
    int host = 0;
    std::string request;
    ServerCall call;
    CallSink sink;
    absl::Time due;
    bool arrived = false;
    bool refused = false;
  };

  void EndCall(http::TransferId id, http::TransferEnd end) {
    const CallSink sink = calls_.at(id).sink;
    SendsRecord& record = records.at(calls_.at(id).request);
    calls_.erase(id);
    --record.open;
    if (end == http::TransferEnd::kBroken) ++record.unknown_ends;
    sink.on_end(end, "simulated");
  }

  void Arrive(http::TransferId id) {
    Call& call = calls_.at(id);
    if (dice_->Chance(kUnreachable)) {
      return EndCall(id, http::TransferEnd::kNotSent);
    }
    if (!call.call.may_send()) {
      return EndCall(id, http::TransferEnd::kWithdrawn);
    }
    call.arrived = true;
    call.refused = dice_->Chance(kRefused);
    if (!call.refused) ++records.at(call.request).runs;
    call.due =
        *now_ + (call.refused ? dice_->Between(1, 10) : dice_->Between(2, 200));
  }

  void FinishCall(http::TransferId id) {
    const Call call = calls_.at(id);
    if (!call.refused && dice_->Chance(kBroken)) {
      return EndCall(id, http::TransferEnd::kBroken);
    }
    call.sink.on_first_byte();
    ResponseHead head;
    head.status = call.refused ? 503 : 200;
    head.not_run = call.refused;
    head.signed_ = true;
    head.names_request = dice_->Chance(0.5);
    const bool asks = call.refused && dice_->Chance(kAsksForCooldown);
    if (asks) head.cooldown = dice_->Between(50, 500);
    head.leaving = dice_->Chance(0.01);
    call.sink.on_head(head);
    if (!calls_.contains(id)) return;
    call.sink.on_data("body");
    if (calls_.contains(id)) EndCall(id, http::TransferEnd::kComplete);
  }

  Dice* const dice_;
  const absl::Time* const now_;
  const std::function<bool(int)> runs_;
  http::TransferId next_transfer_ = 1;
  std::map<http::TransferId, Call> calls_;
  std::vector<std::string> faults_;
  int sends_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SENDS_SERVERS_TEST_H_
