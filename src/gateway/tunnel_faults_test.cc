// Tests tunnels whose peer or server is in trouble: client, tunnel server and
// backend server on loopback.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "gateway/tunnel_site_test.h"
#include "http/bad_heads_test.h"

namespace gentianlb::gateway {
namespace {

using http::TransferEnd;

// Guards against a request that is sent through what isn't a tunnel: its peer's
// address may be another program's by now.
BOOST_AUTO_TEST_CASE(ABadHeadMakesNoTunnel) {
  std::vector<http::BadHead> heads = http::AllBadHeads();
  heads.push_back({"refusal", "HTTP/1.1 502 Bad Gateway\r\n"});
  for (const http::BadHead& bad : heads) {
    TunnelSite site;
    http::RawServer peer;
    site.tunnel_port = peer.port();
    site.Send();
    site.RunUntil([&] { return peer.HasRequest(); });
    peer.request.clear();
    peer.Write(bad.first_lines + "Content-Length: 0\r\n\r\n");
    site.RunUntil([&] { return site.end.has_value() || peer.HasRequest(); });
    BOOST_TEST(peer.request.empty(), bad.name);
    BOOST_REQUIRE(site.end.has_value());
    BOOST_TEST((*site.end == TransferEnd::kNotSent), bad.name);
  }
}

// A server ends its side though most of the request is still to come. Guards
// against a part of an unframed body that passes for the whole.
BOOST_AUTO_TEST_CASE(AnEndBeforeTheRequestWasReadIsBroken) {
  // The tunnel takes all of the smaller ones at once.
  for (const std::size_t request_bytes :
       {300U << 10, 500U << 10, 1U << 20, 4U << 20}) {
    TunnelSite site;
    site.Send(std::string(request_bytes, 'x'));
    site.Answer("HTTP/1.1 200 OK\r\n\r\nhalf");
    site.RunFor(absl::Milliseconds(50));
    site.server.EndOwnSide();
    site.WaitForEnd();
    BOOST_TEST((*site.end != TransferEnd::kComplete), request_bytes);
  }
}

BOOST_AUTO_TEST_CASE(AFramedAnswerBeforeTheRequestWasReadIsComplete) {
  TunnelSite site;
  site.Send(std::string(1 << 20, 'x'));
  site.Answer("HTTP/1.1 413 Large\r\nContent-Length: 4\r\n\r\nhalf");
  site.server.EndOwnSide();
  site.WaitForEnd();
  BOOST_TEST((*site.end == TransferEnd::kComplete));
  BOOST_TEST(site.status == 413);
}

}  // namespace
}  // namespace gentianlb::gateway
