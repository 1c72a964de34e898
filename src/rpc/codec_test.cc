#include "rpc/codec.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::rpc {
namespace {

BOOST_AUTO_TEST_CASE(ACallComesBackWithItsResult) {
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

BOOST_AUTO_TEST_CASE(AnErrorKeepsItsNumber) {
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

BOOST_AUTO_TEST_CASE(ANotificationArrivesAndHasNoAnswer) {
  MethodTable table;
  int seen = 0;
  table.AddNotification(
      "tell", [&](const Json::Value& params) { seen = params["n"].asInt(); });
  Json::Value params;
  params["n"] = 7;
  BOOST_TEST(table.Handle(EncodeNotification("tell", params)) == "");
  BOOST_TEST(seen == 7);
}

BOOST_AUTO_TEST_CASE(AMethodMayAnswerLater) {
  AsyncMethodTable table;
  AsyncMethodTable::Done kept;
  table.AddMethod("later",
                  [&](const Json::Value& params, AsyncMethodTable::Done done) {
                    BOOST_TEST(params["n"].asInt() == 3);
                    kept = std::move(done);
                  });
  Json::Value params;
  params["n"] = 3;
  std::string answer;
  table.Handle(EncodeCall("later", params),
               [&](std::string text) { answer = std::move(text); });
  BOOST_TEST(answer.empty());
  kept(RpcError{0, ""}, Json::Value("done"));
  Json::Value result;
  BOOST_TEST(DecodeResponse(answer, &result).code == 0);
  BOOST_TEST(result.asString() == "done");
}

// A peer of another release, or a stranger, sends garbage. It gets an error and
// the table goes on serving.
BOOST_AUTO_TEST_CASE(GarbageIsAnsweredWithAnError) {
  MethodTable table;
  Json::Value result;
  BOOST_TEST(DecodeResponse(table.Handle("{nonsense"), &result).code != 0);
  BOOST_TEST(DecodeResponse("also nonsense", &result).code == 7002);
}

}  // namespace
}  // namespace gentianlb::rpc
