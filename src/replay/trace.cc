#include "replay/trace.h"

#include <json/json.h>
#include <xxhash.h>

#include <cmath>
#include <cstring>
#include <fstream>
#include <istream>
#include <limits>
#include <memory>
#include <ostream>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace gentianlb::replay {
namespace {

constexpr int kTraceVersion = 1;
constexpr int kBlock = schedule::kPrefixBlockTokens;

// Bounds of sense: a larger value is a slip of the unit, not a request.
constexpr std::int64_t kMaxTokens = 2'000'000;
constexpr std::int64_t kMaxMicros = 7LL * 24 * 3600 * 1'000'000;
constexpr int kMaxTierRank = 15;

// Takes the fields of one object by name and type, and at the end refuses what
// was not taken: a field that is ignored would change what the trace means.
class FieldReader {
 public:
  FieldReader(const Json::Value& object, std::size_t line)
      : object_(object), line_(line) {}

  Result<std::int64_t> Integer(const char* name, std::int64_t least,
                               std::int64_t most) {
    BOOST_LEAF_AUTO(value, Take(name));
    if (!value->isInt64()) return Bad(name, "must be an integer");
    std::int64_t number = value->asInt64();
    if (number < least || number > most) return Bad(name, "is out of range");
    return number;
  }

  Result<double> Positive(const char* name) {
    BOOST_LEAF_AUTO(value, Take(name));
    if (!value->isNumeric()) return Bad(name, "must be a number");
    double number = value->asDouble();
    if (!std::isfinite(number) || number <= 0) {
      return Bad(name, "must be positive");
    }
    return number;
  }

  Result<std::string> Text(const char* name) {
    BOOST_LEAF_AUTO(value, Take(name));
    if (!value->isString()) return Bad(name, "must be a string");
    if (value->asString().empty()) return Bad(name, "is empty");
    return value->asString();
  }

  Result<const Json::Value*> List(const char* name) {
    BOOST_LEAF_AUTO(value, Take(name));
    if (!value->isArray()) return Bad(name, "must be a list");
    return value;
  }

  Result<void> Finish() const {
    for (const std::string& name : object_.getMemberNames()) {
      if (!taken_.contains(name)) return Bad(name, "is not known");
    }
    return {};
  }

  boost::leaf::error_id Bad(const std::string& name,
                            const std::string& what) const {
    return Fail(Code::kBadTrace,
                absl::StrCat("line ", line_, ": ", name, " ", what));
  }

 private:
  Result<const Json::Value*> Take(const char* name) {
    const Json::Value* value = object_.find(name, name + std::strlen(name));
    if (value == nullptr) return Bad(name, "is missing");
    taken_.insert(name);
    return value;
  }

  const Json::Value& object_;
  const std::size_t line_;
  absl::flat_hash_set<std::string> taken_;
};

// Parses a trace line by line and checks each against those before.
class TraceParser {
 public:
  explicit TraceParser(const Deployment& deployment)
      : deployment_(deployment) {}

  Result<void> Line(const std::string& text) {
    ++line_;
    BOOST_LEAF_AUTO(object, Parse(text));
    FieldReader fields(object, line_);
    BOOST_LEAF_AUTO(type, fields.Text("type"));
    if (line_ == 1) {
      BOOST_LEAF_CHECK(Header(type, fields));
    } else {
      BOOST_LEAF_CHECK(Event(type, fields));
    }
    return fields.Finish();
  }

  Result<Trace> Finish() {
    if (line_ == 0) return Bad("the header is missing");
    return std::move(trace_);
  }

 private:
  boost::leaf::error_id Bad(const std::string& what) const {
    return Fail(Code::kBadTrace, absl::StrCat("line ", line_, ": ", what));
  }

  Result<Json::Value> Parse(const std::string& text) const {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    const char* end = text.data() + text.size();
    if (!reader->parse(text.data(), end, &value, &errors)) {
      return Bad("not valid JSON");
    }
    if (!value.isObject()) return Bad("not a JSON object");
    return value;
  }

  Result<void> Header(const std::string& type, FieldReader& fields) {
    if (type != "trace") return Bad("the first line must be the header");
    BOOST_LEAF_CHECK(fields.Integer("version", kTraceVersion, kTraceVersion));
    BOOST_LEAF_ASSIGN(trace_.deployment, fields.Text("deployment"));
    BOOST_LEAF_ASSIGN(trace_.note, fields.Text("note"));
    if (trace_.deployment != deployment_.name) {
      return fields.Bad("deployment", "is another one");
    }
    return {};
  }

  Result<void> Event(const std::string& type, FieldReader& fields) {
    BOOST_LEAF_AUTO(at, fields.Integer("at_us", 0, kMaxMicros));
    if (at < last_at_) return Bad("at_us goes back");
    last_at_ = at;
    BOOST_LEAF_AUTO(body, Body(type, fields));
    trace_.events.push_back({absl::Microseconds(at), std::move(body)});
    return {};
  }

  Result<TraceBody> Body(const std::string& type, FieldReader& fields) {
    if (type == "request") return Request(fields);
    if (type == "cancel") return Cancel(fields);
    if (type == "power-cap") {
      BOOST_LEAF_AUTO(watts, fields.Positive("watts"));
      return TracePowerCap{watts};
    }
    if (type == "server-slow") {
      BOOST_LEAF_AUTO(server, Server(fields));
      BOOST_LEAF_AUTO(speed, fields.Positive("speed"));
      if (speed > 1) return fields.Bad("speed", "is above 1");
      return TraceServerSlow{server, speed};
    }
    if (type == "server-dead") {
      BOOST_LEAF_AUTO(server, Server(fields));
      return TraceServerDead{server};
    }
    if (type == "server-back") {
      BOOST_LEAF_AUTO(server, Server(fields));
      return TraceServerBack{server};
    }
    return fields.Bad("type", "is not known");
  }

  Result<TraceBody> Request(FieldReader& fields) {
    TraceRequest request;
    BOOST_LEAF_AUTO(id, fields.Text("id"));
    request.id = RequestId(id);
    if (!ids_.insert(request.id).second) {
      return fields.Bad("id", "stands twice");
    }
    BOOST_LEAF_ASSIGN(request.workspace, Workspace(fields));
    BOOST_LEAF_ASSIGN(request.service, Service(fields));
    BOOST_LEAF_AUTO(tier, fields.Integer("tier", 0, kMaxTierRank));
    request.tier = Tier{static_cast<int>(tier)};
    BOOST_LEAF_AUTO(deadline, fields.Integer("deadline_us", 1, kMaxMicros));
    request.deadline = absl::Microseconds(deadline);
    BOOST_LEAF_AUTO(prompt, fields.Integer("prompt_tokens", 0, kMaxTokens));
    request.prompt_tokens = static_cast<int>(prompt);
    BOOST_LEAF_ASSIGN(request.prefix, Prefix(fields, request.prompt_tokens));
    BOOST_LEAF_AUTO(bound, fields.Integer("max_output_tokens", 0, kMaxTokens));
    request.max_output_tokens = static_cast<int>(bound);
    BOOST_LEAF_AUTO(output, fields.Integer("output_tokens", 1, kMaxTokens));
    request.output_tokens = static_cast<int>(output);
    if (bound > 0 && output > bound) {
      return fields.Bad("output_tokens", "exceeds max_output_tokens");
    }
    return request;
  }

  Result<TraceBody> Cancel(FieldReader& fields) {
    BOOST_LEAF_AUTO(id, fields.Text("id"));
    if (!ids_.contains(RequestId(id))) return fields.Bad("id", "is not known");
    return TraceCancel{RequestId(id)};
  }

  Result<WorkspaceId> Workspace(FieldReader& fields) const {
    BOOST_LEAF_AUTO(name, fields.Text("workspace"));
    for (const WorkspaceLoad& workspace : deployment_.workspaces) {
      if (workspace.spec.id.str() == name) return workspace.spec.id;
    }
    return fields.Bad("workspace", "is not known");
  }

  Result<ServiceId> Service(FieldReader& fields) const {
    BOOST_LEAF_AUTO(name, fields.Text("service"));
    for (const ServiceLoad& service : deployment_.services) {
      if (service.id.str() == name) return service.id;
    }
    return fields.Bad("service", "is not known");
  }

  Result<ServerId> Server(FieldReader& fields) const {
    BOOST_LEAF_AUTO(name, fields.Text("server"));
    for (const ServiceLoad& service : deployment_.services) {
      for (const schedule::ServerSpec& server : service.servers) {
        if (server.id.str() == name) return server.id;
      }
    }
    return fields.Bad("server", "is not known");
  }

  Result<std::vector<PrefixSegment>> Prefix(FieldReader& fields,
                                            int prompt_tokens) const {
    BOOST_LEAF_AUTO(list, fields.List("prefix"));
    std::vector<PrefixSegment> prefix;
    std::int64_t total = 0;
    for (const Json::Value& item : *list) {
      if (!item.isObject()) return fields.Bad("prefix", "must hold objects");
      FieldReader segment(item, line_);
      BOOST_LEAF_AUTO(name, segment.Text("name"));
      BOOST_LEAF_AUTO(tokens, segment.Integer("tokens", kBlock, kMaxTokens));
      BOOST_LEAF_CHECK(segment.Finish());
      if (tokens % kBlock != 0) {
        return segment.Bad("tokens", "is not a multiple of the block");
      }
      total += tokens;
      prefix.push_back({name, static_cast<int>(tokens)});
    }
    if (total > prompt_tokens) {
      return fields.Bad("prefix", "exceeds the prompt");
    }
    return prefix;
  }

  std::size_t line_ = 0;
  std::int64_t last_at_ = 0;
  const Deployment& deployment_;
  absl::flat_hash_set<RequestId> ids_;
  Trace trace_;
};

// Turns each kind of event into its JSON object.
struct BodyWriter {
  Json::Value operator()(const TraceRequest& request) const {
    Json::Value object = Typed("request");
    object["id"] = request.id.str();
    object["workspace"] = request.workspace.str();
    object["service"] = request.service.str();
    object["tier"] = request.tier.rank;
    object["deadline_us"] =
        Json::Int64{absl::ToInt64Microseconds(request.deadline)};
    object["prompt_tokens"] = request.prompt_tokens;
    object["prefix"] = Json::Value(Json::arrayValue);
    for (const PrefixSegment& segment : request.prefix) {
      Json::Value item;
      item["name"] = segment.name;
      item["tokens"] = segment.tokens;
      object["prefix"].append(item);
    }
    object["max_output_tokens"] = request.max_output_tokens;
    object["output_tokens"] = request.output_tokens;
    return object;
  }
  Json::Value operator()(const TraceCancel& cancel) const {
    Json::Value object = Typed("cancel");
    object["id"] = cancel.id.str();
    return object;
  }
  Json::Value operator()(const TraceServerSlow& slow) const {
    Json::Value object = Typed("server-slow");
    object["server"] = slow.server.str();
    object["speed"] = slow.speed;
    return object;
  }
  Json::Value operator()(const TraceServerDead& dead) const {
    Json::Value object = Typed("server-dead");
    object["server"] = dead.server.str();
    return object;
  }
  Json::Value operator()(const TraceServerBack& back) const {
    Json::Value object = Typed("server-back");
    object["server"] = back.server.str();
    return object;
  }
  Json::Value operator()(const TracePowerCap& cap) const {
    Json::Value object = Typed("power-cap");
    object["watts"] = cap.watts;
    return object;
  }

  static Json::Value Typed(const char* type) {
    Json::Value object(Json::objectValue);
    object["type"] = type;
    return object;
  }
};

schedule::PrefixHash BlockHash(const std::string& text, int index,
                               schedule::PrefixHash previous) {
  std::string content = absl::StrCat(text, "#", index);
  return XXH3_64bits_withSeed(content.data(), content.size(), previous);
}

}  // namespace

Result<Trace> ReadTrace(std::istream& input, const Deployment& deployment) {
  TraceParser parser(deployment);
  for (std::string line; std::getline(input, line);) {
    BOOST_LEAF_CHECK(parser.Line(line));
  }
  return parser.Finish();
}

Result<Trace> ReadTraceFile(const std::string& path,
                            const Deployment& deployment) {
  std::ifstream file(path);
  if (!file) return Fail(Code::kFileUnreadable, path);
  return ReadTrace(file, deployment);
}

void WriteTrace(const Trace& trace, std::ostream& output) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  Json::Value header = BodyWriter::Typed("trace");
  header["version"] = kTraceVersion;
  header["deployment"] = trace.deployment;
  header["note"] = trace.note;
  output << Json::writeString(builder, header) << '\n';
  for (const TraceEvent& event : trace.events) {
    Json::Value object = std::visit(BodyWriter{}, event.body);
    object["at_us"] = Json::Int64{absl::ToInt64Microseconds(event.at)};
    output << Json::writeString(builder, object) << '\n';
  }
}

std::vector<schedule::PrefixHash> PrefixChain(const TraceRequest& request) {
  const int blocks = request.prompt_tokens / kBlock;
  std::vector<schedule::PrefixHash> chain;
  chain.reserve(blocks);
  schedule::PrefixHash previous = 0;
  for (const PrefixSegment& segment : request.prefix) {
    for (int i = 0; i < segment.tokens / kBlock; ++i) {
      previous = BlockHash(segment.name, i, previous);
      chain.push_back(previous);
    }
  }
  for (int i = static_cast<int>(chain.size()); i < blocks; ++i) {
    previous = BlockHash(request.id.str(), i, previous);
    chain.push_back(previous);
  }
  return chain;
}

}  // namespace gentianlb::replay
