#include "http/response_head.h"

#include "absl/strings/str_cat.h"
#include "http/framing.h"

namespace gentianlb::http {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

// No request here asks for another protocol.
constexpr int kSwitchingProtocolsStatus = 101;

bool IsValidStatus(int status) {
  return status >= kMinStatus && status <= kMaxStatus &&
         status != kSwitchingProtocolsStatus;
}

}  // namespace

std::string ToText(const ResponseProblem& problem) {
  if (problem.line == 0) return std::string(problem.cause);
  std::string text(problem.cause);
  if (problem.byte) {
    absl::StrAppend(&text, ": byte 0x",
                    absl::Hex(*problem.byte, absl::kZeroPad2));
  } else {
    absl::StrAppend(&text, ": the end");
  }
  absl::StrAppend(&text, " at ", problem.at, " of line ", problem.line);
  return text;
}

// A head ends with the first empty line. One of another line end than the lines
// before it is a stray byte: what follows it would be taken for the body.
ResponseHead::Progress ResponseHead::Read(std::string_view line) {
  ++lines_;
  const std::string_view content = WithoutLineEnd(line);
  if (complete_) {
    trailer_bytes_ += line.size();
    return ReadTrailerLine(content);
  }
  head_bytes_ += line.size();
  if (head_bytes_ > kMaxHeadBytes || headers_.size() >= kMaxHeadLines) {
    return Refuse(ResponseFault::kTooLong, "the head is too long");
  }
  const bool ends_by_crlf = line.ends_with("\r\n");
  if (status_ == 0) {
    ends_lines_by_crlf_ = ends_by_crlf;
    return ReadStatusLine(content);
  }
  if (ends_by_crlf != ends_lines_by_crlf_) {
    return Refuse({ResponseFault::kLineEnd, content.size()}, line);
  }
  return content.empty() ? EndHead() : ReadHeaderLine(content);
}

ResponseHead::Progress ResponseHead::ReadStatusLine(std::string_view line) {
  if (const auto problem = CheckStatusLine(line)) return Refuse(*problem, line);
  status_ = ReadStatus(line);
  if (IsValidStatus(status_)) return Progress::kGoesOn;
  return Refuse({ResponseFault::kStatus, kStatusOffset}, line);
}

ResponseHead::Progress ResponseHead::ReadHeaderLine(std::string_view line) {
  if (const auto problem = CheckHeaderLine(line)) return Refuse(*problem, line);
  const std::size_t colon = line.find(':');
  headers_.push_back({std::string(line.substr(0, colon)),
                      std::string(HeaderValue(line.substr(colon + 1)))});
  return Progress::kGoesOn;
}

ResponseHead::Progress ResponseHead::EndHead() {
  const bool is_interim = status_ < kMinFinalStatus;
  const std::string_view framing = is_interim
                                       ? InterimFramingProblem(headers_)
                                       : ResponseFramingProblem(headers_);
  if (!framing.empty()) return Refuse(ResponseFault::kFraming, framing);
  if (!is_interim) {
    complete_ = true;
    return Progress::kComplete;
  }
  headers_.clear();
  status_ = 0;
  return Progress::kGoesOn;
}

ResponseHead::Progress ResponseHead::ReadTrailerLine(std::string_view line) {
  if (trailer_bytes_ > kMaxTrailerBytes) {
    return Refuse(ResponseFault::kTooLong, "the trailer is too long");
  }
  if (line.empty()) return Progress::kGoesOn;
  if (const auto problem = CheckHeaderLine(line)) return Refuse(*problem, line);
  return Progress::kGoesOn;
}

ResponseHead::Progress ResponseHead::Refuse(ResponseFault fault,
                                            std::string_view cause) {
  problem_ = ResponseProblem{fault, cause};
  return Progress::kInvalid;
}

ResponseHead::Progress ResponseHead::Refuse(LineProblem problem,
                                            std::string_view line) {
  problem_ = ResponseProblem{problem.fault, Describe(problem.fault), lines_,
                             problem.at};
  if (problem.at < line.size()) {
    problem_->byte = static_cast<unsigned char>(line[problem.at]);
  }
  return Progress::kInvalid;
}

}  // namespace gentianlb::http
