#include "http/messages.h"

#include <json/json.h>

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

namespace gentianlb::http {
namespace {

// Percent-encodes all characters but letters, digits and `unescaped`.
std::string Encode(std::string_view text, std::string_view unescaped) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char c : text) {
    if (absl::ascii_isalnum(c) || unescaped.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    auto byte = static_cast<unsigned char>(c);
    encoded += {'%', kDigits[byte >> 4], kDigits[byte & 15]};
  }
  return encoded;
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name) {
  for (const Header& header : headers) {
    if (SameName(header.name, name)) return header.value;
  }
  return {};
}

std::size_t AllocatedHeaderBytes(const std::vector<Header>& headers) {
  std::size_t bytes = headers.capacity() * sizeof(Header);
  for (const Header& header : headers) {
    bytes += AllocatedBytes(header.name) + AllocatedBytes(header.value);
  }
  return bytes;
}

std::string_view Request::argument(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return equals == std::string_view::npos ? std::string_view()
                                            : pair.substr(equals + 1);
  }
  return {};
}

std::string EncodePath(std::string_view path) {
  return Encode(path, "-._~!$&'()*+,;=:@/");
}

std::string EncodeArgument(std::string_view value) {
  return Encode(value, "-._~");
}

std::string ProblemBody(const Error& error) {
  const CodeInfo& info = Describe(error.code);
  Json::Value body;
  body["type"] = "about:blank";
  body["code"] = static_cast<int>(error.code);
  body["title"] = std::string(info.meaning);
  body["status"] = info.http_status;
  body["detail"] = error.detail;
  body["run"] = info.run == RunState::kNo ? "no" : "unknown";
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, body);
}

void RespondProblem(Responder& responder, const Error& error,
                    absl::Duration retry_after) {
  std::vector<Header> headers = {{"Content-Type", "application/problem+json"}};
  if (retry_after > absl::ZeroDuration()) {
    auto seconds =
        absl::ToInt64Seconds(absl::Ceil(retry_after, absl::Seconds(1)));
    headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  responder.Respond(Describe(error.code).http_status, std::move(headers),
                    ProblemBody(error));
}

}  // namespace gentianlb::http
