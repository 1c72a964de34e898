// A crowd of callers that don't behave: each sends what it has, reads nothing
// that matters to it, and stays. One thread drives all of them.

#ifndef GENTIANLB_PROCESS_CLIENT_CROWD_TEST_H_
#define GENTIANLB_PROCESS_CLIENT_CROWD_TEST_H_

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "loop/tcp_socket.h"
#include "process/process.h"

namespace gentianlb::process {

struct CrowdMember {
  std::string head;
  std::shared_ptr<const std::string> body;  // Null: none.
  // Sent byte by byte, one now and then, once the body has been sent.
  std::string trickle;
};

class ClientCrowd {
 public:
  // Starts to connect to `address`, an IP:PORT, and to send.
  ClientCrowd(const std::string& address, std::vector<CrowdMember> members)
      : target_(Parse(address)) {
    for (CrowdMember& member : members) {
      callers_.push_back({.member = std::move(member)});
    }
    thread_ = std::jthread([this] { Run(); });
  }
  // Closes all connections.
  ~ClientCrowd() {
    ends_ = true;
    thread_.join();
    for (const Caller& caller : callers_) {
      if (caller.socket >= 0) close(caller.socket);
    }
  }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Returns once each caller has sent what it has, or makes no progress, and at
  // the latest after the bound of tests.
  void WaitUntilSettled() const {
    const absl::Time end = absl::Now() + kBound;
    while (!settled_ && absl::Now() < end) absl::SleepFor(kTick);
  }

  // Returns the callers that have sent all, and those whose connection the
  // other side has closed.
  int sent() const { return sent_; }
  int closed() const { return closed_; }

 private:
  struct Caller {
    CrowdMember member;
    int socket = -1;
    std::size_t position = 0;  // In head and body.
    std::size_t trickled = 0;
    absl::Time progress = absl::InfinitePast();
    bool complete = false;
  };

  static constexpr absl::Duration kTick = absl::Milliseconds(20);
  static constexpr absl::Duration kTricklePeriod = absl::Seconds(2);
  // Callers that send at the same time. The next one begins when one of them
  // has sent all, or makes no progress.
  static constexpr int kSenders = 4;
  static constexpr absl::Duration kNoProgress = absl::Milliseconds(500);
  static constexpr absl::Duration kSettled = absl::Seconds(3);
  static constexpr std::size_t kReadBytes = 16 << 10;

  static sockaddr_in Parse(const std::string& address) {
    const std::size_t colon = address.find(':');
    int port = 0;
    sockaddr_in target = {};
    if (!absl::SimpleAtoi(address.substr(colon + 1), &port) ||
        !loop::MakeAddress(address.substr(0, colon),
                           static_cast<std::uint16_t>(port), &target)) {
      throw std::runtime_error("not an address: " + address);
    }
    return target;
  }

  void Run() {
    absl::Time last_progress = absl::Now();
    while (!ends_) {
      const absl::Time now = absl::Now();
      StartNext(now);
      PollOnce();
      Trickle(now);
      int sent = 0;
      for (const Caller& caller : callers_) {
        sent += caller.complete ? 1 : 0;
        last_progress = std::max(last_progress, caller.progress);
      }
      sent_ = sent;
      const bool all_started = callers_.empty() || next_ == callers_.size();
      settled_ = settled_ || (all_started && now - last_progress > kSettled);
    }
  }

  void StartNext(absl::Time now) {
    int senders = 0;
    for (const Caller& caller : callers_) {
      const bool sends = caller.socket >= 0 && !caller.complete &&
                         now - caller.progress < kNoProgress;
      senders += sends ? 1 : 0;
    }
    for (; next_ < callers_.size() && senders < kSenders; ++next_, ++senders) {
      Caller& caller = callers_[next_];
      caller.progress = now;
      caller.socket =
          socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      // It goes on in the background.
      (void)connect(caller.socket, reinterpret_cast<const sockaddr*>(&target_),
                    sizeof target_);
    }
  }

  // Sends and reads what is possible.
  void PollOnce() {
    std::vector<pollfd> waiting;
    std::vector<Caller*> callers;
    for (Caller& caller : callers_) {
      if (caller.socket < 0) continue;
      waiting.push_back({caller.socket, POLLIN, 0});
      if (!caller.complete) waiting.back().events |= POLLOUT;
      callers.push_back(&caller);
    }
    poll(waiting.data(), waiting.size(),
         static_cast<int>(absl::ToInt64Milliseconds(kTick)));
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if ((waiting[i].revents & POLLOUT) != 0) Send(*callers[i]);
      if ((waiting[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
        Receive(*callers[i]);
      }
    }
  }

  void Send(Caller& caller) {
    const std::string& head = caller.member.head;
    std::string_view rest = head;
    if (caller.position < head.size()) {
      rest.remove_prefix(caller.position);
    } else if (caller.member.body != nullptr) {
      rest = *caller.member.body;
      rest.remove_prefix(caller.position - head.size());
    } else {
      rest = {};
    }
    if (!rest.empty()) {
      const ssize_t count = send(caller.socket, rest.data(), rest.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count <= 0) return;
      caller.position += static_cast<std::size_t>(count);
    }
    caller.progress = absl::Now();
    caller.complete = caller.position == head.size() + BodySize(caller);
  }

  static std::size_t BodySize(const Caller& caller) {
    return caller.member.body == nullptr ? 0 : caller.member.body->size();
  }

  void Receive(Caller& caller) {
    char bytes[kReadBytes];
    const ssize_t count =
        recv(caller.socket, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count > 0 || (count < 0 && errno == EAGAIN)) return;
    close(std::exchange(caller.socket, -1));
    ++closed_;
  }

  void Trickle(absl::Time now) {
    if (now - last_trickle_ < kTricklePeriod) return;
    last_trickle_ = now;
    for (Caller& caller : callers_) {
      if (caller.socket < 0 || !caller.complete) continue;
      if (caller.trickled == caller.member.trickle.size()) continue;
      if (send(caller.socket, &caller.member.trickle[caller.trickled], 1,
               MSG_NOSIGNAL | MSG_DONTWAIT) == 1) {
        ++caller.trickled;
      }
    }
  }

  const sockaddr_in target_;
  std::vector<Caller> callers_;
  std::size_t next_ = 0;  // The first that hasn't started.
  absl::Time last_trickle_ = absl::InfinitePast();
  std::atomic<bool> ends_ = false;
  std::atomic<bool> settled_ = false;
  std::atomic<int> sent_ = 0;
  std::atomic<int> closed_ = 0;
  std::jthread thread_;
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_CLIENT_CROWD_TEST_H_
