// Orders to model engines: a confirmed change of models is carried out, once,
// also when the entry host that gives the orders dies.

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_replace.h"
#include "process/deployment.h"
#include "process/verdicts.h"

namespace gentianlb::process {
namespace {

Shape Site() {
  Shape shape;
  shape.zones = {"abdali"};
  shape.hosts_per_zone = 3;
  shape.engines = {{.zone = "abdali"}, {.zone = "abdali"}};
  return shape;
}

// The site's intent with a second model, to be had on every server.
std::string WithTagger(const Deployment& site) {
  std::string text = ReadFile(site.folder().Path("intent.ini"));
  std::string server = std::string("models = ") + kModel + "\nmax_streams";
  std::string both =
      std::string("models = ") + kModel + ", tagger\nmax_streams";
  return absl::StrReplaceAll(text, {{server, both}}) +
         "\n[model tagger]\nservice = drafting-llm\nmin_servers = 1\n";
}

Json::Value OrdersAt(const Member& engine) {
  return ShowControl(engine.address)["counters"]["orders"];
}

// How often the engine was ordered to load the model.
int LoadsAt(const Member& engine, const std::string& model) {
  int loads = 0;
  for (const Json::Value& order : OrdersAt(engine)) {
    bool load = order["kind"].asString() == "load";
    if (load && order["model"].asString() == model) ++loads;
  }
  return loads;
}

// The entry host that holds the lease on orders; the count of hosts if none.
std::size_t HolderOf(Deployment& site) {
  for (std::size_t i = 0; i < site.host_count(); ++i) {
    Finished status = site.OperateAt(i, {"status", "--format", "json"});
    if (status.output.find("\"holder\" : true") != std::string::npos) return i;
  }
  return site.host_count();
}

// Operators confirm that a second model must be available. Each engine gets one
// order to load it, and its role and first model stay as they are.
BOOST_AUTO_TEST_CASE(AConfirmedModelIsLoadedOnceEverywhere) {
  Deployment site(GENTIANLB_BUILD_DIR, Site());
  site.Confirm(site.folder().Write("tagger.ini", WithTagger(site)));
  for (std::size_t i : {0, 1}) {
    WaitUntil("the model is ordered",
              [&] { return LoadsAt(site.engine(i), "tagger") == 1; });
    BOOST_TEST(OrdersAt(site.engine(i)).size() == 1U);
  }
}

// The host that gives the orders is killed after a change was confirmed.
// Another one takes the lease and carries the change out; no engine is made to
// load the model a second time.
BOOST_AUTO_TEST_CASE(OrdersGoOnWhenTheirSenderDies) {
  Deployment site(GENTIANLB_BUILD_DIR, Site());
  WaitUntil("a host holds the lease",
            [&] { return HolderOf(site) < site.host_count(); });
  std::size_t holder = HolderOf(site);
  site.Confirm(site.folder().Write("tagger.ini", WithTagger(site)));
  site.host(holder).process->KillAndWait();
  for (std::size_t i : {0, 1}) {
    WaitUntil("the model is ordered",
              [&] { return LoadsAt(site.engine(i), "tagger") >= 1; });
    BOOST_TEST(LoadsAt(site.engine(i), "tagger") == 1);
  }
}

}  // namespace
}  // namespace gentianlb::process
