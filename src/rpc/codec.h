// Encodes and decodes JSON-RPC 2.0 messages with libjsonrpccpp, without its
// transports: the HTTP packages send the messages, so that no thread waits for
// a peer. This header compiles as C++14 and C++20; codec.cc is compiled as
// C++14, because the library's headers do not compile as C++17.

#ifndef GENTIANLB_RPC_CODEC_H_
#define GENTIANLB_RPC_CODEC_H_

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gentianlb {
namespace rpc {

// Returns the message of a call of `method` that expects a response.
std::string EncodeCall(const std::string& method, const Json::Value& params);

// Returns the message of a call without a response.
std::string EncodeNotification(const std::string& method,
                               const Json::Value& params);

// An error from the peer, or a malformed response (code 7002).
struct RpcError {
  int code;  // Zero if there is no error.
  std::string message;
};

// Decodes the response to a call made by EncodeCall().
RpcError DecodeResponse(const std::string& response, Json::Value* result);

// Calls the method that a message names and builds the response. Adding methods
// is not thread-safe. Afterwards any number of threads may call Handle() if the
// methods themselves allow it.
class MethodTable {
 public:
  // Sets *result. A returned error with a code other than zero is sent instead
  // of it.
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

  // Handles one message and returns its response, which is empty for a
  // notification.
  std::string Handle(const std::string& message);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A MethodTable whose methods may finish later. Not thread-safe: one thread
// owns it, and the methods must call `done` on that thread.
class AsyncMethodTable {
 public:
  using Done = std::function<void(RpcError error, Json::Value result)>;
  using Method = std::function<void(const Json::Value& params, Done done)>;

  // Params are always a JSON object.
  void AddMethod(const std::string& name, Method method);

  // Calls `response` once, with the message to send back.
  void Handle(const std::string& message,
              std::function<void(std::string response)> response);

 private:
  // State of one pass of the library's handler over a message. The first pass
  // only extracts the parameters; the second one supplies the result.
  struct Pass {
    bool method_called = false;
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
