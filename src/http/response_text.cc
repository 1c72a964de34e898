#include "http/response_text.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>

#include "absl/strings/str_cat.h"

namespace gentianlb::http {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

constexpr std::string_view kConnection = "Connection";

// The server writes these itself.
bool IsOfFraming(std::string_view name) {
  return SameName(name, kConnection) || SameName(name, "Content-Length") ||
         SameName(name, "Transfer-Encoding");
}

std::string_view ReasonOf(int status) {
  const auto known =
      boost::beast::http::int_to_status(static_cast<unsigned>(status));
  if (known == boost::beast::http::status::unknown) return {};
  const auto reason = boost::beast::http::obsolete_reason(known);
  return {reason.data(), reason.size()};
}

void AppendLine(std::string_view name, std::string_view value,
                std::string* text) {
  text->append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

bool HasNoBody(int status) {
  return status < kFirstFinalStatus || status == kNoContent ||
         status == kNotModified;
}

bool AsksToClose(const std::vector<Header>& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const Header& header) {
    return SameName(header.name, kConnection) &&
           SameName(header.value, "close");
  });
}

std::string ResponseHeadText(const ResponseHeadFields& fields,
                             std::string_view date) {
  std::string text = absl::StrCat("HTTP/1.1 ", fields.status, " ");
  text.append(ReasonOf(fields.status)).append("\r\n");
  bool has_date = false;
  for (const Header& header : *fields.headers) {
    if (IsOfFraming(header.name)) continue;
    has_date = has_date || SameName(header.name, "Date");
    AppendLine(header.name, header.value, &text);
  }
  if (!has_date) AppendLine("Date", date, &text);
  if (fields.closes) {
    AppendLine(kConnection, "close", &text);
  } else if (fields.states_keep_alive) {
    AppendLine(kConnection, "Keep-Alive", &text);
  }
  if (fields.framing == BodyFraming::kLength) {
    AppendLine("Content-Length", std::to_string(fields.length), &text);
  } else if (fields.framing == BodyFraming::kChunks) {
    AppendLine("Transfer-Encoding", "chunked", &text);
  }
  return text.append("\r\n");
}

std::string FormatDate(absl::Time time) {
  return absl::FormatTime("%a, %d %b %Y %H:%M:%S GMT", time,
                          absl::UTCTimeZone());
}

void AppendChunk(std::string_view bytes, std::string* text) {
  if (bytes.empty()) return;  // An empty chunk is the last one.
  absl::StrAppend(text, absl::Hex(bytes.size()));
  text->append("\r\n").append(bytes).append("\r\n");
}

void AppendLastChunk(std::string* text) { text->append("0\r\n\r\n"); }

}  // namespace gentianlb::http
