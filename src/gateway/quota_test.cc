#include "gateway/quota.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <vector>

namespace gentianlb::gateway {
namespace {

const NameHash name_hash = HashName("w");
constexpr int kHosts = 195;
constexpr double kRate = 640'000;  // Tokens per second.
constexpr double kTolerance = 140'000;
constexpr double kRequest = 5'000;  // Tokens.
constexpr absl::Duration kStep = absl::Milliseconds(1);
constexpr absl::Duration kPeriod = absl::Milliseconds(100);
// Until a host knows what a peer has admitted.
constexpr absl::Duration kReportDelay = absl::Milliseconds(200);

// Nearly two hundred hosts with one limit; each receives its peers' merged use.
class Hosts {
 public:
  // Callers request `load` times the limit, and each host knows that.
  explicit Hosts(double load)
      : load_(load), hosts_(kHosts, Quotas(kTolerance)) {
    Workspace workspace;
    workspace.id = WorkspaceId("w");
    workspace.quota = {kRate, kRate, 1};
    for (Quotas& host : hosts_) {
      host.Configure({workspace}, now_);
      host.SetPeerDemand(name_hash, {load * kRate, kReportDelay}, now_);
    }
  }

  void Run(absl::Duration span) {
    for (const absl::Time end = now_ + span; now_ < end; now_ += kStep) {
      if ((now_ - absl::UnixEpoch()) % kPeriod == absl::ZeroDuration()) Sync();
      pending_ += load_ * kRate * absl::ToDoubleSeconds(kStep);
      for (; pending_ > 0; pending_ -= kRequest) Send(random_() % kHosts);
    }
  }

  double total() const { return total_; }
  double max_in_a_second() const { return max_in_a_second_; }

 private:
  struct Admission {
    absl::Time at;
    std::size_t host;
  };

  void Send(std::size_t host) {
    if (hosts_[host].Take(name_hash, kRequest, /*reserve=*/0, now_)) return;
    total_ += kRequest;
    unreported_.push_back({now_, host});
    last_second_.push_back(now_);
    while (now_ - last_second_.front() > absl::Seconds(1)) {
      last_second_.pop_front();
    }
    max_in_a_second_ = std::max(
        max_in_a_second_, kRequest * static_cast<double>(last_second_.size()));
  }

  void Sync() {
    std::vector<double> own_use(kHosts);
    double total_use = 0;
    while (!unreported_.empty() &&
           now_ - unreported_.front().at >= kReportDelay) {
      own_use[unreported_.front().host] += kRequest;
      total_use += kRequest;
      unreported_.pop_front();
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].Charge(name_hash, total_use - own_use[i], now_);
    }
  }

  const double load_;
  std::vector<Quotas> hosts_;
  std::mt19937_64 random_{1};
  absl::Time now_ = absl::UnixEpoch();
  double pending_ = 0;
  double total_ = 0;
  std::deque<Admission> unreported_;
  std::deque<absl::Time> last_second_;
  double max_in_a_second_ = 0;
};

// A workspace requests six times its limit at two hundred hosts, which learn of
// their peers' use a fifth of a second late. Whenever tokens are available, all
// hosts would admit every request until they know of each other's: two seconds'
// worth of tokens within a few tenths of a second, and then nothing.
BOOST_AUTO_TEST_CASE(HostsDontOverrunTheLimitTogether) {
  Hosts hosts(/*load=*/6);
  hosts.Run(absl::Seconds(10));
  BOOST_TEST_MESSAGE("max in a second " << hosts.max_in_a_second());
  BOOST_TEST(hosts.max_in_a_second() < 1.5 * kRate);
  BOOST_TEST(hosts.total() > 0.9 * kRate * 10);
}

// A host is partitioned while demand exceeds the limit on all hosts. From then
// on it has a tenth of the limit for itself. If it still reserved tokens for
// its peers' unreported use, it would refuse all callers until the partition
// ends.
BOOST_AUTO_TEST_CASE(APartitionedHostUsesItsShare) {
  constexpr double kShare = 0.1;
  Workspace workspace;
  workspace.id = WorkspaceId("w");
  workspace.quota = {kRate, kRate, 1};
  absl::Time now = absl::UnixEpoch();
  Quotas quotas(kTolerance);
  quotas.Configure({workspace}, now);
  quotas.SetPeerDemand(name_hash, {6 * kRate, kReportDelay}, now);
  now += absl::Seconds(1);
  BOOST_TEST(quotas.Take(name_hash, kRequest, 0, now).has_value());
  quotas.SetShare(name_hash, kShare, now);
  quotas.SetPeerDemand(name_hash, {}, now);
  int served = 0;
  for (int i = 0; i < 100; ++i) {
    now += absl::Milliseconds(100);
    if (!quotas.Take(name_hash, kRequest, 0, now)) ++served;
  }
  BOOST_TEST(served * kRequest > 0.7 * kShare * kRate * 10);
}

// Guards against a refill, or a debt that is forgiven, each time that the limit
// changes: a workspace would get a burst on top of its limit.
BOOST_AUTO_TEST_CASE(AChangedLimitBringsNoTokens) {
  Workspace workspace;
  workspace.id = WorkspaceId("w");
  const absl::Time now = absl::UnixEpoch();
  for (const double taken : {0.0, kRate}) {  // A positive level, and a debt.
    Quotas quotas(kTolerance);
    workspace.quota = {kRate, kRate, 1};
    quotas.Configure({workspace}, now);
    BOOST_TEST(!quotas.Take(name_hash, taken, /*reserve=*/0, now).has_value());
    const double before = quotas.StateOf(name_hash)->level;
    for (const double factor : {2.0, 0.5, 1.0}) {
      workspace.quota = {factor * kRate, factor * kRate, 1};
      quotas.Configure({workspace}, now);
    }
    BOOST_TEST(quotas.StateOf(name_hash)->level <= before + 1);
  }
}

// Below the limit, the peers' estimated use must not cause a refusal.
BOOST_AUTO_TEST_CASE(EstimatedUseRefusesNobodyBelowTheLimit) {
  Hosts hosts(/*load=*/0.5);
  hosts.Run(absl::Seconds(10));
  BOOST_TEST(hosts.total() >= 0.5 * kRate * 10);
}

}  // namespace
}  // namespace gentianlb::gateway
