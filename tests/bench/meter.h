// What a piece of code uses of the processor and of the heap. Processor time is
// that of the calling thread: the wall clock would count other jobs' work too.

#ifndef GENTIANLB_TESTS_BENCH_METER_H_
#define GENTIANLB_TESTS_BENCH_METER_H_

#include <cstdint>

namespace gentianlb::bench {

// Processor time of this thread since its start.
double ThreadSeconds();

// The same of all threads of this process, ended ones included.
double ProcessSeconds();

// What malloc has handed out and not got back.
std::int64_t HeapBytes();

// Adds up the processor time of what runs between Start() and Stop().
class Stopwatch {
 public:
  void Start() { started_ = ThreadSeconds(); }
  void Stop() { spent_ += ThreadSeconds() - started_; }
  double seconds() const { return spent_; }

 private:
  double started_ = 0;
  double spent_ = 0;
};

}  // namespace gentianlb::bench

#endif  // GENTIANLB_TESTS_BENCH_METER_H_
