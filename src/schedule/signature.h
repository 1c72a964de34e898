// Running hash over all decisions of a dispatcher. Two runs, hosts or builds
// with the same signature made the same decisions in the same order.

#ifndef GENTIANLB_SCHEDULE_SIGNATURE_H_
#define GENTIANLB_SCHEDULE_SIGNATURE_H_

#include <cstdint>

#include "schedule/messages.h"

namespace gentianlb::schedule {

class Signature {
 public:
  void Add(const Decision& decision);
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_SIGNATURE_H_
