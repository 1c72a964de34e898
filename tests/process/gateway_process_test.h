// A gateway as a process on loopback, its settings file and addresses.

#ifndef GENTIANLB_PROCESS_GATEWAY_PROCESS_TEST_H_
#define GENTIANLB_PROCESS_GATEWAY_PROCESS_TEST_H_

#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http/client.h"
#include "process/process.h"

namespace gentianlb::process {

class GatewayProcess {
 public:
  // Writes the settings into `folder`, which must outlive this object, and
  // starts the gateway. `table_port`: of the table service. `environment`: as
  // NAME=VALUE, added to this process's own. `more_settings`: more sections.
  // `host_settings`: more lines of [host].
  GatewayProcess(const TempFolder& folder, const std::string& name,
                 int table_port, std::vector<std::string> environment = {},
                 const std::string& more_settings = "",
                 const std::string& host_settings = "")
      : folder_(folder),
        environment_(std::move(environment)),
        callers_(PickAddress()),
        ready_(PickAddress()),
        metrics_(PickAddress()) {
    const std::string settings = absl::StrCat(
        "[host]\nid = ", name, "\nzone = z\ngrace = 8s\n", host_settings,
        "\n[callers]\naddress = ", callers_, "\n[ready]\naddress = ", ready_,
        "\npath = /v1/readyz\n[metrics]\naddress = ", metrics_,
        "\n[peers]\naddress = ", PickAddress(),
        "\n[table]\naddress = 127.0.0.1:", table_port,
        "\n[servers]\ndrain_time = 2s\n", more_settings);
    settings_ = folder_.Write(name + ".ini", settings);
    Run(name);
  }

  // Starts another process with the same settings; its log is `log`.
  void Run(const std::string& log) {
    process_ = std::make_unique<Process>(
        Binary(), std::vector<std::string>{"gateway", "--settings", settings_},
        folder_.Path(log), environment_);
  }

  int Ready(http::Client& client) const {
    return client.FetchAndWait({.url = Url(ready_, "/v1/readyz")}).status;
  }
  void WaitUntilReady(http::Client& client) {
    WaitUntil("the gateway is ready", [&] {
      // The folder with what it said is removed with the test.
      if (process_->HasEnded()) {
        throw std::runtime_error(
            absl::StrCat("the gateway ended: ", process_->Errors()));
      }
      return Ready(client) == 200;
    });
  }

  // Returns the text of the host's metrics.
  std::string Metrics(http::Client& client) const {
    return client.FetchAndWait({.url = Url(metrics_, "/metrics")}).body;
  }

  static std::string Url(const std::string& address, std::string_view path) {
    return absl::StrCat("http://", address, std::string(path));
  }

  // GENTIANLB_TEST_GATEWAY names another build's gateway, to compare with.
  static std::string Binary() {
    const char* const other = std::getenv("GENTIANLB_TEST_GATEWAY");
    return other != nullptr ? other
                            : GENTIANLB_BUILD_DIR "/src/gentianlb/gentianlb";
  }

  const std::string& callers() const { return callers_; }
  const std::string& ready() const { return ready_; }
  const std::string& metrics() const { return metrics_; }
  Process& process() { return *process_; }

 private:
  const TempFolder& folder_;
  const std::vector<std::string> environment_;
  const std::string callers_;
  const std::string ready_;
  const std::string metrics_;
  std::string settings_;
  std::unique_ptr<Process> process_;
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_GATEWAY_PROCESS_TEST_H_
