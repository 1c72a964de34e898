#include "gateway/group_messages.h"

#include <sstream>
#include <utility>

#include "gateway/wire_lists.h"

namespace gentianlb::gateway {
namespace {

constexpr std::string_view kMagic = "GG7";

using schedule::RequestOutcome;

// Unit of the encoded durations. It is fine compared with the milliseconds that
// a datagram takes, and six hours fit into 32 bits.
constexpr std::int64_t kTimeUnitMicroseconds = 10;

// Encodes an infinite duration and absl::InfiniteFuture(). No request lasts as
// long as this value.
constexpr std::int32_t kInfiniteSpan = INT32_MAX;

// Encodes an unknown request limit or slowdown.
constexpr double kUnknownNumber = -1;

class Writer {
 public:
  Writer(std::ostream& out, absl::Time now) : writer_(out), now_(now) {}

  void Put(const GroupMessage& message) {
    WriteText(writer_, message.from.str());
    writer_(static_cast<std::uint8_t>(message.memory));
    WriteList(writer_, message.suspects,
              [&](const schedule::SuspectChange& change) {
                writer_(change.content);
                WriteText(writer_, change.server.str());
                PutSpan(change.age);
              });
    WriteList(writer_, message.parts, [&](const schedule::PartChange& change) {
      writer_(change.part);
      WriteText(writer_, change.server.str());
      writer_(static_cast<std::uint8_t>(change.weight));
      PutSpan(change.age);
    });
    WriteList(writer_, message.leaving, [&](const LeavingServer& server) {
      WriteText(writer_, server.server.str());
      writer_(server.started);
      PutSpan(server.age);
    });
    WriteList(writer_, message.cooldowns,
              [&](const TunnelledCooldown& cooldown) {
                WriteText(writer_, cooldown.server.str());
                writer_(cooldown.started);
                PutSpan(cooldown.left);
              });
    WriteList(writer_, message.events, [&](const AddressedEvent& item) {
      writer_(item.group.service, item.group.group,
              static_cast<std::uint8_t>(item.event.index()));
      std::visit([&](const auto& event) { Put(event); }, item.event);
    });
    WriteList(writer_, message.answers, [&](const GroupAnswer& answer) {
      writer_(static_cast<std::uint8_t>(answer.index()));
      std::visit([&](const auto& alternative) { Put(alternative); }, answer);
    });
    WriteList(writer_, message.capacities, [&](const GroupCapacity& capacity) {
      writer_(capacity.group.service, capacity.group.group,
              capacity.free_streams);
    });
  }

 private:
  void PutSpan(absl::Duration span) {
    if (span == absl::InfiniteDuration()) {
      writer_(kInfiniteSpan);
    } else {
      writer_(static_cast<std::int32_t>(absl::ToInt64Microseconds(span) /
                                        kTimeUnitMicroseconds));
    }
  }
  void PutTime(absl::Time time) { PutSpan(time - now_); }

  void Put(const schedule::Request& request) {
    WriteText(writer_, request.id.str());
    WriteText(writer_, request.workspace.str());
    WriteText(writer_, request.model.str());
    WriteText(writer_, request.avoid.str());
    WriteText(writer_, request.version);
    WriteText(writer_, request.zone.str());
    writer_(static_cast<std::int16_t>(request.tier.rank),
            static_cast<std::int32_t>(request.prompt_tokens),
            static_cast<std::int32_t>(request.max_output_tokens),
            static_cast<std::int32_t>(request.expected_output_tokens),
            static_cast<std::int32_t>(request.body_bytes));
    PutTime(request.arrival);
    PutTime(request.deadline);
    PutTime(request.first_token_due);
    PutSpan(request.max_pause);
    writer_(request.content);
    WriteList(writer_, request.parts, [&](const schedule::PromptPart& part) {
      writer_(part.hash, static_cast<std::int32_t>(part.tokens));
    });
  }
  void Put(const schedule::RequestArrived& event) { Put(event.request); }
  void Put(const schedule::RequestRunning& event) {
    Put(event.request);
    WriteText(writer_, event.server.str());
    writer_(static_cast<std::int32_t>(event.output_tokens));
  }
  void Put(const schedule::CallerDisconnected& event) {
    WriteText(writer_, event.id.str());
  }
  void Put(const schedule::RequestDelayed& event) {
    WriteText(writer_, event.id.str());
  }
  void Put(std::optional<double> number) {
    writer_(static_cast<float>(number.value_or(kUnknownNumber)));
  }
  void Put(const schedule::EventPauses& pauses) {
    PutSpan(pauses.longest);
    PutSpan(pauses.typical);
  }
  void Put(const schedule::TokensStreamed& event) {
    WriteText(writer_, event.id.str());
    writer_(static_cast<std::int32_t>(event.output_tokens));
    Put(event.request_limit);
    Put(event.pauses);
    Put(event.machine_slowdown);
  }
  void Put(const schedule::RequestFinished& event) {
    WriteText(writer_, event.id.str());
    writer_(static_cast<std::uint8_t>(event.kind),
            static_cast<std::int32_t>(event.output_tokens),
            static_cast<std::uint8_t>(event.progress));
    Put(event.request_limit);
    Put(event.pauses);
    Put(event.machine_slowdown);
    WriteList(writer_, event.cooldowns,
              [&](const schedule::ServerCooldown& cooldown) {
                WriteText(writer_, cooldown.server.str());
                PutSpan(cooldown.left);
              });
  }
  void Put(const OpenRequests& open) {
    WriteList(writer_, open.ids,
              [&](const RequestId& id) { WriteText(writer_, id.str()); });
  }
  void Put(const schedule::Grant& grant) {
    WriteText(writer_, grant.id.str());
    WriteText(writer_, grant.server.str());
  }
  void Put(const schedule::Refuse& refusal) {
    WriteText(writer_, refusal.id.str());
    writer_(static_cast<std::int32_t>(refusal.code),
            static_cast<std::int32_t>(
                absl::ToInt64Milliseconds(refusal.retry_after)));
  }
  void Put(const RequestQueued& queued) { WriteText(writer_, queued.id.str()); }

  WireWriter writer_;
  absl::Time now_;
};

class Reader {
 public:
  Reader(std::istream& in, absl::Time now) : reader_(in), now_(now) {}

  void Get(GroupMessage* message) {
    GetId(&message->from);
    GetNumber<std::uint8_t>(&message->memory);
    if (message->memory > MemoryTransfer::kAnswer) {
      throw std::out_of_range("unknown kind of transfer");
    }
    ReadList(reader_, &message->suspects, [&](schedule::SuspectChange& change) {
      reader_(change.content);
      GetId(&change.server);
      GetSpan(&change.age);
    });
    ReadList(reader_, &message->parts, [&](schedule::PartChange& change) {
      reader_(change.part);
      GetId(&change.server);
      GetNumber<std::uint8_t>(&change.weight);
      GetSpan(&change.age);
    });
    ReadList(reader_, &message->leaving, [&](LeavingServer& server) {
      GetId(&server.server);
      reader_(server.started);
      GetSpan(&server.age);
    });
    ReadList(reader_, &message->cooldowns, [&](TunnelledCooldown& cooldown) {
      GetId(&cooldown.server);
      reader_(cooldown.started);
      GetSpan(&cooldown.left);
    });
    ReadList(reader_, &message->events, [&](AddressedEvent& item) {
      std::uint8_t kind = 0;
      reader_(item.group.service, item.group.group, kind);
      GetVariant(kind, &item.event);
    });
    ReadList(reader_, &message->answers, [&](GroupAnswer& answer) {
      std::uint8_t kind = 0;
      reader_(kind);
      GetVariant(kind, &answer);
    });
    ReadList(reader_, &message->capacities, [&](GroupCapacity& capacity) {
      reader_(capacity.group.service, capacity.group.group,
              capacity.free_streams);
    });
  }

 private:
  // Reads the variant alternative with index `kind`.
  template <typename... Types>
  void GetVariant(std::uint8_t kind, std::variant<Types...>* result) {
    std::size_t i = 0;
    bool read = false;
    const auto read_alternative = [&]<typename Type>(Type value) {
      if (i++ != kind) return;
      Get(&value);
      *result = std::move(value);
      read = true;
    };
    (read_alternative(Types()), ...);
    if (!read) throw std::out_of_range("unknown variant index");
  }

  template <typename IdType>
  void GetId(IdType* id) {
    std::string text;
    ReadText(reader_, &text);
    *id = IdType(std::move(text));
  }

  template <typename Type, typename Target>
  void GetNumber(Target* target) {
    Type number = 0;
    reader_(number);
    *target = static_cast<Target>(number);
  }

  void GetSpan(absl::Duration* span) {
    std::int32_t units = 0;
    reader_(units);
    *span = units == kInfiniteSpan
                ? absl::InfiniteDuration()
                : absl::Microseconds(kTimeUnitMicroseconds * units);
  }
  void GetTime(absl::Time* time) {
    absl::Duration span;
    GetSpan(&span);
    *time = now_ + span;
  }

  void Get(schedule::Request* request) {
    GetId(&request->id);
    GetId(&request->workspace);
    GetId(&request->model);
    GetId(&request->avoid);
    ReadText(reader_, &request->version);
    GetId(&request->zone);
    GetNumber<std::int16_t>(&request->tier.rank);
    GetNumber<std::int32_t>(&request->prompt_tokens);
    GetNumber<std::int32_t>(&request->max_output_tokens);
    GetNumber<std::int32_t>(&request->expected_output_tokens);
    GetNumber<std::int32_t>(&request->body_bytes);
    GetTime(&request->arrival);
    GetTime(&request->deadline);
    GetTime(&request->first_token_due);
    GetSpan(&request->max_pause);
    reader_(request->content);
    ReadList(reader_, &request->parts, [&](schedule::PromptPart& part) {
      reader_(part.hash);
      GetNumber<std::int32_t>(&part.tokens);
    });
  }
  void Get(schedule::RequestArrived* event) { Get(&event->request); }
  void Get(schedule::RequestRunning* event) {
    Get(&event->request);
    GetId(&event->server);
    GetNumber<std::int32_t>(&event->output_tokens);
  }
  void Get(schedule::CallerDisconnected* event) { GetId(&event->id); }
  void Get(schedule::RequestDelayed* event) { GetId(&event->id); }
  void Get(std::optional<double>* number) {
    float value = 0;
    reader_(value);
    number->reset();
    if (value >= 0) *number = value;
  }
  void Get(schedule::EventPauses* pauses) {
    GetSpan(&pauses->longest);
    GetSpan(&pauses->typical);
  }
  void Get(schedule::TokensStreamed* event) {
    GetId(&event->id);
    GetNumber<std::int32_t>(&event->output_tokens);
    Get(&event->request_limit);
    Get(&event->pauses);
    Get(&event->machine_slowdown);
  }
  void Get(schedule::RequestFinished* event) {
    GetId(&event->id);
    GetNumber<std::uint8_t>(&event->kind);
    if (event->kind > RequestOutcome::kWithheld) {
      throw std::out_of_range("unknown request outcome");
    }
    GetNumber<std::int32_t>(&event->output_tokens);
    GetNumber<std::uint8_t>(&event->progress);
    if (event->progress > schedule::ResponseProgress::kUnderWay) {
      throw std::out_of_range("unknown progress");
    }
    Get(&event->request_limit);
    Get(&event->pauses);
    Get(&event->machine_slowdown);
    ReadList(reader_, &event->cooldowns,
             [&](schedule::ServerCooldown& cooldown) {
               GetId(&cooldown.server);
               GetSpan(&cooldown.left);
             });
  }
  void Get(OpenRequests* open) {
    ReadList(reader_, &open->ids, [&](RequestId& id) { GetId(&id); });
  }
  void Get(schedule::Grant* grant) {
    GetId(&grant->id);
    GetId(&grant->server);
  }
  void Get(schedule::Refuse* refusal) {
    GetId(&refusal->id);
    GetNumber<std::int32_t>(&refusal->code);
    std::int32_t milliseconds = 0;
    reader_(milliseconds);
    refusal->retry_after = absl::Milliseconds(milliseconds);
  }
  void Get(RequestQueued* queued) { GetId(&queued->id); }

  WireReader reader_;
  absl::Time now_;
};

}  // namespace

std::string Encode(const GroupMessage& message, absl::Time now) {
  std::ostringstream out;
  out << kMagic;
  Writer(out, now).Put(message);
  return out.str();
}

bool IsGroupMessage(std::string_view bytes) {
  return bytes.starts_with(kMagic);
}

std::optional<GroupMessage> DecodeGroupMessage(std::string_view bytes,
                                               absl::Time now) {
  if (!IsGroupMessage(bytes)) return std::nullopt;
  bytes.remove_prefix(kMagic.size());
  std::istringstream in{std::string(bytes)};
  GroupMessage message;
  try {
    Reader(in, now).Get(&message);
  } catch (const std::exception&) {
    return std::nullopt;  // The caller counts malformed messages.
  }
  return message;
}

}  // namespace gentianlb::gateway
