// Preloaded into an entry host by the tests: sends its connections to a peer
// over a relay. Hosts tell each other where they listen, so that no setting can
// put a relay between two of them.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <map>
#include <string>
#include <string_view>

namespace {

std::string Format(const sockaddr_in& address) {
  char ip[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
  return std::string(ip) + ":" + std::to_string(ntohs(address.sin_port));
}

sockaddr_in Parse(const std::string& text) {
  std::size_t colon = text.find(':');
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port =
      htons(static_cast<in_port_t>(std::atoi(text.substr(colon + 1).c_str())));
  return address;
}

using Routes = std::map<std::string, sockaddr_in>;

// GENTIANLB_TEST_ROUTES is a list of FROM=TO, each ended by a comma.
Routes ReadRoutes() {
  Routes routes;
  const char* variable = std::getenv("GENTIANLB_TEST_ROUTES");
  std::string_view rest = variable == nullptr ? "" : variable;
  while (!rest.empty()) {
    std::string route(rest.substr(0, rest.find(',')));
    rest.remove_prefix(route.size() + 1);
    std::size_t equals = route.find('=');
    routes[route.substr(0, equals)] = Parse(route.substr(equals + 1));
  }
  return routes;
}

}  // namespace

extern "C" int connect(int fd, const sockaddr* address, socklen_t size) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto real =
      reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  static const Routes& routes = *new Routes(ReadRoutes());
  if (address->sa_family != AF_INET) return real(fd, address, size);
  auto route =
      routes.find(Format(*reinterpret_cast<const sockaddr_in*>(address)));
  if (route == routes.end()) return real(fd, address, size);
  return real(fd, reinterpret_cast<const sockaddr*>(&route->second),
              sizeof(route->second));
}
