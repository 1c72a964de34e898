#include "orders/sequence.h"

#include <xxhash.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace gentianlb::orders {
namespace {

using config::OrderKind;
using schedule::ServerRole;

bool Contains(const std::vector<ModelId>& models, const ModelId& model) {
  return std::find(models.begin(), models.end(), model) != models.end();
}

bool IsOpen(const ServerView& view) {
  return view.step && view.step->state == StepState::kOpen;
}

bool IsLoad(const StepRow& step) { return step.kind == OrderKind::kLoad; }

// Returns whether a server of this role performs the phase that servers of
// `incapable_role` don't perform.
bool Performs(ServerRole role, ServerRole incapable_role) {
  return role != incapable_role;
}

// Returns whether the server can be relied on to serve the model in the phase
// that servers of `incapable_role` don't perform.
bool CanServe(const ServerView& view, const ModelId& model,
              ServerRole incapable_role, const SequenceOptions& options,
              absl::Time now) {
  if (!view.state || now > view.read_at + options.max_age) return false;
  // Its step row is unreadable, so any order may be running.
  if (view.not_before == absl::InfiniteFuture()) return false;
  // An open step may remove the model or interrupt the server.
  if (IsOpen(view) && !IsLoad(*view.step)) return false;
  return Contains(view.state->models, model) &&
         Performs(view.state->role, incapable_role);
}

// Returns how many other servers of the same zone and service can serve the
// model.
int CountOtherServers(const config::ServerConfig& server,
                      const config::Configuration& configuration,
                      const Views& views, const ModelId& model,
                      ServerRole incapable_role, const SequenceOptions& options,
                      absl::Time now) {
  int count = 0;
  for (const config::ServerConfig& other : configuration.servers) {
    if (other.spec.id == server.spec.id || other.zone != server.zone ||
        other.service != server.service) {
      continue;
    }
    auto view = views.find(other.spec.id);
    if (view == views.end()) continue;
    if (CanServe(view->second, model, incapable_role, options, now)) ++count;
  }
  return count;
}

// Returns whether the configuration offers the model in the server's service
// and zone.
bool IsOfferedIn(const config::ModelConfig& model,
                 const config::ServerConfig& server) {
  if (model.service != server.service) return false;
  return model.zones.empty() ||
         std::find(model.zones.begin(), model.zones.end(), server.zone) !=
             model.zones.end();
}

// Returns whether the step makes the model unavailable, at least for a while.
bool Disrupts(const StepRow& step, const ModelId& model) {
  return step.kind == OrderKind::kRole || step.model == model;
}

const config::ServerConfig* FindServer(
    const config::Configuration& configuration, const ServerId& server) {
  for (const config::ServerConfig& candidate : configuration.servers) {
    if (candidate.spec.id == server) return &candidate;
  }
  return nullptr;
}

// Returns the id of the step's order. All hosts derive the same id from the
// same server, version, step and attempt, so an order sent twice is executed
// once.
std::string OrderId(const ServerId& server, const StepRow& step) {
  std::string text = absl::StrCat(
      server.str().size(), ":", server.str(), "/", step.version, "/",
      static_cast<int>(step.kind), "/", static_cast<int>(step.role), "/",
      step.attempt, "/", step.model.str());
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return absl::StrFormat("%016x%016x", hash.high64, hash.low64);
}

// Returns the attempt number of a step. A step that is repeated under the same
// version needs a new order id, or the engine would report it as done already.
int NextAttempt(const std::optional<StepRow>& last, const StepRow& step) {
  bool repeated = last && last->version == step.version &&
                  last->kind == step.kind && last->model == step.model &&
                  last->role == step.role;
  return repeated ? last->attempt + 1 : 0;
}

// The open steps, which count against the limits of the whole site.
struct OpenSteps {
  int loads = 0;
  bool disruptive = false;

  void Add(const StepRow& step) {
    if (IsLoad(step)) {
      ++loads;
    } else {
      disruptive = true;
    }
  }
  bool Allows(const StepRow& step, const SequenceOptions& options) const {
    return IsLoad(step) ? loads < options.max_loads : !disruptive;
  }
};

// Counts the open steps of servers that are configured and answer. The open
// step of a dead server would block the whole site; no other step relies on its
// models.
OpenSteps CountOpenSteps(const config::Configuration& configuration,
                         const Views& views, const SequenceOptions& options) {
  OpenSteps open_steps;
  for (const config::ServerConfig& server : configuration.servers) {
    auto view = views.find(server.spec.id);
    if (view == views.end() || !IsOpen(view->second)) continue;
    if (view->second.consecutive_failures >= options.max_failures) continue;
    open_steps.Add(*view->second.step);
  }
  return open_steps;
}

}  // namespace

bool AcceptsOrders(const config::Configuration& configuration,
                   const config::ServerConfig& server) {
  for (const config::ServiceConfig& service : configuration.services) {
    if (service.id != server.service) continue;
    return service.kind == config::ServiceKind::kModel;
  }
  return false;
}

std::vector<StepRow> RequiredSteps(const config::ServerConfig& wanted,
                                   const EngineState& state) {
  std::vector<StepRow> steps;
  for (const ModelId& model : wanted.spec.models) {
    if (Contains(state.models, model)) continue;
    steps.push_back({"", OrderKind::kLoad, model});
  }
  if (wanted.spec.role != state.role) {
    steps.push_back({"", OrderKind::kRole, ModelId(), wanted.spec.role});
  }
  for (const ModelId& model : state.models) {
    if (Contains(wanted.spec.models, model)) continue;
    steps.push_back({"", OrderKind::kUnload, model});
  }
  return steps;
}

bool TookEffect(const StepRow& step, const EngineState& state) {
  if (step.kind == OrderKind::kRole) return state.role == step.role;
  return Contains(state.models, step.model) == IsLoad(step);
}

bool IsSafe(const Step& step, const config::Configuration& configuration,
            const Views& views, const SequenceOptions& options,
            absl::Time now) {
  if (IsLoad(step.row)) return true;
  const config::ServerConfig* server = FindServer(configuration, step.server);
  auto view = views.find(step.server);
  if (server == nullptr || view == views.end()) return false;
  const std::optional<EngineState>& state = view->second.state;
  if (!state) return false;
  for (const config::ModelConfig& model : configuration.models) {
    if (!IsOfferedIn(model, *server) || !Disrupts(step.row, model.id)) continue;
    if (!Contains(state->models, model.id)) continue;
    // Each phase is checked by itself: a server that only decodes can't replace
    // one that only prefills.
    for (ServerRole incapable_role :
         {ServerRole::kDecode, ServerRole::kPrefill}) {
      if (!Performs(state->role, incapable_role)) continue;
      int others = CountOtherServers(*server, configuration, views, model.id,
                                     incapable_role, options, now);
      // A role change is short and the model stays loaded, so one other server
      // is enough. Requiring min_servers would block all role changes at the
      // minimum.
      int required = step.row.kind == OrderKind::kRole
                         ? std::min(1, model.min_servers)
                         : model.min_servers;
      if (others < required) return false;
    }
  }
  return true;
}

StartableSteps NextSteps(const config::Configuration& configuration,
                         const Views& views, const SequenceOptions& options,
                         absl::Time now) {
  StartableSteps startable;
  OpenSteps open_steps = CountOpenSteps(configuration, views, options);
  for (const config::ServerConfig& server : configuration.servers) {
    if (!AcceptsOrders(configuration, server)) continue;
    auto found = views.find(server.spec.id);
    if (found == views.end()) continue;
    const ServerView& view = found->second;
    if (!view.state || now > view.read_at + options.max_age) continue;
    if (IsOpen(view) || now < view.not_before) continue;
    // Takes the first step that is allowed, so that a waiting load doesn't
    // block an unload that frees memory.
    for (StepRow& row : RequiredSteps(server, *view.state)) {
      row.version = configuration.version;
      row.attempt = NextAttempt(view.step, row);
      row.order = OrderId(server.spec.id, row);
      Step step{server.spec.id, std::move(row)};
      if (!open_steps.Allows(step.row, options) ||
          !IsSafe(step, configuration, views, options, now)) {
        ++startable.held_back;
        continue;
      }
      open_steps.Add(step.row);
      startable.steps.push_back(std::move(step));
      break;
    }
  }
  return startable;
}

}  // namespace gentianlb::orders
