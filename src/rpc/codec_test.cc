#include "rpc/codec.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::rpc {
namespace {

BOOST_AUTO_TEST_CASE(ACallReturnsItsResult) {
  MethodTable table;
  table.AddMethod("double", [](const Json::Value& params, Json::Value* result) {
    *result = params["n"].asInt() * 2;
    return RpcError{0, ""};
  });
  Json::Value params;
  params["n"] = 21;
  Json::Value result;
  RpcError error =
      DecodeResponse(table.Handle(EncodeCall("double", params)), &result);
  BOOST_TEST(error.code == 0);
  BOOST_TEST(result.asInt() == 42);
}

BOOST_AUTO_TEST_CASE(AnErrorKeepsItsCode) {
  MethodTable table;
  table.AddMethod("fail", [](const Json::Value&, Json::Value*) {
    return RpcError{7005, "lost the race"};
  });
  Json::Value params(Json::objectValue);
  params["a"] = 1;
  Json::Value result;
  RpcError error =
      DecodeResponse(table.Handle(EncodeCall("fail", params)), &result);
  BOOST_TEST(error.code == 7005);
}

BOOST_AUTO_TEST_CASE(ANotificationIsDeliveredWithoutResponse) {
  MethodTable table;
  int received = 0;
  table.AddNotification("tell", [&](const Json::Value& params) {
    received = params["n"].asInt();
  });
  Json::Value params;
  params["n"] = 7;
  BOOST_TEST(table.Handle(EncodeNotification("tell", params)) == "");
  BOOST_TEST(received == 7);
}

BOOST_AUTO_TEST_CASE(AMethodMayRespondLater) {
  AsyncMethodTable table;
  AsyncMethodTable::Done pending_done;
  table.AddMethod("later",
                  [&](const Json::Value& params, AsyncMethodTable::Done done) {
                    BOOST_TEST(params["n"].asInt() == 3);
                    pending_done = std::move(done);
                  });
  Json::Value params;
  params["n"] = 3;
  std::string response;
  table.Handle(EncodeCall("later", params),
               [&](std::string text) { response = std::move(text); });
  BOOST_TEST(response.empty());
  pending_done(RpcError{0, ""}, Json::Value("done"));
  Json::Value result;
  BOOST_TEST(DecodeResponse(response, &result).code == 0);
  BOOST_TEST(result.asString() == "done");
}

// A peer of another release or an unknown sender sends a malformed message. It
// must get an error instead of stopping the process.
BOOST_AUTO_TEST_CASE(MalformedMessagesGiveAnError) {
  MethodTable table;
  Json::Value result;
  BOOST_TEST(DecodeResponse(table.Handle("{nonsense"), &result).code != 0);
  BOOST_TEST(DecodeResponse("also nonsense", &result).code == 7002);
}

}  // namespace
}  // namespace gentianlb::rpc
