#include "gentianctl/deployment_file.h"

#include <algorithm>
#include <map>

#include "config/intent.h"
#include "config/place.h"
#include "settings/document.h"

namespace gentianlb::ctl {
namespace {

// The model that most of the service's servers hold.
ModelId CommonModel(const replay::ServiceLoad& service) {
  std::map<ModelId, int> holders;
  for (const schedule::ServerSpec& server : service.servers) {
    for (const ModelId& model : server.models) ++holders[model];
  }
  auto most = std::max_element(
      holders.begin(), holders.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == holders.end() ? ModelId() : most->first;
}

}  // namespace

Result<replay::Deployment> ReadDeployment(const std::string& path) {
  auto text = settings::ReadFile(path);
  if (!text.ok()) return Fail(text.error().code, text.error().detail);
  auto intent = config::ParseIntent(path, text.value());
  if (!intent.ok()) return Fail(intent.error().code, intent.error().detail);
  config::Configuration site = intent.value();
  config::PlaceModels(config::Configuration(), &site);
  BOOST_LEAF_AUTO(built_in, replay::FindDeployment(site.site));
  replay::Deployment deployment = replay::WithConfiguration(built_in, site);
  // The built-in requests ask for a model that the site calls otherwise; they
  // would all be refused.
  for (replay::ServiceLoad& service : deployment.services) {
    if (!service.model.empty()) service.model = CommonModel(service);
  }
  return deployment;
}

}  // namespace gentianlb::ctl
