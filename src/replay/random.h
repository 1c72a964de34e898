// Draws from a seeded engine. The library's distributions may change between
// its versions, and a trace must not; these few are spelled out.

#ifndef GENTIANLB_REPLAY_RANDOM_H_
#define GENTIANLB_REPLAY_RANDOM_H_

#include <cmath>
#include <cstdint>
#include <random>

namespace gentianlb::replay {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // From [0, 1).
  double Unit() {
    constexpr int kUnusedBits = 11;  // A double holds 53 of the 64.
    return std::ldexp(static_cast<double>(engine_() >> kUnusedBits), -53);
  }

  // From [0, count).
  int Index(int count) { return static_cast<int>(Unit() * count); }

  // The gap to the next of `rate` events a second.
  double Gap(double rate) { return -std::log1p(-Unit()) / rate; }

  // Even by the logarithm, from `least` to `most`.
  int Spread(int least, int most) {
    if (most <= least) return least;
    double ratio = static_cast<double>(most) / least;
    return static_cast<int>(std::lround(least * std::pow(ratio, Unit())));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_RANDOM_H_
