// A client on an event loop, and a server on loopback that writes raw bytes.

#ifndef GENTIANLB_HTTP_RAW_EXCHANGE_TEST_H_
#define GENTIANLB_HTTP_RAW_EXCHANGE_TEST_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http/loop_client.h"
#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::http {

struct RawExchange : loop::LoopRunner {
  // The server answers once it has the head of the request, and maybe more.
  void Answer(std::size_t request_bytes, const std::string& response) {
    client.Start({.method = "POST",
                  .url = server.url(),
                  .body = std::string(request_bytes, 'x'),
                  .send_policy = SendPolicy::kNoResend},
                 {.on_head =
                      [this](ReceivedHead got) {
                        head = std::move(got);
                        return ReadAction::kContinue;
                      },
                  .on_data = [this](std::string_view data) { body += data; },
                  .on_end =
                      [this](TransferEnd got, const std::string& got_detail) {
                        end = got;
                        detail = got_detail;
                      }});
    RunUntil([this] { return server.HasRequest(); });
    server.Write(response);
  }
  void WaitForEnd() {
    RunUntil([this] { return end.has_value(); });
  }

  LoopClient client{&loop, 4};
  RawServer server;
  std::optional<ReceivedHead> head;
  std::string body;
  std::optional<TransferEnd> end;
  std::string detail;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_RAW_EXCHANGE_TEST_H_
