#include "schedule/window.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Reduction from 64 streams to one takes six steps: about 3 s.
constexpr double kDecreaseFactor = 0.5;
constexpr absl::Duration kDecreaseInterval = absl::Milliseconds(500);

// Growth from one to 64 streams takes about 5 s of good responses, slow enough
// to notice a server that is still slow.
constexpr double kIncreaseFactor = 1.25;
constexpr absl::Duration kIncreaseInterval = absl::Milliseconds(250);

// Time until a probe. Short stalls pass within 1 s; a dead server costs at most
// one request per 30 s.
constexpr absl::Duration kInitialBackoff = absl::Seconds(1);
constexpr absl::Duration kMaxBackoff = absl::Seconds(30);

}  // namespace

Window::Window(int max_streams)
    : max_streams_(std::max(1, max_streams)),
      size_(max_streams_),
      backoff_(kInitialBackoff) {}

void Window::SetMaxStreams(int max_streams) {
  const bool at_max = size_ >= max_streams_;
  max_streams_ = std::max(1, max_streams);
  size_ = at_max ? max_streams_ : std::min<double>(size_, max_streams_);
}

void Window::OnGoodResponse(absl::Time now, bool full) {
  // A good response shows that the server has recovered.
  probing_ = false;
  failures_ = 0;
  backoff_ = kInitialBackoff;
  closed_until_ = absl::InfinitePast();
  if (!full || now < last_increase_ + kIncreaseInterval) return;
  last_increase_ = now;
  size_ = std::min<double>(max_streams_,
                           std::max(size_ * kIncreaseFactor, size_ + 1));
}

bool Window::OnSlowResponse(absl::Time now) {
  if (now < last_decrease_ + kDecreaseInterval) return false;
  last_decrease_ = now;
  if (size_ * kDecreaseFactor < 1) Close(now);
  size_ = std::max(1.0, size_ * kDecreaseFactor);
  return true;
}

void Window::OnUnreachable(absl::Time now) {
  size_ = 1;
  Close(now);
}

void Window::OnFailure(absl::Time now) {
  // Three failures in a row are unlikely by chance, even if two of five calls
  // fail.
  constexpr int kMaxConsecutiveFailures = 3;
  if (probing_ || ++failures_ >= kMaxConsecutiveFailures) OnUnreachable(now);
}

void Window::Close(absl::Time now) {
  if (now < closed_until_) return;
  probing_ = true;
  // Slow responses to requests granted before the last close are not the result
  // of a probe and do not double the backoff.
  if (!granted_since_close_) backoff_ = std::max(kInitialBackoff, backoff_ / 2);
  granted_since_close_ = false;
  closed_until_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

}  // namespace gentianlb::schedule
