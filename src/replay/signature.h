// One number over all decisions of a run and their times. When it is the same
// as before a change of code, the change decides nothing differently.

#ifndef GENTIANLB_REPLAY_SIGNATURE_H_
#define GENTIANLB_REPLAY_SIGNATURE_H_

#include <cstdint>

#include "absl/time/time.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

class Signature {
 public:
  void Add(const schedule::Decision& decision, absl::Time now);

  // Takes in another run's number.
  void Add(std::uint64_t value);

  std::uint64_t Value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_SIGNATURE_H_
