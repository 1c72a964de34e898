#include "meter.h"

#include <malloc.h>
#include <time.h>

namespace gentianlb::bench {

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

std::int64_t HeapBytes() {
  struct mallinfo2 info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

}  // namespace gentianlb::bench
