#ifndef GENTIANLB_GENTIANLB_EXIT_CODE_H_
#define GENTIANLB_GENTIANLB_EXIT_CODE_H_

namespace gentianlb {

// Exit codes of gentianlb, documented in docs/RESULT_CODES.md.
enum ExitCode {
  kDone = 0,
  kRefused = 1,
  kBadSettings = 2,
  kDrainIncomplete = 4
};

}  // namespace gentianlb

#endif  // GENTIANLB_GENTIANLB_EXIT_CODE_H_
