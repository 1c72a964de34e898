#include "settings/host_settings.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "settings/field_reader.h"

namespace gentianlb::settings {
namespace {

// A shorter key can be guessed by brute force.
constexpr std::size_t kMinKeyBytes = 16;

constexpr Range<absl::Duration> kShortRange = {absl::Milliseconds(10),
                                               absl::Minutes(1)};
constexpr Range<absl::Duration> kLongRange = {absl::Seconds(1),
                                              absl::Hours(24)};

// Reads all sections of a document, each with a separate function.
class HostSettingsReader {
 public:
  HostSettingsReader(const Document& document, const std::string& folder,
                     Problems* problems)
      : document_(document), folder_(folder), problems_(problems) {}

  HostSettings Read() {
    for (const Section& section : document_.sections) ReadSection(section);
    RequireSections();
    CheckAddresses();
    CheckPeers();
    CheckPlatform();
    CheckMembership();
    return std::move(settings_);
  }

 private:
  using SectionFunction = void (HostSettingsReader::*)(FieldReader&);

  void ReadSection(const Section& section) {
    static const auto& functions =
        *new absl::flat_hash_map<std::string, SectionFunction>{
            {"host", &HostSettingsReader::ReadHost},
            {"callers", &HostSettingsReader::ReadCallers},
            {"control", &HostSettingsReader::ReadControl},
            {"metrics", &HostSettingsReader::ReadMetrics},
            {"platform", &HostSettingsReader::ReadPlatform},
            {"limits", &HostSettingsReader::ReadLimits},
            {"membership", &HostSettingsReader::ReadMembership},
            {"configuration", &HostSettingsReader::ReadFollow},
            {"log", &HostSettingsReader::ReadLog},
            {"timeline", &HostSettingsReader::ReadTimeline}};
    section_lines_.emplace(section.kind, section.line);
    if (section.kind == "peers") return ReadPeers(section);
    auto found = functions.find(section.kind);
    if (found == functions.end() || !section.name.empty()) {
      return AddProblem(
          section.line, Code::kUnknownSection,
          absl::StrCat("[", section.kind, section.name.empty() ? "" : " ",
                       section.name, "] is not a section of settings"));
    }
    FieldReader reader(document_, section, problems_);
    (this->*found->second)(reader);
    reader.ReportUnknownKeys();
  }

  void ReadHost(FieldReader& reader) {
    std::string id;
    std::string zone;
    reader.Name("id", &id, Need::kRequired);
    reader.Name("zone", &zone, Need::kRequired);
    settings_.id = EntryHostId(id);
    settings_.zone = ZoneId(zone);
    reader.Duration("drain_limit", kLongRange, &settings_.drain_limit);
  }

  void ReadCallers(FieldReader& reader) {
    reader.Address("address", &settings_.callers, Need::kRequired);
    ReadTls(reader, &settings_.callers_tls);
  }

  void ReadControl(FieldReader& reader) {
    reader.Address("address", &settings_.control, Need::kRequired);
    ReadTls(reader, &settings_.control_tls);
    ReadKey(reader, "peer_key", &settings_.peer_key);
    ReadKey(reader, "operator_key", &settings_.operator_key);
    // Otherwise a client of one interface could use the other.
    bool same = settings_.peer_key == settings_.operator_key;
    if (same && !settings_.peer_key.empty()) {
      reader.AddProblem("operator_key", Code::kContradiction,
                        "equals peer_key");
    }
  }

  void ReadMetrics(FieldReader& reader) {
    Endpoint endpoint;
    reader.Address("address", &endpoint, Need::kRequired);
    settings_.metrics = endpoint;
  }

  void ReadPlatform(FieldReader& reader) {
    PlatformSettings& platform = settings_.platform;
    std::vector<std::string> addresses;
    reader.List("addresses", &addresses, Need::kRequired);
    for (const std::string& address : addresses) {
      auto parsed = ParseEndpoint(address);
      if (parsed.ok()) platform.addresses.push_back(parsed.value());
      if (!parsed.ok()) {
        reader.AddProblem("addresses", parsed.error().code,
                          parsed.error().detail);
      }
    }
    reader.Duration("timeout", kShortRange, &platform.timeout);
    reader.Duration("retry_least", kShortRange, &platform.min_delay);
    reader.Duration("retry_most", kShortRange, &platform.max_delay);
    reader.Duration("list_period", kShortRange, &platform.list_period);
  }

  void ReadLimits(FieldReader& reader) {
    LimitSettings& limits = settings_.limits;
    reader.Size("body", {1024, std::int64_t{1} << 30}, &limits.body_bytes);
    reader.Size("header", {1024, 1 << 20}, &limits.header_bytes);
    reader.Duration("idle_timeout", kLongRange, &limits.idle_timeout);
    reader.Integer("connections", {1, 100000}, &limits.connections);
    reader.Integer("threads", {1, 64}, &limits.threads);
  }

  void ReadMembership(FieldReader& reader) {
    MembershipSettings& membership = settings_.membership;
    reader.Duration("heartbeat", kShortRange, &membership.heartbeat);
    reader.Duration("suspect_after", kShortRange, &membership.suspect_after);
    reader.Duration("forget_after", kLongRange, &membership.forget_after);
    reader.Duration("lease", {absl::Seconds(1), absl::Minutes(10)},
                    &membership.lease);
    reader.Integer("fanout", {1, 16}, &membership.fanout);
  }

  void ReadFollow(FieldReader& reader) {
    reader.Duration("period", {absl::Milliseconds(100), absl::Minutes(5)},
                    &settings_.follow.period);
  }

  void ReadLog(FieldReader& reader) {
    reader.Text("folder", &settings_.log.folder);
    reader.Choice<int>("level", {{"info", 0}, {"warning", 1}, {"error", 2}},
                       &settings_.log.level);
  }

  void ReadTimeline(FieldReader& reader) {
    reader.Integer("events", {100, 1000000}, &settings_.timeline_events);
  }

  // Reads one peer per line: `id = IP:PORT` of its control address.
  void ReadPeers(const Section& section) {
    FieldReader reader(document_, section, problems_);
    for (const Entry& entry : section.entries) {
      PeerSettings peer;
      peer.id = EntryHostId(entry.key);
      reader.Address(entry.key, &peer.control);
      settings_.peers.push_back(std::move(peer));
    }
  }

  // Reads a key from `key` or from the file that `<key>_file` names.
  void ReadKey(FieldReader& reader, const std::string& key, std::string* out) {
    std::string file_key = key + "_file";
    bool has_key = reader.Has(key);
    bool has_file = reader.Has(file_key);
    if (has_key && has_file) {
      return reader.AddProblem(file_key, Code::kContradiction,
                               "and " + key + " are both set");
    }
    if (!has_key && !has_file) {
      return reader.AddProblem(key, Code::kMissingSetting,
                               "or " + file_key + " is missing in [control]");
    }
    if (has_key) reader.Text(key, out);
    if (has_file) ReadFileSetting(reader, file_key, out);
    *out = std::string(absl::StripAsciiWhitespace(*out));
    // No message may contain the text of a key.
    if (!out->empty() && out->size() < kMinKeyBytes) {
      reader.AddProblem(
          has_key ? key : file_key, Code::kOutOfRange,
          absl::StrCat("must have at least ", kMinKeyBytes, " bytes"));
    }
  }

  void ReadTls(FieldReader& reader, TlsSettings* tls) {
    bool certificate = reader.Has("certificate_file");
    bool key = reader.Has("private_key_file");
    if (certificate) {
      ReadFileSetting(reader, "certificate_file", &tls->certificate_pem);
    }
    if (key) ReadFileSetting(reader, "private_key_file", &tls->private_key_pem);
    // With only one of them the port would be unencrypted.
    if (certificate == key) return;
    reader.AddProblem(certificate ? "certificate_file" : "private_key_file",
                      Code::kContradiction,
                      "needs certificate_file and private_key_file together");
  }

  void ReadFileSetting(FieldReader& reader, const std::string& key,
                       std::string* out) {
    std::string path;
    reader.Text(key, &path);
    if (path.empty()) return;
    if (path[0] != '/') path = absl::StrCat(folder_, "/", path);
    auto text = ReadFile(path);
    if (!text.ok()) {
      return reader.AddProblem(key, text.error().code, text.error().detail);
    }
    *out = text.value();
    if (out->empty()) reader.AddProblem(key, Code::kMissingSetting, "is empty");
  }

  void RequireSections() {
    for (const char* kind : {"host", "callers", "control", "platform"}) {
      if (section_lines_.contains(kind)) continue;
      AddProblem(0, Code::kMissingSetting,
                 absl::StrCat("[", kind, "] is missing"));
    }
  }

  void CheckAddresses() {
    // The kernel rejects the second of two equal ports.
    bool same_port = settings_.callers.port != 0 &&
                     settings_.callers.port == settings_.control.port;
    if (same_port) {
      AddProblem(Line("control"), Code::kContradiction,
                 "[control] has the port of [callers]");
    }
    if (!settings_.metrics || settings_.metrics->port == 0) return;
    int port = settings_.metrics->port;
    bool differs_from_callers = port != settings_.callers.port;
    if (differs_from_callers && port != settings_.control.port) return;
    AddProblem(Line("metrics"), Code::kContradiction,
               "[metrics] has the port of another section");
  }

  void CheckPeers() {
    absl::flat_hash_set<std::string> addresses;
    for (const PeerSettings& peer : settings_.peers) {
      std::string address = Format(peer.control);
      if (peer.id == settings_.id) {
        AddProblem(Line("peers"), Code::kContradiction,
                   absl::StrCat(peer.id.str(), " is this host itself"));
      }
      if (!peer.control.ip.empty() && peer.control.port == 0) {
        AddProblem(Line("peers"), Code::kOutOfRange,
                   absl::StrCat(peer.id.str(), " has no port"));
      }
      if (!peer.control.ip.empty() && !addresses.insert(address).second) {
        AddProblem(Line("peers"), Code::kContradiction,
                   absl::StrCat(address, " is the address of two peers"));
      }
    }
  }

  void CheckPlatform() {
    if (settings_.platform.min_delay <= settings_.platform.max_delay) return;
    AddProblem(Line("platform"), Code::kContradiction,
               "retry_least is longer than retry_most");
  }

  void CheckMembership() {
    const MembershipSettings& membership = settings_.membership;
    // Otherwise a single lost message would make a healthy host a suspect.
    if (membership.suspect_after < 2 * membership.heartbeat) {
      AddProblem(Line("membership"), Code::kContradiction,
                 "suspect_after is under two heartbeats");
    }
    if (membership.forget_after <= membership.suspect_after) {
      AddProblem(Line("membership"), Code::kContradiction,
                 "forget_after is not longer than suspect_after");
    }
  }

  int Line(const std::string& kind) const {
    auto found = section_lines_.find(kind);
    return found == section_lines_.end() ? 0 : found->second;
  }

  void AddProblem(int line, Code code, std::string text) {
    problems_->push_back({document_.file, line, code, std::move(text)});
  }

  const Document& document_;
  const std::string& folder_;
  Problems* problems_;
  HostSettings settings_;
  absl::flat_hash_map<std::string, int> section_lines_;
};

}  // namespace

HostSettings ReadHostSettings(const Document& document,
                              const std::string& folder, Problems* problems) {
  return HostSettingsReader(document, folder, problems).Read();
}

Outcome<HostSettings> LoadHostSettings(const std::string& path) {
  auto text = ReadFile(path);
  if (!text.ok()) return text.error();
  Problems problems;
  Document document = ParseDocument(path, text.value(), &problems);
  HostSettings settings = ReadHostSettings(document, FolderOf(path), &problems);
  if (!problems.empty()) return ToError(std::move(problems));
  return settings;
}

std::string FolderOf(std::string_view path) {
  std::size_t slash = path.rfind('/');
  if (slash == std::string_view::npos) return ".";
  return std::string(path.substr(0, slash));
}

}  // namespace gentianlb::settings
