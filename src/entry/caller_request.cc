#include "entry/caller_request.h"

#include <json/json.h>
#include <xxhash.h>

#include <algorithm>
#include <memory>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace gentianlb::entry {
namespace {

constexpr std::string_view kModelPath = "/v1/chat/completions";

// A key is a name, not a document; longer ones are a caller's mistake.
constexpr std::size_t kMaxKeyBytes = 255;

// No caller waits longer than this; it also keeps time arithmetic in range.
constexpr absl::Duration kMaxDeadline = absl::Hours(48);

// The largest `max_tokens` that is taken for meant.
constexpr int kMaxOutputTokens = 1'000'000;

absl::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

Result<const config::WorkspaceConfig*> FindWorkspace(
    const http::Request& request, const ConfigIndex& config) {
  constexpr std::string_view kScheme = "Bearer ";
  std::string_view value = request.header("Authorization");
  if (!value.starts_with(kScheme)) {
    return Fail(Code::kBadToken, "no bearer token");
  }
  const auto* workspace = config.WorkspaceByToken(value.substr(kScheme.size()));
  if (workspace == nullptr) return Fail(Code::kBadToken, "unknown token");
  return workspace;
}

Result<absl::Duration> ReadDeadline(const http::Request& request,
                                    absl::Duration preset) {
  std::string_view text = request.header("Gentian-Deadline");
  if (text.empty()) return preset;
  absl::Duration deadline;
  if (!absl::ParseDuration(View(text), &deadline)) {
    return Fail(Code::kBadDeadline, "not a duration such as 30s");
  }
  if (deadline <= absl::ZeroDuration() || deadline > kMaxDeadline) {
    return Fail(Code::kBadDeadline, "not within 0s and 48h");
  }
  return deadline;
}

Result<IdempotencyKey> ReadKey(const http::Request& request) {
  std::string_view text = request.header("Idempotency-Key");
  if (text.size() > kMaxKeyBytes) {
    return Fail(Code::kBadKey, "longer than 255 bytes");
  }
  bool printable = std::all_of(text.begin(), text.end(),
                               [](char c) { return c > ' ' && c < '\x7f'; });
  if (!printable) return Fail(Code::kBadKey, "has other than visible ASCII");
  return IdempotencyKey(std::string(text));
}

Result<int> ReadAttempt(const http::Request& request) {
  std::string_view text = request.header("Gentian-Attempt");
  if (text.empty()) return 0;
  int attempt = 0;
  if (!absl::SimpleAtoi(View(text), &attempt) || attempt < 1) {
    return Fail(Code::kBadParameter, "Gentian-Attempt is not a count from 1");
  }
  return attempt;
}

// What both kinds of calls have in common.
Result<CallerRequest> ReadCommon(const http::Request& request,
                                 const config::WorkspaceConfig& workspace,
                                 const ConfigIndex& config) {
  const config::TierConfig* tier = config.TierByName(workspace.tier);
  if (tier == nullptr) {
    return Fail(Code::kInternal, "the workspace's tier isn't configured");
  }
  CallerRequest call;
  call.workspace = workspace.limits.id;
  call.tier = tier->tier;
  call.keys_carry_time = workspace.keys_carry_time;
  BOOST_LEAF_ASSIGN(call.deadline, ReadDeadline(request, tier->deadline));
  BOOST_LEAF_ASSIGN(call.key, ReadKey(request));
  BOOST_LEAF_ASSIGN(call.attempt, ReadAttempt(request));
  call.method = request.method;
  call.body = request.body;
  return call;
}

// The text that the engine computes on: the contents of all messages. Returns
// an error text instead when a message is not of the right form.
Result<std::string> PromptText(const Json::Value& body) {
  const Json::Value& messages = body["messages"];
  if (!messages.isArray() || messages.empty()) {
    return Fail(Code::kBadParameter, "messages is not a list with an element");
  }
  std::string text;
  for (const Json::Value& message : messages) {
    if (!message.isObject() || !message["content"].isString()) {
      return Fail(Code::kBadParameter, "a message has no content text");
    }
    text += message["content"].asString();
  }
  return text;
}

Result<Json::Value> ParseObject(const std::string& text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  bool parsed = false;
  try {
    parsed =
        reader->parse(text.data(), text.data() + text.size(), &value, &errors);
  } catch (const Json::Exception& error) {
    errors = error.what();  // Nested too deeply.
  }
  if (!parsed) return Fail(Code::kMalformedRequest, errors);
  if (!value.isObject()) {
    return Fail(Code::kMalformedRequest, "the body is not a JSON object");
  }
  return value;
}

Result<int> ReadMaxTokens(const Json::Value& body) {
  const Json::Value& value = body["max_tokens"];
  if (value.isNull()) return 0;
  if (!value.isInt() || value.asInt() < 1 || value.asInt() > kMaxOutputTokens) {
    return Fail(Code::kBadParameter, "max_tokens is not within 1 and 1000000");
  }
  return value.asInt();
}

// The body as the engine gets it: always streamed, so that the first token,
// the pace and a cut are seen, whatever form the caller wants.
std::string StreamedBody(Json::Value body) {
  body["stream"] = true;
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, body);
}

Result<CallerRequest> ReadModelCall(const http::Request& request,
                                    const config::WorkspaceConfig& workspace,
                                    const ConfigIndex& config) {
  if (request.method != "POST") {
    return Fail(Code::kBadMethod, "POST is the only method here");
  }
  BOOST_LEAF_AUTO(call, ReadCommon(request, workspace, config));
  BOOST_LEAF_AUTO(body, ParseObject(request.body));
  if (!body["model"].isString()) {
    return Fail(Code::kBadParameter, "model is not a text");
  }
  call.model = ModelId(body["model"].asString());
  const config::ModelConfig* model = config.Model(call.model);
  const auto& allowed = workspace.models;
  if (model == nullptr ||
      std::find(allowed.begin(), allowed.end(), call.model) == allowed.end()) {
    return Fail(Code::kUnknownModel, call.model.str());
  }
  if (!body["stream"].isNull() && !body["stream"].isBool()) {
    return Fail(Code::kBadParameter, "stream is neither true nor false");
  }
  BOOST_LEAF_ASSIGN(call.max_output_tokens, ReadMaxTokens(body));
  BOOST_LEAF_AUTO(prompt, PromptText(body));
  call.kind = config::ServiceKind::kModel;
  call.service = model->service;
  call.stream = body["stream"].asBool();
  call.prompt_tokens =
      static_cast<int>((prompt.size() + kBytesPerToken - 1) / kBytesPerToken);
  call.prefix = HashPrefix(prompt);
  call.path = std::string(kModelPath);
  call.body = StreamedBody(std::move(body));
  return call;
}

// Whether the operators listed this call as one that must not be repeated.
bool IsNonIdempotent(const config::ServiceConfig& service,
                     std::string_view method, std::string_view path) {
  return std::any_of(service.non_idempotent.begin(),
                     service.non_idempotent.end(), [&](std::string_view rule) {
                       std::size_t space = rule.find(' ');
                       if (rule.substr(0, space) != method) return false;
                       std::string_view wanted = rule.substr(space + 1);
                       return wanted.ends_with('/') ? path.starts_with(wanted)
                                                    : path == wanted;
                     });
}

// A server that cleans up such a path would see another one than the rules
// above were asked about, and a call that must not be repeated could pass for
// one that may.
bool IsNormalPath(std::string_view path) {
  return !absl::StrContains(View(path), "//") &&
         !absl::StrContains(View(path), "/./") &&
         !absl::StrContains(View(path), "/../") && !path.ends_with("/..") &&
         !path.ends_with("/.") && !absl::StrContains(View(path), "\\");
}

Result<CallerRequest> ReadPlainCall(const http::Request& request,
                                    const config::ServiceConfig& service,
                                    const config::WorkspaceConfig& workspace,
                                    const ConfigIndex& config) {
  BOOST_LEAF_AUTO(call, ReadCommon(request, workspace, config));
  call.kind = config::ServiceKind::kPlain;
  call.service = service.id;
  call.path = request.path.substr(service.path_prefix.size() - 1);
  if (!IsNormalPath(call.path)) {
    return Fail(Code::kBadParameter, "the path has empty or dot segments");
  }
  call.idempotent = !IsNonIdempotent(service, request.method, call.path);
  if (!call.idempotent && call.key.empty()) {
    return Fail(Code::kKeyRequired, "send an Idempotency-Key");
  }
  call.path = http::EncodePath(call.path);
  if (!request.query.empty()) call.path += "?" + request.query;
  std::string_view type = request.header("Content-Type");
  if (!type.empty()) {
    call.headers.push_back({"Content-Type", std::string(type)});
  }
  return call;
}

}  // namespace

std::vector<schedule::PrefixHash> HashPrefix(std::string_view text) {
  constexpr std::size_t kBlockBytes =
      std::size_t{schedule::kPrefixBlockTokens} * kBytesPerToken;
  std::vector<schedule::PrefixHash> chain;
  schedule::PrefixHash previous = 0;
  for (std::size_t at = 0; at + kBlockBytes <= text.size(); at += kBlockBytes) {
    previous = XXH3_64bits_withSeed(text.data() + at, kBlockBytes, previous);
    chain.push_back(previous);
  }
  return chain;
}

Result<CallerRequest> ReadCallerRequest(const http::Request& request,
                                        const ConfigIndex& config) {
  const config::ServiceConfig* plain = config.ServiceByPath(request.path);
  bool is_model = request.path == kModelPath;
  if (!is_model && plain == nullptr) {
    return Fail(Code::kUnknownPath, request.path);
  }
  BOOST_LEAF_AUTO(workspace, FindWorkspace(request, config));
  Result<CallerRequest> call =
      is_model ? ReadModelCall(request, *workspace, config)
               : ReadPlainCall(request, *plain, *workspace, config);
  if (!call) return call;
  const auto& allowed = workspace->services;
  if (std::find(allowed.begin(), allowed.end(), call->service) ==
      allowed.end()) {
    return Fail(Code::kNotPermitted, call->service.str());
  }
  return call;
}

}  // namespace gentianlb::entry
