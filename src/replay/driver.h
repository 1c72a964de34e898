// Drives one policy through one trace on a virtual clock, service by service,
// and measures what callers receive.

#ifndef GENTIANLB_REPLAY_DRIVER_H_
#define GENTIANLB_REPLAY_DRIVER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "base/result.h"
#include "replay/deployment.h"
#include "replay/figures.h"
#include "replay/signature.h"
#include "replay/site.h"
#include "replay/trace.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

// A policy that asks to be woken for a time that has passed, or for now, is
// woken this much later: it must not stop the clock.
inline constexpr absl::Duration kLeastWakeup = absl::Milliseconds(1);

// One policy in front of one site.
template <schedule::DispatchPolicy Policy>
class Driver {
 public:
  Driver(Site* site, Policy* policy) : site_(site), policy_(policy) {}

  // Runs to the end. Fails when the policy broke its contract.
  Result<ServiceFigures> Run() {
    for (const schedule::Event& event : site_->FirstEvents()) Handle(event);
    while (!site_->Finished() && now_ < site_->horizon()) Step();
    if (!site_->Finished()) site_->ledger().Fault("a request never ended");
    const auto& faults = site_->ledger().faults();
    if (!faults.empty()) {
      return Fail(Code::kInternal,
                  absl::StrCat(faults.size(), " faults of the policy; first: ",
                               faults.front()));
    }
    return Figures();
  }

 private:
  void Step() {
    absl::Time wake = std::max(policy_->NextWakeup(), now_ + kLeastWakeup);
    absl::Time next = site_->NextTime();
    now_ = std::min(wake, next);
    std::vector<schedule::Event> events;
    site_->Advance(now_, &events);
    if (wake <= now_) events.push_back(schedule::TimePassed{});
    for (const schedule::Event& event : events) Handle(event);
    // A draw that lasts no time is no draw.
    if (site_->NextTime() > now_) site_->MeterPower();
  }

  void Handle(const schedule::Event& event) {
    std::vector<schedule::Decision> decisions;
    auto before = std::chrono::steady_clock::now();
    policy_->Handle(event, now_, &decisions);
    spent_ += std::chrono::steady_clock::now() - before;
    ++events_;
    for (const schedule::Decision& decision : decisions) {
      ++decisions_;
      signature_.Add(decision, now_);
      site_->Apply(decision);
    }
  }

  ServiceFigures Figures() const {
    ServiceFigures figures = site_->Figures();
    figures.events = events_;
    figures.decisions = decisions_;
    std::chrono::duration<double, std::nano> spent = spent_;
    figures.ns_per_decision =
        spent.count() /
        static_cast<double>(std::max<std::int64_t>(1, decisions_));
    figures.signature = signature_.Value();
    return figures;
  }

  Site* const site_;
  Policy* const policy_;
  absl::Time now_ = Site::Start();
  std::int64_t events_ = 0;
  std::int64_t decisions_ = 0;
  std::chrono::steady_clock::duration spent_{};
  Signature signature_;
};

// Replays all services of `trace`; `make_policy()` gives a new policy for each.
template <typename MakePolicy>
Result<ReplayFigures> Replay(const Deployment& deployment, const Trace& trace,
                             std::uint64_t seed, MakePolicy make_policy) {
  ReplayFigures figures;
  figures.deployment = deployment.name;
  figures.note = trace.note;
  for (const ServiceLoad& service : deployment.services) {
    Site site(deployment, service, trace, seed);
    auto policy = make_policy();
    Driver driver(&site, &policy);
    BOOST_LEAF_AUTO(row, driver.Run());
    figures.services.push_back(std::move(row));
  }
  return figures;
}

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_DRIVER_H_
