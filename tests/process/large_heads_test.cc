// Requests and answers with large heads, inside the limits, through a gateway
// and sound servers as processes.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

// What the configuration lets a caller send, and the lines that a gateway takes
// (docs/GATEWAY_SETTINGS.md).
constexpr std::size_t kMaxHeadBytes = 16'384;
constexpr std::size_t kMaxHeadLines = 512;
// What the host reads of an answer's head, less what its own lines take.
constexpr std::size_t kMaxAnswerHeadBytes = 60'000;
constexpr std::size_t kMaxAnswerHeadLines = 480;

enum class Kind { kOnce, kRead, kStream, kUploadInChunks, kLargeBody };

struct Form {
  Kind kind = Kind::kOnce;
  std::size_t head_bytes = 200;  // With the request line.
  std::size_t head_lines = 10;
  std::size_t answer_bytes = 0;  // Of the further header lines.
  std::size_t answer_lines = 1;
  bool pipelined = false;  // The next request comes behind it.
};

std::string ToText(const Form& form) {
  return absl::StrFormat(
      "kind %d, head %d bytes %d lines, answer %d bytes %d "
      "lines, pipelined %d",
      static_cast<int>(form.kind), form.head_bytes, form.head_lines,
      form.answer_bytes, form.answer_lines, form.pipelined);
}

// Returns a request whose head has the form's bytes and lines, as far as the
// lines that each request has leave room.
std::string RequestText(const Form& form, const std::string& id) {
  constexpr std::size_t kLargeBodyBytes = 300'000;
  constexpr std::size_t kBodyBytes = 200;
  const bool stream = form.kind == Kind::kStream;
  const bool chunked = form.kind == Kind::kUploadInChunks;
  const std::string body(
      form.kind == Kind::kLargeBody ? kLargeBodyBytes : kBodyBytes, 'q');
  std::string head = absl::StrCat(
      "POST ",
      stream                     ? "/talk/1"
      : form.kind == Kind::kRead ? "/read/1"
                                 : "/once/1",
      " HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ", id, "\r\n",
      "Answer-Head: ", form.answer_bytes, ",", form.answer_lines, "\r\n",
      chunked ? "Transfer-Encoding: chunked"
              : absl::StrCat("Content-Length: ", body.size()),
      "\r\n");
  if (stream) head += "Model: m\r\nToken-Count: 100,10\r\n";
  const auto lines_so_far =
      static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n') - 1);
  const std::size_t more =
      std::max(form.head_lines, lines_so_far + 1) - lines_so_far;
  const std::size_t before = head.size();
  const std::size_t room = std::max(form.head_bytes, before + 2) - before - 2;
  for (std::size_t i = 0; i < more; ++i) {
    std::string line = absl::StrCat("x", i, ": ");
    const std::size_t end = room * (i + 1) / more;
    const std::size_t so_far = head.size() - before;
    if (so_far + line.size() + 2 < end) {
      line.append(end - so_far - line.size() - 2, 'v');
    }
    absl::StrAppend(&head, line, "\r\n");
  }
  absl::StrAppend(&head, "\r\n");
  if (!chunked) return head + body;
  return absl::StrCat(head, absl::Hex(body.size()), "\r\n", body,
                      "\r\n0\r\n\r\n");
}

// Returns the bytes of a request's head, with its request line.
std::size_t HeadBytes(const std::string& request) {
  return request.find("\r\n\r\n") + 4;
}

class HeadsSite : public AnswersSite {
 public:
  HeadsSite() : AnswersSite({{.service = "plain"}, {.service = "llm"}}, 1) {
    StartHosts();
  }

  // Sends a request of that form on a connection that has carried one, and
  // returns its answer, which `follows` behind.
  RawAnswer Ask(const Form& form, const std::string& id) {
    CallerConnection connection(hosts_[0]->callers());
    const RawAnswer first =
        connection.Ask(RequestText({}, id + "-first"), kAnswerTime);
    BOOST_TEST(first.status == 200);
    std::string text = RequestText(form, id);
    if (form.pipelined) text += RequestText({}, id + "-next");
    RawAnswer answer = connection.Ask(text, kAnswerTime);
    if (form.pipelined && answer.end == AnswerEnd::kFramed) {
      const RawAnswer next = connection.Ask("", kAnswerTime);
      BOOST_TEST(next.status == 200);
    }
    return answer;
  }

  bool HasRun(const std::string& id) const {
    return HasReported(absl::StrCat("run ", id, " "));
  }

  // Checks that a sound request gets the whole answer of its server.
  void CheckServed(const Form& form, const std::string& id) {
    BOOST_REQUIRE(HeadBytes(RequestText(form, id)) <= kMaxHeadBytes);
    const RawAnswer answer = Ask(form, id);
    const auto further = std::count_if(
        answer.headers.begin(), answer.headers.end(), [](const auto& header) {
          return header.name.starts_with("X-Further-");
        });
    const bool whole =
        answer.status == 200 && answer.end == AnswerEnd::kFramed &&
        answer.body.find(id) != std::string::npos &&
        (form.answer_bytes == 0 ||
         further == static_cast<std::ptrdiff_t>(form.answer_lines));
    BOOST_TEST(whole, ToText(form) << ": status " << answer.status << ", end "
                                   << static_cast<int>(answer.end) << ", run "
                                   << HasRun(id) << ", lines " << further);
  }
};

Form DrawForm(std::mt19937_64& random) {
  const auto draw = [&random](std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least, most)(random);
  };
  Form form;
  form.kind = static_cast<Kind>(draw(0, 4));
  // Small, anything, or close to the limit.
  const std::size_t of_bytes = draw(0, 2);
  form.head_bytes = of_bytes == 0   ? draw(200, 1'000)
                    : of_bytes == 1 ? draw(200, kMaxHeadBytes)
                                    : draw(kMaxHeadBytes - 200, kMaxHeadBytes);
  form.head_lines = draw(0, 1) == 0 ? draw(10, 200) : draw(10, kMaxHeadLines);
  // A line has a name of its own.
  constexpr std::size_t kLineBytes = 8;
  form.head_lines = std::min(form.head_lines, form.head_bytes / kLineBytes);
  if (draw(0, 2) > 0) {
    form.answer_bytes =
        draw(0, 1) == 0 ? draw(100, 4'000) : draw(100, kMaxAnswerHeadBytes);
    constexpr std::size_t kAnswerLineBytes = 20;
    form.answer_lines =
        draw(1, std::clamp<std::size_t>(form.answer_bytes / kAnswerLineBytes, 1,
                                        kMaxAnswerHeadLines));
  }
  form.pipelined = draw(0, 3) == 0;
  return form;
}

// Guards against a request that a server runs and whose caller gets no answer,
// or that is refused inside the limits, as the heads find no room.
BOOST_AUTO_TEST_CASE(HeadsInsideTheLimitsAreServed) {
  constexpr int kRequests = 400;
  HeadsSite site;
  std::mt19937_64 random(89);
  for (int i = 0; i < kRequests; ++i) {
    site.CheckServed(DrawForm(random), absl::StrCat("form-", i));
  }
}

// The same at the edges of the limits.
BOOST_AUTO_TEST_CASE(HeadsAtTheLimitsAreServed) {
  HeadsSite site;
  int number = 0;
  for (const Kind kind : {Kind::kOnce, Kind::kRead, Kind::kStream,
                          Kind::kUploadInChunks, Kind::kLargeBody}) {
    for (const std::size_t lines : {12UL, 60UL, 100UL, 300UL, kMaxHeadLines}) {
      for (const std::size_t answer : {0UL, 2'000UL, kMaxAnswerHeadBytes}) {
        site.CheckServed({.kind = kind,
                          .head_bytes = kMaxHeadBytes,
                          .head_lines = lines,
                          .answer_bytes = answer,
                          .answer_lines = answer == 0 ? 1 : answer / 130 + 1},
                         absl::StrCat("edge-", ++number));
      }
    }
  }
}

// Guards against a request beyond the limits that runs, or gets no refusal.
BOOST_AUTO_TEST_CASE(HeadsBeyondTheLimitsAreRefused) {
  HeadsSite site;
  int number = 0;
  for (const auto& [bytes, lines] :
       {std::pair(17'000UL, 12UL), std::pair(17'000UL, 100UL),
        std::pair(60'000UL, 400UL), std::pair(300'000UL, 100UL),
        std::pair(8'000UL, kMaxHeadLines + 1)}) {
    const std::string id = absl::StrCat("beyond-", ++number);
    const RawAnswer answer =
        site.Ask({.head_bytes = bytes, .head_lines = lines}, id);
    BOOST_TEST(answer.status == 431, bytes << " bytes, " << lines << " lines");
    BOOST_TEST((answer.end == AnswerEnd::kFramed));
    BOOST_TEST(!site.HasRun(id));
  }
}

}  // namespace
}  // namespace gentianlb::process
