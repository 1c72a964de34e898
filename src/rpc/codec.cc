#include "rpc/codec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace gentianlb {
namespace rpc {
namespace {

// Records the message that the library's client sends and returns a given
// response to it.
class StubConnector : public jsonrpc::IClientConnector {
 public:
  explicit StubConnector(const std::string& response) : response_(response) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result)  //
      throw(jsonrpc::JsonRpcException) override {
    message_ = message;
    result = response_;
  }

  const std::string& message() const { return message_; }

 private:
  std::string response_;
  std::string message_;
};

// A response that the library's client accepts, for calls that only need the
// message that it builds.
const char kEmptyResponse[] = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":null}";

}  // namespace

std::string EncodeCall(const std::string& method, const Json::Value& params) {
  StubConnector connector(kEmptyResponse);
  jsonrpc::Client client(connector);
  Json::Value ignored;
  client.CallMethod(method, params, ignored);
  return connector.message();
}

std::string EncodeNotification(const std::string& method,
                               const Json::Value& params) {
  StubConnector connector("");
  jsonrpc::Client client(connector);
  client.CallNotification(method, params);
  return connector.message();
}

RpcError DecodeResponse(const std::string& response, Json::Value* result) {
  StubConnector connector(response);
  jsonrpc::Client client(connector);
  try {
    client.CallMethod("answer", Json::Value(Json::objectValue), *result);
  } catch (const jsonrpc::JsonRpcException& error) {
    int code = error.GetCode();
    // The library's own codes are negative and mean a malformed message.
    return RpcError{code <= 0 ? 7002 : code, error.GetMessage()};
  } catch (const std::exception& error) {
    return RpcError{7002, error.what()};
  }
  return RpcError{0, ""};
}

struct MethodTable::Impl : public jsonrpc::IProcedureInvokationHandler {
  std::map<std::string, Method> methods;
  std::map<std::string, Notification> notifications;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;

  Impl()
      : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    RpcError error = methods[procedure.GetProcedureName()](input, &output);
    if (error.code != 0) {
      throw jsonrpc::JsonRpcException(error.code, error.message);
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override {
    notifications[procedure.GetProcedureName()](input);
  }
};

MethodTable::MethodTable() : impl_(new Impl) {}
MethodTable::~MethodTable() = default;

void MethodTable::AddMethod(const std::string& name, Method method) {
  impl_->methods[name] = std::move(method);
  jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME,
                               jsonrpc::JSON_OBJECT, NULL);
  impl_->protocol->AddProcedure(procedure);
}

void MethodTable::AddNotification(const std::string& name,
                                  Notification notification) {
  impl_->notifications[name] = std::move(notification);
  jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, NULL);
  impl_->protocol->AddProcedure(procedure);
}

std::string MethodTable::Handle(const std::string& message) {
  std::string response;
  impl_->protocol->HandleRequest(message, response);
  return response;
}

void AsyncMethodTable::AddMethod(const std::string& name, Method method) {
  methods_[name] = std::move(method);
  table_.AddMethod(
      name, [this, name](const Json::Value& params, Json::Value* result) {
        pass_.method_called = true;
        pass_.method = name;
        if (pass_.error == nullptr) {
          pass_.params = params;
          return RpcError{0, ""};
        }
        *result = *pass_.result;
        return *pass_.error;
      });
}

void AsyncMethodTable::Handle(
    const std::string& message,
    std::function<void(std::string response)> response) {
  pass_ = Pass();
  std::string sync_response = table_.Handle(message);
  if (!pass_.method_called) {
    response(sync_response);
    return;
  }
  Json::Value params = pass_.params;
  methods_[pass_.method](
      params, [this, message, response](RpcError error, Json::Value result) {
        pass_ = Pass();
        pass_.error = &error;
        pass_.result = &result;
        std::string encoded = table_.Handle(message);
        pass_ = Pass();
        response(encoded);
      });
}

}  // namespace rpc
}  // namespace gentianlb
