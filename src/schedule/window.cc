#include "schedule/window.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Halving from 64 streams to one takes six cuts: about three seconds.
constexpr double kCut = 0.5;
constexpr absl::Duration kCutInterval = absl::Milliseconds(500);

// A quarter more at a time: from one back to 64 streams in about five seconds
// of good answers, gentle enough to notice that it is still slow.
constexpr double kGrowth = 1.25;
constexpr absl::Duration kGrowthInterval = absl::Milliseconds(250);

// Probes begin after a second, as a short stall has passed by then, and a dead
// server costs at most one request in half a minute.
constexpr absl::Duration kFirstBackoff = absl::Seconds(1);
constexpr absl::Duration kMaxBackoff = absl::Seconds(30);

}  // namespace

Window::Window(int max_streams)
    : bound_(std::max(1, max_streams)),
      size_(bound_),
      backoff_(kFirstBackoff) {}

void Window::SetBound(int max_streams) {
  const bool untouched = size_ >= bound_;
  bound_ = std::max(1, max_streams);
  size_ = untouched ? bound_ : std::min<double>(size_, bound_);
}

void Window::Good(absl::Time now, bool full) {
  // A good answer ends the probing; what it shows is that the server is back.
  probing_ = false;
  failures_ = 0;
  backoff_ = kFirstBackoff;
  closed_until_ = absl::InfinitePast();
  if (!full || now < last_growth_ + kGrowthInterval) return;
  last_growth_ = now;
  size_ = std::min<double>(bound_, std::max(size_ * kGrowth, size_ + 1));
}

bool Window::Slow(absl::Time now) {
  if (now < last_cut_ + kCutInterval) return false;
  last_cut_ = now;
  if (size_ * kCut < 1) Close(now);
  size_ = std::max(1.0, size_ * kCut);
  return true;
}

void Window::Unreachable(absl::Time now) {
  size_ = 1;
  Close(now);
}

void Window::Failed(absl::Time now) {
  // Even where two calls in five fail, three in a row are seldom chance.
  constexpr int kFailuresInARow = 3;
  if (probing_ || ++failures_ >= kFailuresInARow) Unreachable(now);
}

void Window::Close(absl::Time now) {
  if (now < closed_until_) return;
  probing_ = true;
  // Slow answers of work from before say nothing of a probe.
  if (!tried_) backoff_ = std::max(kFirstBackoff, backoff_ / 2);
  tried_ = false;
  closed_until_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

}  // namespace gentianlb::schedule
