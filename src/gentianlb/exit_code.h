#ifndef GENTIANLB_GENTIANLB_EXIT_CODE_H_
#define GENTIANLB_GENTIANLB_EXIT_CODE_H_

namespace gentianlb {

// docs/RESULT_CODES.md lists them.
enum ExitCode { kDone = 0, kRefused = 1, kBadSettings = 2, kCutShort = 4 };

}  // namespace gentianlb

#endif  // GENTIANLB_GENTIANLB_EXIT_CODE_H_
