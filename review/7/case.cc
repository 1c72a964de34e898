// Callers of the non-idempotent route send requests whose heads are large, and
// inside the limit that the configuration states. Each uses a kept connection.

#include "common-2/kit.h"

namespace {

constexpr std::size_t kMaxHeaderBytes = 16'384;  // max_header_bytes
constexpr int kFields = 100;
constexpr int kRequests = 40;

// Headers of answers as an application commonly adds them.
const std::vector<std::pair<std::string, std::string>> kAnswerHeaders = {
    {"Content-Type", "application/json; charset=utf-8"},
    {"Cache-Control", "no-store, max-age=0, must-revalidate"},
    {"Vary", "Accept-Encoding, Authorization"},
    {"Strict-Transport-Security", "max-age=31536000; includeSubDomains"},
    {"X-Content-Type-Options", "nosniff"},
    {"Referrer-Policy", "strict-origin-when-cross-origin"},
    {"Set-Cookie",
     "session=6f1c2b0d9a7e4f53b8c1d2e3f4a5b6c7d8e9f0a1b2c3d4e5; Path=/; "
     "Secure; HttpOnly; SameSite=Lax"},
    {"Traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"},
};

// The values' lengths go through the sizes up to the limit.
std::string LargeRequest(const std::string& id, int number) {
  const int length = kit::Trouble() ? 110 + number % 14 : 20;
  std::string fields;
  for (int i = 0; i < kFields; ++i) {
    char name[32];
    std::snprintf(name, sizeof name, "X-Field-%03d: ", i);
    fields +=
        name + std::string(static_cast<std::size_t>(length), 'v') + "\r\n";
  }
  return kit::Request("POST", "/refund/a", id, "k1", fields, "{}");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return kit::kCouldNotRun;
  kit::Record record(argv[1]);
  kit::Folder folder;
  kit::Store store;
  const kit::Records records(&store, kAnswerHeaders);
  store.Put("op", "config",
            kit::Configuration(R"({"name":"t1","api_keys":["k1"],"priority":1,
"unit":"tokens","uncached_tokens":200,"rate_per_s":266600,"burst":266600})"));
  const kit::Gateway gateway(folder.path(), "edge-1", "hall-a", store.address(),
                             kit::Site(), "127.0.0.1");
  gateway.WaitUntilReady();
  kit::Sleep(3.5);  // The host is in touch after stable_window_ms.

  std::map<std::string, bool> closed;  // Without an answer, by the request.
  int served = 0;
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const int fd = kit::Connect(gateway.callers(), 1);
    kit::Reader reader(fd);
    kit::Message answer;
    const std::string id = "large-" + std::to_string(i);
    const double until = kit::Now() + 3;
    // The connection is a kept one: it has carried a request before.
    const bool kept =
        kit::SendAll(fd,
                     kit::Request("POST", "/refund/a",
                                  "small-" + std::to_string(i), "k1", "", "{}"),
                     until) &&
        reader.Read(&answer, until, /*is_answer=*/true) ==
            kit::Reader::Result::kWhole &&
        kit::StatusOf(answer) == 200;
    if (!kept) kit::GiveUp("a small request wasn't served");
    const std::string request = LargeRequest(id, i);
    const std::size_t head_bytes = request.size() - 2;
    if (head_bytes > kMaxHeaderBytes) kit::GiveUp("beyond the limit");
    kit::SendAll(fd, request, until);
    const kit::Reader::Result result =
        reader.Read(&answer, until, /*is_answer=*/true);
    const bool whole = result == kit::Reader::Result::kWhole;
    const int status = whole ? kit::StatusOf(answer) : 0;
    if (status == 200) ++served;
    if (status >= 400) ++refused;
    closed[id] = result == kit::Reader::Result::kClosed;
    record.Line("request %s head_bytes=%zu status=%d closed=%d", id.c_str(),
                head_bytes, status, closed[id] ? 1 : 0);
    close(fd);
  }
  kit::Sleep(0.5);

  int lost = 0;
  for (const kit::PlainServer::Run& run : records.Runs()) {
    const auto found = closed.find(run.id);
    if (found == closed.end()) continue;
    record.Line("run %s closed=%d", run.id.c_str(), found->second ? 1 : 0);
    if (found->second) ++lost;
  }
  record.Say(std::to_string(kRequests) + " requests inside the limits: " +
             std::to_string(served) + " served, " + std::to_string(refused) +
             " refused, " + std::to_string(lost) +
             " run by a server and closed without an answer");
  kit::Finish(&folder, &record, lost > 3 ? kit::kBroken : kit::kHeld);
}
