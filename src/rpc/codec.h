// JSON-RPC 2.0 messages by libjsonrpccpp, without its transports: the messages
// travel over the HTTP packages, so that no thread waits for a peer. This
// header is clean in C++14 and C++20; codec.cc is compiled as C++14, because
// the library's headers do not compile as C++17.

#ifndef GENTIANLB_RPC_CODEC_H_
#define GENTIANLB_RPC_CODEC_H_

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gentianlb {
namespace rpc {

// The message of a call of `method` that wants an answer.
std::string EncodeCall(const std::string& method, const Json::Value& params);

// The message of a call without an answer.
std::string EncodeNotification(const std::string& method,
                               const Json::Value& params);

// An error that the other side answered, or a malformed answer (code 7002).
struct RpcError {
  int code;  // Zero: no error.
  std::string message;
};

// Reads the answer to a call made by EncodeCall().
RpcError DecodeResponse(const std::string& answer, Json::Value* result);

// Finds the method for each message and answers it. Not thread-safe: set up
// first, then Handle() may be called from any number of threads as long as the
// methods themselves allow it.
class MethodTable {
 public:
  // Sets *result; a returned error with a code other than zero is answered in
  // its place.
  using Method =
      std::function<RpcError(const Json::Value& params, Json::Value* result)>;
  using Notification = std::function<void(const Json::Value& params)>;

  MethodTable();
  ~MethodTable();
  MethodTable(const MethodTable&) = delete;
  MethodTable& operator=(const MethodTable&) = delete;

  // Params are always a JSON object.
  void AddMethod(const std::string& name, Method method);
  void AddNotification(const std::string& name, Notification notification);

  // Answers one message; the answer is empty for a notification.
  std::string Handle(const std::string& message);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A MethodTable whose methods answer later. Not thread-safe: owned by one
// thread, on which the methods must also answer.
class AsyncMethodTable {
 public:
  using Done = std::function<void(RpcError error, Json::Value result)>;
  using Method = std::function<void(const Json::Value& params, Done done)>;

  // Params are always a JSON object.
  void AddMethod(const std::string& name, Method method);

  // Calls `answer` once, with the message to send back.
  void Handle(const std::string& message,
              std::function<void(std::string answer)> answer);

 private:
  // What the library's handler meets in a pass over a message: the first pass
  // only takes the parameters out, the second one gives the result in.
  struct Pass {
    bool reached = false;
    std::string method;
    Json::Value params;
    const RpcError* error = nullptr;
    const Json::Value* result = nullptr;
  };

  MethodTable table_;
  std::map<std::string, Method> methods_;
  Pass pass_;
};

}  // namespace rpc
}  // namespace gentianlb

#endif  // GENTIANLB_RPC_CODEC_H_
