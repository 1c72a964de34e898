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

// A server of this role does the phase. `without` is the role that can't.
bool Does(ServerRole role, ServerRole without) { return role != without; }

// Whether `view` can be counted on to serve the model, in the phase that a
// server of role `without` lacks.
bool Serves(const ServerView& view, const ModelId& model, ServerRole without,
            const SequenceOptions& options, absl::Time now) {
  if (!view.state || now > view.seen + options.fresh) return false;
  // Its row can't be read, so anything may be under way.
  if (view.not_before == absl::InfiniteFuture()) return false;
  // A step under way may take the model, or the server, away.
  if (IsOpen(view) && !IsLoad(*view.step)) return false;
  return Contains(view.state->models, model) && Does(view.state->role, without);
}

int CountOthers(const config::ServerConfig& server,
                const config::Configuration& configuration, const Views& views,
                const ModelId& model, ServerRole without,
                const SequenceOptions& options, absl::Time now) {
  int count = 0;
  for (const config::ServerConfig& other : configuration.servers) {
    if (other.spec.id == server.spec.id || other.zone != server.zone ||
        other.service != server.service) {
      continue;
    }
    auto view = views.find(other.spec.id);
    if (view == views.end()) continue;
    if (Serves(view->second, model, without, options, now)) ++count;
  }
  return count;
}

bool Promised(const config::ModelConfig& model,
              const config::ServerConfig& server) {
  if (model.service != server.service) return false;
  return model.zones.empty() ||
         std::find(model.zones.begin(), model.zones.end(), server.zone) !=
             model.zones.end();
}

// Models that the step takes away, at least for a while.
bool Touches(const StepRow& step, const ModelId& model) {
  return step.kind == OrderKind::kRole || step.model == model;
}

const config::ServerConfig* Find(const config::Configuration& configuration,
                                 const ServerId& server) {
  for (const config::ServerConfig& one : configuration.servers) {
    if (one.spec.id == server) return &one;
  }
  return nullptr;
}

// The same server, version, step and attempt give the same id, whoever derives
// it, so that an order sent twice is carried out once.
std::string OrderId(const ServerId& server, const StepRow& step) {
  std::string text = absl::StrCat(
      server.str().size(), ":", server.str(), "/", step.version, "/",
      static_cast<int>(step.kind), "/", static_cast<int>(step.role), "/",
      step.attempt, "/", step.model.str());
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return absl::StrFormat("%016x%016x", hash.high64, hash.low64);
}

// A step that already ran under this version, and is wanted again, needs a new
// id, or the engine would take it for done.
int NextAttempt(const std::optional<StepRow>& last, const StepRow& step) {
  bool again = last && last->version == step.version &&
               last->kind == step.kind && last->model == step.model &&
               last->role == step.role;
  return again ? last->attempt + 1 : 0;
}

// What is under way, against the bounds on the whole site.
struct UnderWay {
  int loads = 0;
  bool disruptive = false;

  void Add(const StepRow& step) {
    if (IsLoad(step)) {
      ++loads;
    } else {
      disruptive = true;
    }
  }
  bool LeavesRoom(const StepRow& step, const SequenceOptions& options) const {
    return IsLoad(step) ? loads < options.max_loads : !disruptive;
  }
};

// Of servers that are configured and answer. One that is dead for good would
// hold up the whole site; and it isn't counted on either, so nothing is lost.
UnderWay CountOpen(const config::Configuration& configuration,
                   const Views& views, const SequenceOptions& options) {
  UnderWay under_way;
  for (const config::ServerConfig& server : configuration.servers) {
    auto view = views.find(server.spec.id);
    if (view == views.end() || !IsOpen(view->second)) continue;
    if (view->second.failures >= options.silent_after) continue;
    under_way.Add(*view->second.step);
  }
  return under_way;
}

}  // namespace

bool TakesOrders(const config::Configuration& configuration,
                 const config::ServerConfig& server) {
  for (const config::ServiceConfig& one : configuration.services) {
    if (one.id != server.service) continue;
    return one.kind == config::ServiceKind::kModel;
  }
  return false;
}

std::vector<StepRow> Differences(const config::ServerConfig& wanted,
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

bool Safe(const Step& step, const config::Configuration& configuration,
          const Views& views, const SequenceOptions& options, absl::Time now) {
  if (IsLoad(step.row)) return true;
  const config::ServerConfig* server = Find(configuration, step.server);
  auto view = views.find(step.server);
  if (server == nullptr || view == views.end()) return false;
  const std::optional<EngineState>& state = view->second.state;
  if (!state) return false;
  for (const config::ModelConfig& model : configuration.models) {
    if (!Promised(model, *server) || !Touches(step.row, model.id)) continue;
    if (!Contains(state->models, model.id)) continue;
    // Each phase counts by itself: a server that only decodes is no help to
    // one that only prefills.
    for (ServerRole without : {ServerRole::kDecode, ServerRole::kPrefill}) {
      if (!Does(state->role, without)) continue;
      int others = CountOthers(*server, configuration, views, model.id, without,
                               options, now);
      // A role change is over soon and the model stays, so one is enough; with
      // all of min_servers wanted, no role could ever change at the minimum.
      int enough = step.row.kind == OrderKind::kRole
                       ? std::min(1, model.min_servers)
                       : model.min_servers;
      if (others < enough) return false;
    }
  }
  return true;
}

Startable NextSteps(const config::Configuration& configuration,
                    const Views& views, const SequenceOptions& options,
                    absl::Time now) {
  Startable startable;
  UnderWay under_way = CountOpen(configuration, views, options);
  for (const config::ServerConfig& server : configuration.servers) {
    if (!TakesOrders(configuration, server)) continue;
    auto found = views.find(server.spec.id);
    if (found == views.end()) continue;
    const ServerView& view = found->second;
    if (!view.state || now > view.seen + options.fresh) continue;
    if (IsOpen(view) || now < view.not_before) continue;
    // The first that is allowed: a load that waits for its turn doesn't hold
    // up an unload that makes room.
    for (StepRow& row : Differences(server, *view.state)) {
      row.version = configuration.version;
      row.attempt = NextAttempt(view.step, row);
      row.order = OrderId(server.spec.id, row);
      Step step{server.spec.id, std::move(row)};
      if (!under_way.LeavesRoom(step.row, options) ||
          !Safe(step, configuration, views, options, now)) {
        ++startable.held_back;
        continue;
      }
      under_way.Add(step.row);
      startable.steps.push_back(std::move(step));
      break;
    }
  }
  return startable;
}

}  // namespace gentianlb::orders
