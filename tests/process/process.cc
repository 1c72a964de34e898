#include "process/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

namespace gentianlb::process {
namespace {

constexpr absl::Duration kPoll = absl::Milliseconds(5);
constexpr int kFileMode = 0600;

// 127.X.Y.Z made from the process id: outgoing connections use 127.0.0.1, so
// that none of them can take a port that was picked here.
in_addr_t OwnLoopback() {
  constexpr unsigned kPidBits = 22;
  constexpr in_addr_t kBase = (127U << 24) | (64U << 16);
  auto pid = static_cast<in_addr_t>(getpid());
  return kBase + (pid & ((1U << kPidBits) - 1));
}

// posix_spawn() takes pointers to what it doesn't change.
void AppendPointers(const std::vector<std::string>& texts,
                    std::vector<char*>* pointers) {
  for (const std::string& text : texts) {
    pointers->push_back(const_cast<char*>(text.c_str()));
  }
}

// A port of this process's own loopback address that is free at this moment.
std::string AddressPickedByKernel() {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(OwnLoopback());
  socklen_t size = sizeof(address);
  int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool bound =
      bind(socket_fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  close(socket_fd);
  if (!bound) throw std::runtime_error("can't pick an address");
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return absl::StrCat(text, ":", ntohs(address.sin_port));
}

}  // namespace

void WaitUntil(std::string_view what, const std::function<bool()>& condition,
               absl::Duration bound) {
  absl::Time end = absl::Now() + bound;
  while (!condition()) {
    if (absl::Now() > end) {
      throw std::runtime_error("never came: " + std::string(what));
    }
    absl::SleepFor(kPoll);
  }
}

TempFolder::TempFolder() {
  path_ =
      (std::filesystem::temp_directory_path() / "gentianlb-XXXXXX").string();
  if (mkdtemp(path_.data()) == nullptr) {
    throw std::runtime_error("can't make a temporary folder");
  }
}

TempFolder::~TempFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string TempFolder::Write(std::string_view name,
                              std::string_view text) const {
  std::string path = Path(name);
  std::ofstream(path) << text;
  return path;
}

std::string TempFolder::Path(std::string_view name) const {
  return path_ + "/" + std::string(name);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Process::Process(const std::string& binary,
                 const std::vector<std::string>& arguments, std::string log,
                 const std::vector<std::string>& environment)
    : log_(std::move(log)) {
  std::vector<char*> argv = {const_cast<char*>(binary.c_str())};
  AppendPointers(arguments, &argv);
  argv.push_back(nullptr);
  std::vector<char*> variables;
  AppendPointers(environment, &variables);
  for (char** own = environ; *own != nullptr; ++own) variables.push_back(*own);
  variables.push_back(nullptr);

  std::string out = log_ + ".out";
  std::string err = log_ + ".err";
  constexpr int kFlags = O_WRONLY | O_CREAT | O_TRUNC;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, out.c_str(), kFlags, kFileMode);
  posix_spawn_file_actions_addopen(&actions, 2, err.c_str(), kFlags, kFileMode);
  int failed = posix_spawn(&pid_, binary.c_str(), &actions, nullptr,
                           argv.data(), variables.data());
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error("can't start " + binary);
}

Process::~Process() {
  if (!HasEnded()) KillAndWait();
}

std::uint16_t Process::Port() {
  constexpr std::string_view kPrefix = "port=";
  std::string output;
  WaitUntil(log_ + " says its port", [&] {
    output = Output();
    if (HasEnded()) throw std::runtime_error(log_ + " ended: " + Errors());
    return output.find('\n') != std::string::npos;
  });
  if (!output.starts_with(kPrefix)) {
    throw std::runtime_error(log_ + " said " + output);
  }
  return static_cast<std::uint16_t>(std::stoi(output.substr(kPrefix.size())));
}

void Process::Signal(int signal) {
  if (!HasEnded()) kill(pid_, signal);
}

bool Process::HasEnded() {
  if (ended_) return true;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
  ended_ = true;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

int Process::Wait(absl::Duration bound) {
  WaitUntil(
      log_ + " ends", [this] { return HasEnded(); }, bound);
  return status_;
}

void Process::KillAndWait() {
  Signal(SIGKILL);
  // A killed process ends for certain; the bound only guards the test.
  absl::Time end = absl::Now() + kBound;
  while (!HasEnded() && absl::Now() < end) absl::SleepFor(kPoll);
}

std::int64_t Process::MemoryField(std::string_view field) const {
  const std::string status = ReadFile(absl::StrCat("/proc/", pid_, "/status"));
  const std::size_t start = status.find(field);
  if (start == std::string::npos) return 0;
  constexpr std::int64_t kKibibyte = 1024;
  return std::strtoll(status.c_str() + start + field.size(), nullptr, 10) *
         kKibibyte;
}

std::int64_t Process::PeakMemory() const { return MemoryField("VmHWM:"); }

std::int64_t Process::ResidentMemory() const { return MemoryField("VmRSS:"); }

std::size_t Process::OpenDescriptors() const {
  std::error_code ignored;
  const std::filesystem::directory_iterator descriptors(
      absl::StrCat("/proc/", pid_, "/fd"), ignored);
  return static_cast<std::size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

std::string Process::Output() const { return ReadFile(log_ + ".out"); }

std::string Process::Errors() const { return ReadFile(log_ + ".err"); }

Finished RunToEnd(const std::string& binary,
                  const std::vector<std::string>& arguments,
                  const std::string& log) {
  Process process(binary, arguments, log);
  int status = process.Wait();
  return {status, process.Output(), process.Errors()};
}

std::string PickAddress() {
  static absl::Mutex mutex;
  static auto* const given = new std::set<std::string>;
  absl::MutexLock lock(&mutex);
  while (true) {
    std::string address = AddressPickedByKernel();
    if (given->insert(address).second) return address;
  }
}

}  // namespace gentianlb::process
