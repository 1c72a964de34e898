// Child processes of a test: started, signalled by id, waited for within bounds
// and ended with the test at the latest. Only tests start processes.

#ifndef GENTIANLB_PROCESS_PROCESS_H_
#define GENTIANLB_PROCESS_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace gentianlb::process {

// Nothing a test waits for takes nearly as long; passing it is a failure.
inline constexpr absl::Duration kBound = absl::Seconds(60);

// Returns once `condition` holds; throws, naming `what`, when the bound passes.
void WaitUntil(std::string_view what, const std::function<bool()>& condition,
               absl::Duration bound = kBound);

// A folder of this test's own, removed at the end with all that is in it.
class TempFolder {
 public:
  TempFolder();
  ~TempFolder();
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;

  // Writes a file and returns its path.
  std::string Write(std::string_view name, std::string_view text) const;
  std::string Path(std::string_view name) const;

 private:
  std::string path_;
};

std::string ReadFile(const std::string& path);

// A running program; killed when the value ends.
class Process {
 public:
  // Output goes to the files `<log>.out` and `<log>.err`. `environment` is
  // added to this process's own, as NAME=VALUE.
  Process(const std::string& binary, const std::vector<std::string>& arguments,
          std::string log, const std::vector<std::string>& environment = {});
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Waits for the line `port=N`, the first of the program's output.
  std::uint16_t Port();

  // No-op once it has ended.
  void Signal(int signal);
  bool HasEnded();

  // The exit code, or minus the signal that ended it.
  int Wait(absl::Duration bound = kBound);

  void KillAndWait();

  // Returns the most memory that has been resident, in bytes; 0 once the
  // process has ended.
  std::int64_t PeakMemory() const;
  // Returns the memory that is resident, in bytes; 0 once it has ended.
  std::int64_t ResidentMemory() const;
  // Returns the number of its descriptors; 0 once it has ended.
  std::size_t OpenDescriptors() const;

  std::string Output() const;
  std::string Errors() const;

 private:
  // Returns a field of /proc/PID/status that is in kB, in bytes.
  std::int64_t MemoryField(std::string_view field) const;

  const std::string log_;
  pid_t pid_ = 0;
  bool ended_ = false;
  int status_ = 0;
};

// What a program that ended by itself has said.
struct Finished {
  int status = 0;
  std::string output;
  std::string errors;
};

Finished RunToEnd(const std::string& binary,
                  const std::vector<std::string>& arguments,
                  const std::string& log);

// A loopback address that no other process uses, with a port that the kernel
// has picked, never the same twice; for servers whose address others must know
// before they start.
std::string PickAddress();

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_PROCESS_H_
