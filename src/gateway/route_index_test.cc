#include "gateway/route_index.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace gentianlb::gateway {
namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  return route;
}

std::string NameOf(const Route* route) {
  return route == nullptr ? "none" : route->name;
}

BOOST_AUTO_TEST_CASE(FindsTheLongestPrefixOfTheHost) {
  Configuration configuration;
  configuration.routes = {MakeRoute("short", "a", "/x/"),
                          MakeRoute("long", "a", "/x/y/"),
                          MakeRoute("other", "b", "/x/y/z/")};
  const RouteIndex index(configuration);
  BOOST_TEST(NameOf(index.FindRoute("a", "/x/1")) == "short");
  BOOST_TEST(NameOf(index.FindRoute("a", "/x/y/1")) == "long");
  BOOST_TEST(NameOf(index.FindRoute("a", "/x/y/")) == "long");
  BOOST_TEST(NameOf(index.FindRoute("a", "/x/y")) == "short");
  BOOST_TEST(NameOf(index.FindRoute("a", "/x/y/z/1")) == "long");
  BOOST_TEST(NameOf(index.FindRoute("b", "/x/y/1")) == "none");
  BOOST_TEST(NameOf(index.FindRoute("a", "/")) == "none");
  BOOST_TEST(NameOf(index.FindRoute("a", "")) == "none");
}

BOOST_AUTO_TEST_CASE(FindsTheWorkspaceOfAKey) {
  Configuration configuration;
  configuration.workspaces.push_back({.id = WorkspaceId("w")});
  configuration.workspaces[0].keys = {"one", "two"};
  const RouteIndex index(configuration);
  BOOST_TEST(index.FindWorkspace("two")->id.str() == "w");
  BOOST_TEST(index.FindWorkspace("three") == nullptr);
  BOOST_TEST(index.FindWorkspace("") == nullptr);
}

BOOST_AUTO_TEST_CASE(AWorkspacesTierPrecedesItsRoutes) {
  Route urgent;
  urgent.tier = Tier{0};
  Route batch;
  batch.tier = Tier{2};
  Workspace first;
  first.tier = Tier{0};
  Workspace second;
  second.tier = Tier{1};
  BOOST_TEST((TierOf(urgent, &first) < TierOf(batch, &first)));
  BOOST_TEST((TierOf(batch, &first) < TierOf(urgent, &second)));
  BOOST_TEST((TierOf(batch, nullptr) == Tier{2}));
}

BOOST_AUTO_TEST_CASE(ServicesAreChosenByWeight) {
  Route route;
  route.services = {{ServiceId("most"), 90}, {ServiceId("few"), 10}};
  std::map<std::string, int> chosen;
  constexpr int kSamples = 1000;
  for (std::uint64_t i = 0; i < kSamples; ++i) {
    ++chosen[ChooseService(route, i * (~std::uint64_t{0} / kSamples)).str()];
  }
  BOOST_TEST(chosen["most"] >= 895);
  BOOST_TEST(chosen["most"] <= 905);
  BOOST_TEST(ChooseService(route, ~std::uint64_t{0}).str() == "few");
}

}  // namespace
}  // namespace gentianlb::gateway
