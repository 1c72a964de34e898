// Sizes of tests that an operator sets by environment variables, to play longer
// than CI does.

#ifndef GENTIANLB_BASE_ENVIRONMENT_TEST_H_
#define GENTIANLB_BASE_ENVIRONMENT_TEST_H_

#include <cstdlib>

#include "absl/strings/numbers.h"

namespace gentianlb {

// Returns `otherwise` unless the variable is a number.
inline int FromEnvironment(const char* name, int otherwise) {
  const char* const text = std::getenv(name);
  int value = 0;
  return text != nullptr && absl::SimpleAtoi(text, &value) ? value : otherwise;
}

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_ENVIRONMENT_TEST_H_
