#include "process/verdicts.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

#include "absl/time/clock.h"
#include "process/process.h"
#include "standins/stream.h"

namespace gentianlb::process {
namespace {

// Whether a caller may hope for another result of the same key later.
bool IsFinal(const Answer& answer) {
  if (answer.IsWhole()) return true;
  if (answer.end != http::TransferEnd::kComplete) return false;
  bool told_to_return =
      !http::FindHeader(answer.headers, "Retry-After").empty();
  bool runs_elsewhere =
      answer.Code() == static_cast<int>(Code::kClaimHeldElsewhere);
  return !told_to_return && !runs_elsewhere;
}

}  // namespace

std::string ExpectedText(const Chat& chat) {
  std::uint64_t seed = standins::SeedOf({.text = chat.prompt});
  std::string text;
  for (int i = 0; i < chat.max_tokens; ++i) {
    text += standins::TokenText(seed, i);
  }
  return text;
}

bool IsTruthful(const Answer& answer, const Chat& chat) {
  std::string expected = ExpectedText(chat);
  if (answer.IsWhole()) return answer.Text() == expected;
  if (answer.status != 200) return true;
  return expected.starts_with(answer.Text());
}

std::vector<http::Header> Sending(const std::string& key, int attempt) {
  return {Key(key), {"Gentian-Attempt", std::to_string(attempt)}};
}

Answer AskUntilFinal(Caller& caller, const std::string& host, const Chat& chat,
                     const std::string& key, int first_attempt) {
  constexpr absl::Duration kPause = absl::Milliseconds(100);
  absl::Time end = absl::Now() + kBound;
  int attempt = first_attempt;
  while (true) {
    Answer answer = caller.Ask(host, chat, Sending(key, attempt)).Wait();
    if (IsFinal(answer)) return answer;
    if (absl::Now() > end) {
      throw std::runtime_error("no final answer to " + key + " but " +
                               answer.body);
    }
    absl::SleepFor(kPause);
    ++attempt;
  }
}

std::string ExchangeRaw(const std::string& address, const std::string& bytes) {
  std::size_t colon = address.find(':');
  sockaddr_in target = {};
  target.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  target.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::string answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0) {
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    char block[4096];
    pollfd ready = {fd, POLLIN, 0};
    int bound = static_cast<int>(absl::ToInt64Milliseconds(kBound));
    while (poll(&ready, 1, bound) > 0) {
      ssize_t count = recv(fd, block, sizeof(block), 0);
      if (count <= 0) break;
      answer.append(block, static_cast<std::size_t>(count));
    }
  }
  close(fd);
  return answer;
}

}  // namespace gentianlb::process
