// Heads of responses that a server in trouble may write, for tests.

#ifndef GENTIANLB_HTTP_BAD_HEADS_TEST_H_
#define GENTIANLB_HTTP_BAD_HEADS_TEST_H_

#include <string>
#include <string_view>
#include <vector>

namespace gentianlb::http {

// A head that is bad, whatever sound lines stand behind these.
struct BadHead {
  std::string name;
  std::string first_lines;  // Its status line, and the bad line if any.
};

namespace bad_heads_internal {

inline constexpr std::string_view kOk = "HTTP/1.1 200 OK\r\n";

inline BadHead WithLine(const std::string& name, const std::string& line) {
  return {name, std::string(kOk) + "Date: x\r\n" + line + "\r\n"};
}

}  // namespace bad_heads_internal

// A byte that no header name may hold, or a name that is none.
inline std::vector<BadHead> HeadsWithBadNames() {
  using bad_heads_internal::WithLine;
  using std::string_literals::operator""s;
  std::vector<BadHead> heads = {
      WithLine("blank in a name", "X Y: v"),
      WithLine("tab in a name", "X\tY: v"),
      WithLine("blank before a colon", "X-Y : v"),
      WithLine("empty name", ": v"),
      WithLine("length with a blank inside", "Content- Length: 5"),
      WithLine("length with two words", "Content Length: 5"),
      WithLine("length with 01 before", "\x01"s + "Content-Length: 5"),
      WithLine("length with 01 behind", "Content-Length\x01: 5"),
      WithLine("coding with a blank inside", "Transfer- Encoding: chunked"),
      WithLine("coding with 01 behind", "Transfer-Encoding\x01: chunked"),
      WithLine("mark with a blank inside", "Not- Executed: 1"),
      WithLine("bracket in a name", "X(Y): v"),
      WithLine("slash in a name", "X/Y: v"),
      WithLine("quote in a name", "\"X\": v"),
      WithLine("letter above 7f in a name", "X\xc3\xa4: v")};
  for (const char byte : "\x01\x08\x0b\x0c\x0e\x1b\x1f\x7f\x80\xa0\xff"s) {
    heads.push_back(WithLine("byte in a name", "X"s + byte + "Y: v"));
  }
  return heads;
}

// All others: values, folded lines, line ends and status lines.
inline std::vector<BadHead> OtherBadHeads() {
  using bad_heads_internal::kOk;
  using bad_heads_internal::WithLine;
  using std::string_literals::operator""s;
  std::vector<BadHead> heads = {
      {"folded first line", std::string(kOk) + " X-A: v\r\n"},
      {"folded first line by a tab", std::string(kOk) + "\tX-A: v\r\n"},
      WithLine("folded line", "X-A: v\r\n w"),
      WithLine("folded line by a tab", "X-A: v\r\n\tw"),
      WithLine("folded blank line", "X-A: v\r\n "),
      WithLine("line without a colon", "X-A"),
      WithLine("status line in the head", "HTTP/1.1 500 Error: x"),
      WithLine("return in a name", "X\rY: v"),
      WithLine("00 in a name", "X\0Y: v"s),
      WithLine("return before a line", "\rX: v"),
      WithLine("return in a value", "X: v\rw"),
      WithLine("two returns", "X: v\r"),
      WithLine("vertical tab behind a value", "X: v\x0b"),
      WithLine("line feed in a value", "X: v\nw: x"),
      WithLine("stray empty line", "X: v\r\n\nw: x"),
      {"lower case", "http/1.1 200 OK\r\n"},
      {"two blanks", "HTTP/1.1  200 OK\r\n"},
      {"tab", "HTTP/1.1\t200 OK\r\n"},
      {"no blank", "HTTP/1.1 200OK\r\n"},
      {"01 in a reason", "HTTP/1.1 200 O\x01K\r\n"},
      {"return in a reason", "HTTP/1.1 200 O\rK\r\n"},
      {"another protocol", "ICY 200 OK\r\n"},
      {"blank before it", " HTTP/1.1 200 OK\r\n"},
      {"line before it", "\r\nHTTP/1.1 200 OK\r\n"},
      {"HTTP/2", "HTTP/2 200 OK\r\n"},
      {"HTTP/2.0", "HTTP/2.0 200 OK\r\n"},
      {"version 3.7", "HTTP/3.7 200 OK\r\n"},
      {"long version", "HTTP/1.11 200 OK\r\n"},
      {"no version", "HTTP 200 OK\r\n"},
      {"interim head with a bad name",
       "HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\nHTTP/1.1 200 OK\r\n"},
      {"interim head with a folded line",
       "HTTP/1.1 103 Early Hints\r\n X: v\r\n\r\nHTTP/1.1 200 OK\r\n"},
      {"folded line behind an interim head",
       "HTTP/1.1 103 Early Hints\r\nX: v\r\n\r\nHTTP/1.1 200 OK\r\n Y: v\r\n"}};
  for (const char byte : "\x01\x08\x0b\x0c\x0e\x1b\x1f\x7f"s) {
    heads.push_back(WithLine("byte in a value", "X: v"s + byte + "w"));
  }
  return heads;
}

// Statuses that no response has, and one that no request asks for.
inline std::vector<BadHead> HeadsWithBadStatuses() {
  std::vector<BadHead> heads;
  for (const std::string_view status :
       {"000", "001", "099", "600", "999", "20", "2", "2000", "2x0", "-20",
        "+20", "0x1", "", "101"}) {
    heads.push_back({"status", "HTTP/1.1 " + std::string(status) + " OK\r\n"});
  }
  heads.push_back({"status 000 alone", "HTTP/1.1 000\r\n"});
  heads.push_back(
      {"status 000 and another head",
       "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"});
  return heads;
}

inline std::vector<BadHead> AllBadHeads() {
  std::vector<BadHead> all = HeadsWithBadNames();
  for (const auto& more : {OtherBadHeads(), HeadsWithBadStatuses()}) {
    all.insert(all.end(), more.begin(), more.end());
  }
  return all;
}

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_BAD_HEADS_TEST_H_
