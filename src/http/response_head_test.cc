#include "http/response_head.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "http/bad_heads_test.h"

namespace gentianlb::http {
namespace {

// Returns what is left of reading `bytes`, a line at a time, up to the end of
// the head.
ResponseHead Read(std::string_view bytes) {
  ResponseHead head;
  while (!head.complete() && !head.problem() && !bytes.empty()) {
    const std::size_t size = std::min(bytes.find('\n'), bytes.size() - 1) + 1;
    head.Read(bytes.substr(0, size));
    bytes.remove_prefix(size);
  }
  return head;
}

ResponseHead ReadLine(const std::string& line) {
  return Read("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n");
}

// Guards against bad heads that are taken for answers.
BOOST_AUTO_TEST_CASE(BadHeadsAreRefused) {
  for (const auto& kinds :
       {HeadsWithBadNames(), OtherBadHeads(), HeadsWithBadStatuses()}) {
    for (const BadHead& bad : kinds) {
      const ResponseHead head =
          Read(bad.first_lines + "Content-Length: 4\r\n\r\n");
      BOOST_TEST(!head.complete(), bad.name << ": " << bad.first_lines);
      BOOST_TEST(head.problem().has_value(), bad.name);
    }
  }
}

// Guards against a grammar that is stricter than the standard.
BOOST_AUTO_TEST_CASE(UnusualHeadsAreRead) {
  for (const std::string line :
       {"!#$%&'*+-.^_`|~09azAZ: v", "X:", "X: \t ", "X:v", "X: a\tb  c",
        "X: \x80\xa0\xc3\xa4\xff", "X: (\"/\\,;<=>?@[]{}:)", "1: v"}) {
    const ResponseHead head = ReadLine(line);
    BOOST_TEST(head.complete(), line);
  }
  for (const std::string status_line :
       {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 299 \xe9t\xe9\tx",
        "HTTP/1.1 404 :", "HTTP/1.1 599  two blanks"}) {
    ResponseHead head = Read(status_line + "\r\nX: v\r\n\r\n");
    BOOST_TEST(head.complete(), status_line);
    BOOST_TEST(head.status() == std::stoi(status_line.substr(9, 3)));
    BOOST_TEST((head.TakeHeaders() == std::vector<Header>{{"X", "v"}}));
  }
  BOOST_TEST(Read("HTTP/1.1 200 OK\nX: v\n\n").complete());
}

BOOST_AUTO_TEST_CASE(AnInterimHeadIsLeftOut) {
  ResponseHead head = Read(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
      "HTTP/1.1 404 None\r\nX: v\r\n\r\n");
  BOOST_TEST(head.complete());
  BOOST_TEST(head.status() == 404);
  BOOST_TEST((head.TakeHeaders() == std::vector<Header>{{"X", "v"}}));
}

// Guards against a trailer that one reader takes for more of the head.
BOOST_AUTO_TEST_CASE(BadTrailersAreRefused) {
  for (const BadHead& bad : HeadsWithBadNames()) {
    ResponseHead head = ReadLine("Transfer-Encoding: chunked");
    BOOST_REQUIRE(head.complete());
    BOOST_TEST((head.Read("X-Sum: 1\r\n") == ResponseHead::Progress::kGoesOn));
    const std::string line =
        bad.first_lines.substr(bad.first_lines.find("Date: x\r\n") + 9);
    BOOST_TEST((head.Read(line) == ResponseHead::Progress::kInvalid), line);
    BOOST_TEST(head.complete());
  }
}

// Guards against a log line that doesn't say what the server wrote, and where.
BOOST_AUTO_TEST_CASE(AProblemNamesTheByteAndItsPlace) {
  const auto text = [](const std::string& line) {
    return ToText(*ReadLine("X: v\r\n" + line).problem());
  };
  BOOST_TEST(text("A B: v") ==
             "a header name is empty or holds a byte that none may: byte 0x20 "
             "at 1 of line 3");
  BOOST_TEST(text("A: b\x01") ==
             "a header value holds a control byte: byte 0x01 at 4 of line 3");
  BOOST_TEST(text("AB") == "a line has no colon: the end at 2 of line 3");
  BOOST_TEST(text("Content-Length: x") == "the length is not a number");
  BOOST_TEST(ToText(*Read("HTTP/1.1 099 OK\r\n").problem()) ==
             "the status is none that a response may have: byte 0x30 at 9 of "
             "line 1");
}

constexpr std::string_view kSound =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 14\r\nX-Empty:\r\n"
    "Server-Load: 1,0,8\r\n\r\n";

bool IsVisibleAscii(unsigned char byte) { return byte > 0x20 && byte < 0x7f; }

// Checks a head with one byte more, or another one, than a sound one.
void CheckMutated(const std::string& bytes, unsigned char byte) {
  ResponseHead head = Read(bytes);
  if (!head.complete()) return;
  const std::vector<Header> sound = Read(kSound).TakeHeaders();
  const std::vector<Header> got = head.TakeHeaders();
  BOOST_REQUIRE(got.size() == sound.size());
  for (std::size_t i = 0; i < got.size(); ++i) {
    BOOST_TEST(IsHeaderName(got[i].name), bytes);
    // No other byte makes another sound name.
    if (!IsVisibleAscii(byte)) BOOST_TEST(got[i].name == sound[i].name, bytes);
  }
  const bool is_text = byte == '\t' || (byte >= 0x20 && byte != 0x7f);
  BOOST_TEST(is_text, bytes);
}

// Guards against any byte that turns a sound head into another answer.
BOOST_AUTO_TEST_CASE(AByteMoreLeavesTheAnswerOrNone) {
  // A line feed before the last one leaves the head, and begins the body.
  for (std::size_t at = 0; at + 1 < kSound.size(); ++at) {
    for (int byte = 0; byte < 256; ++byte) {
      CheckMutated(std::string(kSound).insert(at, 1, static_cast<char>(byte)),
                   static_cast<unsigned char>(byte));
    }
  }
}

BOOST_AUTO_TEST_CASE(AnotherByteLeavesTheAnswerOrNone) {
  // With a line feed there, the status line and the next line are a whole head
  // whose lines end with line feeds alone.
  const std::size_t first_return = kSound.find('\r');
  for (std::size_t at = 0; at < kSound.size(); ++at) {
    for (int byte = 0; byte < 256; ++byte) {
      const char c = static_cast<char>(byte);
      if (kSound[at] == c || (at == first_return && c == '\n')) continue;
      std::string bytes(kSound);
      bytes[at] = c;
      CheckMutated(bytes, static_cast<unsigned char>(byte));
    }
  }
}

// Guards against a byte that is lost, so that two lines become one.
BOOST_AUTO_TEST_CASE(AByteLessJoinsNoLines) {
  const std::size_t lines = Read(kSound).TakeHeaders().size();
  for (std::size_t at = 0; at < kSound.size(); ++at) {
    std::string bytes(kSound);
    bytes.erase(at, 1);
    ResponseHead head = Read(bytes);
    if (head.complete()) BOOST_TEST(head.TakeHeaders().size() == lines, bytes);
  }
}

}  // namespace
}  // namespace gentianlb::http
