#include "meter.h"

#include <malloc.h>
#include <time.h>

namespace gentianlb::bench {

namespace {

double Seconds(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

}  // namespace

double ThreadSeconds() { return Seconds(CLOCK_THREAD_CPUTIME_ID); }

double ProcessSeconds() { return Seconds(CLOCK_PROCESS_CPUTIME_ID); }

std::int64_t HeapBytes() {
  struct mallinfo2 info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

}  // namespace gentianlb::bench
