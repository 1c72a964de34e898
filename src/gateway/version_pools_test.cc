#include "gateway/version_pools.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

std::vector<ServerEntry> MakeServers(const std::string& version, int count) {
  std::vector<ServerEntry> servers;
  for (int i = 0; i < count; ++i) {
    ServerEntry server;
    server.id = ServerId(version + "-" + std::to_string(i));
    server.version = version;
    servers.push_back(server);
  }
  return servers;
}

std::vector<ServerEntry> operator+(std::vector<ServerEntry> a,
                                   const std::vector<ServerEntry>& b) {
  a.insert(a.end(), b.begin(), b.end());
  return a;
}

// Guards against requests to a version whose order a host has yet to read.
BOOST_AUTO_TEST_CASE(AVersionWithoutAnOrderIsNotUsed) {
  KnownVersions known;
  const auto old_servers = MakeServers("v1", 3);
  BOOST_TEST(known.Split(old_servers, "").old_servers.size() == 3u);
  const auto both = old_servers + MakeServers("v2", 3);
  BOOST_TEST((known.Split(both, "").old_servers == old_servers));
  const VersionSplit split = known.Split(both, "v2");
  BOOST_TEST((split.old_servers == old_servers));
  BOOST_TEST(split.new_servers.size() == 3u);
}

// Guards against a service without servers: its operators have replaced all of
// them without an order.
BOOST_AUTO_TEST_CASE(AVersionThatIsAloneIsUsed) {
  KnownVersions known;
  known.Split(MakeServers("v1", 3), "");
  BOOST_TEST(known.Split(MakeServers("v2", 2), "").old_servers.size() == 2u);
}

// Guards against servers that get no request until the last one of an earlier
// version has left, where no version needs an order.
BOOST_AUTO_TEST_CASE(VersionsServeSideBySideWhereNoneNeedsAnOrder) {
  KnownVersions known;
  known.AllowAll();
  known.Split(MakeServers("v1", 3), "");
  const auto both = MakeServers("v1", 2) + MakeServers("v2", 3);
  BOOST_TEST((known.Split(both, "").old_servers == both));
  const VersionSplit split = known.Split(both, "v2");
  BOOST_TEST((split.old_servers == MakeServers("v1", 2)));
  BOOST_TEST(split.new_servers.size() == 3u);
}

BOOST_AUTO_TEST_CASE(AllHostsSelectTheSameServers) {
  const auto servers = MakeServers("v2", 90);
  const auto few = SelectServers(servers, 0.05);
  BOOST_TEST(few.size() == 5u);
  BOOST_TEST((SelectServers(servers, 0.05) == few));
  const auto more = SelectServers(servers, 0.2);
  BOOST_TEST(more.size() == 18u);
  for (const ServerEntry& server : few) {
    BOOST_TEST((std::find(more.begin(), more.end(), server) != more.end()));
  }
  BOOST_TEST((SelectServers(servers, 1) == servers));
  BOOST_TEST(SelectServers(servers, 0).empty());
  BOOST_TEST(SelectServers(MakeServers("v2", 2), 0.05).size() == 2u);
}

}  // namespace
}  // namespace gentianlb::gateway
