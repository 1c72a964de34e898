// Several gateways as processes, before servers that ask hosts to send them
// nothing for a while, or say that they leave.

#ifndef GENTIANLB_PROCESS_COOLDOWN_SITE_TEST_H_
#define GENTIANLB_PROCESS_COOLDOWN_SITE_TEST_H_

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "process/gateway_site_test.h"

namespace gentianlb::process {

class CooldownSite : public GatewaySite {
 public:
  static constexpr int kServers = 8;
  // What a host sends within this time of its server's refusal was on its way.
  static constexpr absl::Duration kOnItsWay = absl::Milliseconds(500);
  // A server that leaves gets no request that is sent later.
  static constexpr absl::Duration kDrainTime = absl::Seconds(2);
  // As many more requests may reach a server in its cooldown.
  static constexpr int kAllowed = 2;

  CooldownSite(const std::string& configuration, const std::string& service)
      : GatewaySite(configuration, {service}, kServers),
        streams_(service == "llm") {}
  ~CooldownSite() { client_.Stop(); }  // Its callbacks refer to the members.

  // Sends requests over all hosts in turn, with `every` between two.
  void Send(absl::Duration span, absl::Duration every,
            const std::string& deadline_ms = "2000") {
    const absl::Time start = absl::Now();
    for (int i = 0; i * every < span; ++i) {
      absl::SleepFor(start + i * every - absl::Now());
      SendOne(next_host_++, deadline_ms);
    }
  }
  void WaitForAnswers() {
    WaitUntil("all requests are answered", [this] { return open_ == 0; });
  }

  void SetFaults(int first, int last,
                 const standins::PlatformServer::Faults& faults) {
    for (int i = first; i < last; ++i) {
      servers_[static_cast<std::size_t>(i)]->SetFaults(faults);
    }
  }

  // Kills a host and starts it again. Its new process has none of the cooldowns
  // that the old one received.
  void Restart(std::size_t host) {
    hosts_[host]->process().KillAndWait();
    Excuse(host);
    hosts_[host]->Run(absl::StrCat("again", ++restarts_));
  }

  // From now on, responses that the host has received so far don't count.
  void Excuse(std::size_t host) { forgotten_[host] = absl::Now(); }

  // Returns the requests that reached a server which says that it leaves since
  // `leaving`, though they were sent later than the drain time after their host
  // had got an answer of it.
  int CountLate(int server, absl::Time leaving) const {
    std::map<std::size_t, absl::Time> informed;  // By host.
    int late = 0;
    for (const auto& arrival :
         servers_[static_cast<std::size_t>(server)]->History()) {
      if (arrival.at < leaving) continue;
      const std::size_t host = HostOf(arrival.request);
      absl::Time& since = informed.try_emplace(host, arrival.at).first->second;
      // A response that it received before it was restarted or stopped doesn't
      // count.
      const auto forgotten = forgotten_.find(host);
      if (forgotten != forgotten_.end() && since < forgotten->second) {
        since = std::max(arrival.at, forgotten->second);
      }
      late += SentAt(arrival.request) > since + kDrainTime;
    }
    return late;
  }

  // Returns how many cooldowns were asked, and of these in how many the host
  // that was asked sent more than is allowed.
  std::pair<int, int> CountCooldowns() const {
    int asked = 0;
    int broken = 0;
    for (const auto& server : servers_) {
      const auto history = server->History();
      for (auto refusal = history.begin(); refusal != history.end();
           ++refusal) {
        double seconds = 0;
        if (!absl::SimpleAtod(refusal->retry_after, &seconds)) continue;
        ++asked;
        broken += CountSince(refusal, history.end(), absl::Seconds(seconds)) >
                  kAllowed;
      }
    }
    return {asked, broken};
  }

  // Logs what became of the requests.
  void Report() const {
    const auto [asked, broken] = CountCooldowns();
    BOOST_TEST_MESSAGE("cooldowns "
                       << asked << " broken " << broken << " served " << served_
                       << " refused " << refused_ << " late " << refused_late_
                       << " others " << others_ << " longest retry-after ms "
                       << longest_retry_after_ms_);
  }

  // Logs the requests that reached each server since `from`.
  void ReportArrivals(absl::Time from) const {
    std::string counts;
    for (int i = 0; i < kServers; ++i) {
      absl::StrAppend(&counts, " ", ArrivalsSince(i, from));
    }
    BOOST_TEST_MESSAGE("arrivals by server" << counts);
  }

  // Returns the requests that reached server number `server` since `from`.
  int ArrivalsSince(int server, absl::Time from) const {
    const std::vector<absl::Time> arrivals =
        servers_[static_cast<std::size_t>(server)]->Arrivals();
    return static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [from](absl::Time at) { return at >= from; }));
  }

  // Returns the number of requests sent so far.
  int sent() const { return static_cast<int>(sent_.size()); }
  std::size_t HostOf(const std::string& request) const {
    return sent_.at(request).first;
  }
  absl::Time SentAt(const std::string& request) const {
    return sent_.at(request).second;
  }

  std::atomic<int> open_ = 0;
  std::atomic<int> served_ = 0;
  std::atomic<int> refused_ = 0;
  std::atomic<int> refused_late_ = 0;  // Not at once.
  std::atomic<int> others_ = 0;
  std::atomic<std::int64_t> longest_retry_after_ms_ = 0;

 private:
  using History = std::vector<standins::PlatformServer::Arrival>;

  // No refusal that needs no queue takes longer.
  static constexpr absl::Duration kAtOnce = absl::Milliseconds(300);

  // Returns the requests that the host of `refusal` sent in the part of the
  // cooldown in which it may send none.
  int CountSince(History::const_iterator refusal, History::const_iterator end,
                 absl::Duration cooldown) const {
    const std::size_t host = HostOf(refusal->request);
    const auto forgotten = forgotten_.find(host);
    int count = 0;
    for (auto later = refusal + 1; later != end; ++later) {
      if (later->at <= refusal->at + kOnItsWay) continue;
      if (later->at >= refusal->at + cooldown) break;
      const bool excused =
          forgotten != forgotten_.end() && refusal->at < forgotten->second;
      if (!excused && HostOf(later->request) == host) ++count;
    }
    return count;
  }

  void SendOne(int host, const std::string& deadline_ms) {
    http::ClientRequest request =
        MakeRequest(host, streams_ ? "/chat/1" : "/read/1", absl::StrCat(host),
                    deadline_ms);
    if (streams_) {
      request.headers.push_back({"Model", "m"});
      request.headers.push_back({"Token-Count", "100,10"});
    }
    const absl::Time now = absl::Now();
    sent_[std::string(http::FindHeader(request.headers, "Request-Id"))] = {
        static_cast<std::size_t>(host) % kHosts, now};
    ++open_;
    client_.Fetch(std::move(request), [this, now](const http::Reply& reply) {
      OnReply(reply, absl::Now() - now);
      --open_;
    });
  }

  void OnReply(const http::Reply& reply, absl::Duration took) {
    double seconds = 0;
    const std::string retry_after(
        http::FindHeader(reply.headers, "Retry-After"));
    if (reply.status == 200) {
      ++served_;
    } else if (reply.status == 503 && absl::SimpleAtod(retry_after, &seconds)) {
      ++refused_;
      if (took > kAtOnce) ++refused_late_;
      const auto ms = static_cast<std::int64_t>(seconds * 1000);
      if (ms > longest_retry_after_ms_) longest_retry_after_ms_ = ms;
    } else {
      ++others_;
    }
  }

  const bool streams_;
  int next_host_ = 0;
  int restarts_ = 0;
  std::map<std::size_t, absl::Time> forgotten_;  // By host.
  // The host and the time of each request, by its id.
  std::map<std::string, std::pair<std::size_t, absl::Time>> sent_;
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_COOLDOWN_SITE_TEST_H_
