#include "gateway/quota.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <vector>

namespace gentianlb::gateway {
namespace {

const NameHash workspace_name = HashName("w");
constexpr int kHosts = 195;
constexpr double kRate = 640'000;  // Tokens a second.
constexpr double kTolerance = 140'000;
constexpr double kRequest = 5'000;  // Tokens.
constexpr absl::Duration kStep = absl::Milliseconds(1);
constexpr absl::Duration kPeriod = absl::Milliseconds(100);
// Until a host hears what another one let through.
constexpr absl::Duration kHeardAfter = absl::Milliseconds(200);

// Two hundred hosts under one limit; each hears of all others together.
class Hosts {
 public:
  // Callers ask for `load` times the limit, and each host knows it.
  explicit Hosts(double load)
      : load_(load), hosts_(kHosts, Quotas(kTolerance)) {
    Workspace workspace;
    workspace.id = WorkspaceId("w");
    workspace.quota = {kRate, kRate, 1};
    for (Quotas& host : hosts_) {
      host.Configure({workspace}, now_);
      host.SetPeerDemand(workspace_name, {load * kRate, kHeardAfter}, now_);
    }
  }

  void Run(absl::Duration span) {
    for (const absl::Time end = now_ + span; now_ < end; now_ += kStep) {
      if ((now_ - absl::UnixEpoch()) % kPeriod == absl::ZeroDuration()) Hear();
      owed_ += load_ * kRate * absl::ToDoubleSeconds(kStep);
      for (; owed_ > 0; owed_ -= kRequest) Ask(random_() % kHosts);
    }
  }

  double total() const { return total_; }
  double most_in_a_second() const { return most_; }

 private:
  struct Use {
    absl::Time at;
    std::size_t host;
  };

  void Ask(std::size_t host) {
    if (hosts_[host].Take(workspace_name, kRequest, /*kept=*/0, now_)) return;
    total_ += kRequest;
    unheard_.push_back({now_, host});
    last_second_.push_back(now_);
    while (now_ - last_second_.front() > absl::Seconds(1)) {
      last_second_.pop_front();
    }
    most_ =
        std::max(most_, kRequest * static_cast<double>(last_second_.size()));
  }

  void Hear() {
    std::vector<double> own(kHosts);
    double all = 0;
    while (!unheard_.empty() && now_ - unheard_.front().at >= kHeardAfter) {
      own[unheard_.front().host] += kRequest;
      all += kRequest;
      unheard_.pop_front();
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].Charge(workspace_name, all - own[i], now_);
    }
  }

  const double load_;
  std::vector<Quotas> hosts_;
  std::mt19937_64 random_{1};
  absl::Time now_ = absl::UnixEpoch();
  double owed_ = 0;
  double total_ = 0;
  std::deque<Use> unheard_;
  std::deque<absl::Time> last_second_;
  double most_ = 0;
};

// A workspace asks for six times its limit at two hundred hosts, and each hears
// of the others' use a fifth of a second late. Whenever the limit has something
// left, all hosts would let through whatever comes until they hear of it: one
// sees the whole of two seconds in a few tenths of one, and then nothing.
BOOST_AUTO_TEST_CASE(HostsThatHaveRoomTogetherDontOverrunIt) {
  Hosts hosts(/*load=*/6);
  hosts.Run(absl::Seconds(10));
  BOOST_TEST_MESSAGE("most in a second " << hosts.most_in_a_second());
  BOOST_TEST(hosts.most_in_a_second() < 1.5 * kRate);
  BOOST_TEST(hosts.total() > 0.9 * kRate * 10);
}

// A host is cut off while all are pressed. From then on it has a tenth of the
// limit to itself. Were it to go on counting on what the others let through, it
// would refuse all of its callers until the cut is over.
BOOST_AUTO_TEST_CASE(AHostThatIsCutOffCountsOnNobody) {
  constexpr double kPart = 0.1;
  Workspace workspace;
  workspace.id = WorkspaceId("w");
  workspace.quota = {kRate, kRate, 1};
  absl::Time now = absl::UnixEpoch();
  Quotas quotas(kTolerance);
  quotas.Configure({workspace}, now);
  quotas.SetPeerDemand(workspace_name, {6 * kRate, kHeardAfter}, now);
  now += absl::Seconds(1);
  BOOST_TEST(quotas.Take(workspace_name, kRequest, 0, now).has_value());
  quotas.SetShare(workspace_name, kPart, now);
  quotas.SetPeerDemand(workspace_name, {}, now);
  int served = 0;
  for (int i = 0; i < 100; ++i) {
    now += absl::Milliseconds(100);
    if (!quotas.Take(workspace_name, kRequest, 0, now)) ++served;
  }
  BOOST_TEST(served * kRequest > 0.7 * kPart * kRate * 10);
}

// Below the limit nobody is refused for what others might let through.
BOOST_AUTO_TEST_CASE(WhatOthersMightDoRefusesNobodyBelowTheLimit) {
  Hosts hosts(/*load=*/0.5);
  hosts.Run(absl::Seconds(10));
  BOOST_TEST(hosts.total() >= 0.5 * kRate * 10);
}

}  // namespace
}  // namespace gentianlb::gateway
