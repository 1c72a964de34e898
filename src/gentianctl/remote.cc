#include "gentianctl/remote.h"

#include <iostream>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "http/client.h"
#include "rpc/codec.h"
#include "settings/document.h"
#include "settings/units.h"

namespace gentianlb::ctl {
namespace {

// A number that a newer host sends and this program does not know.
Error ToError(const rpc::RpcError& error) {
  for (const CodeInfo& info : AllCodes()) {
    bool same = static_cast<int>(info.code) == error.code;
    if (same) return {info.code, error.message};
  }
  return {Code::kInternal, absl::StrCat(error.code, " ", error.message)};
}

Error Unreachable(const Remote& remote, const http::Reply& reply) {
  if (reply.end == http::TransferEnd::kNotSent) {
    return {Code::kPeerUnreachable,
            absl::StrCat(remote.host, " can't be reached: ", reply.detail)};
  }
  return {Code::kPeerUnreachable,
          absl::StrCat(remote.host,
                       " gave no answer; the call may have taken "
                       "effect, ask again: ",
                       reply.detail)};
}

// A refusal as application/problem+json, such as for a wrong key.
Error ReadProblem(const http::Reply& reply) {
  Json::Value problem;
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  const char* begin = reply.body.data();
  bool read =
      reader->parse(begin, begin + reply.body.size(), &problem, nullptr);
  bool numbered = read && problem.isObject() && problem["code"].isInt();
  if (!numbered) {
    return {Code::kMalformedRpc,
            absl::StrCat("answer with status ", reply.status)};
  }
  return ToError({problem["code"].asInt(), problem["detail"].isString()
                                               ? problem["detail"].asString()
                                               : ""});
}

http::ClientRequest MakeRequest(const Remote& remote, const std::string& key,
                                std::string message) {
  http::ClientRequest request;
  request.method = "POST";
  const char* scheme = remote.ca_file.empty() ? "http" : "https";
  request.url = absl::StrCat(scheme, "://", remote.host, "/rpc");
  request.headers = {{"Authorization", "Bearer " + key},
                     {"Content-Type", "application/json"}};
  request.body = std::move(message);
  request.timeout = absl::Seconds(remote.timeout_seconds);
  // A confirm that a library repeats by itself would hide a lost answer.
  request.send_policy = http::SendPolicy::kFreshConnection;
  request.ca_file = remote.ca_file;
  return request;
}

Outcome<std::string> ReadKey(const Remote& remote) {
  auto text = settings::ReadFile(remote.key_file);
  if (!text.ok()) return text.error();
  return std::string(absl::StripAsciiWhitespace(text.value()));
}

}  // namespace

void AddAccess(CLI::App* command, Remote* remote) {
  command
      ->add_option("--key-file", remote->key_file,
                   "File with the operators' key")
      ->required();
  command->add_option("--ca-file", remote->ca_file,
                      "Use TLS and check the host against this certificate");
  command
      ->add_option("--timeout", remote->timeout_seconds,
                   "Seconds to wait for an answer")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
}

void AddRemote(CLI::App* command, Remote* remote) {
  command
      ->add_option("--host", remote->host,
                   "Control address of any entry host, IP:PORT")
      ->required();
  AddAccess(command, remote);
  AddFormat(command, &remote->format);
}

Outcome<Json::Value> Call(const Remote& remote, const std::string& method,
                          const Json::Value& params) {
  auto endpoint = settings::ParseEndpoint(remote.host);
  if (!endpoint.ok()) return Error{Code::kUsage, endpoint.error().detail};
  auto key = ReadKey(remote);
  if (!key.ok()) return key.error();
  http::Client client;
  http::Reply reply = client.FetchAndWait(
      MakeRequest(remote, key.value(), rpc::EncodeCall(method, params)));
  bool answered = reply.end == http::TransferEnd::kComplete;
  if (!answered) return Unreachable(remote, reply);
  if (reply.status != 200) return ReadProblem(reply);
  Json::Value result;
  rpc::RpcError error = rpc::DecodeResponse(reply.body, &result);
  if (error.code != 0) return ToError(error);
  return result;
}

Exit Show(const std::string& format, const Outcome<Json::Value>& answer) {
  if (!answer.ok()) {
    PrintError(format, answer.error());
    return ExitFor(answer.error());
  }
  const Json::Value& value = answer.value();
  bool has_text = value.isObject() && value["text"].isString();
  if (format == "json" || !has_text) {
    PrintJson(value);
    return Exit::kDone;
  }
  std::string text = value["text"].asString();
  std::cout << text << (text.ends_with('\n') ? "" : "\n") << std::flush;
  return Exit::kDone;
}

Exit ExitFor(const Error& error) {
  constexpr int kFirstSettingsCode = 6000;
  constexpr int kFirstOperatorCode = 7000;
  int code = static_cast<int>(error.code);
  if (error.code == Code::kPeerUnreachable) return Exit::kUnreachable;
  if (error.code == Code::kUsage) return Exit::kInvalid;
  bool file = code > kFirstSettingsCode && code < kFirstOperatorCode;
  return file ? Exit::kInvalid : Exit::kRefused;
}

}  // namespace gentianlb::ctl
