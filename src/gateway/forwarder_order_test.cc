// The order of the events that a caller gets of a stream, whatever its servers,
// the configuration and roll-outs do meanwhile.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "absl/strings/str_cat.h"
#include "gateway/fake_site_test.h"

namespace gentianlb::gateway {
namespace {

// Returns the events with the ids from `first` to `last`.
std::string Events(int first, int last) {
  std::string events;
  for (int id = first; id <= last; ++id) {
    absl::StrAppend(&events, "id: ", id, "\ndata: ", id, "\n\n");
  }
  return events;
}

// A site whose model service has two servers that run the same version.
struct Fixture {
  Fixture() {
    site.forwarder->SetStreamVersions(&streams);
    site.Configure();
    site.AddServer("llm-a", "llm", 2, "v1");
    site.AddServer("llm-b", "llm", 2, "v1");
    OnServersChanged();
  }

  void OnServersChanged() {
    streams.SetServers(site.directory.AllServers());
    site.forwarder->OnServersChanged();
  }

  // Begins a stream that breaks off after `received`.
  std::shared_ptr<FakeCaller> BeginBroken(const std::string& received) {
    auto caller = site.SendRequest("/resume/1");
    site.last().SendHead(200);
    site.last().SendData(received);
    site.last().Finish(http::TransferEnd::kBroken);
    BOOST_REQUIRE(site.calls.size() == 2u);
    return caller;
  }

  std::shared_ptr<FakeCaller> TakeUp(std::int64_t last_event,
                                     const std::string& first_attempt) {
    return site.SendRequest("/resume/1", "key", last_event,
                            first_attempt.c_str());
  }

  void Reconfigure(const std::function<void(Configuration&)>& change) {
    Configuration configuration = FakeSite::MakeConfiguration(++version);
    change(configuration);
    site.forwarder->SetConfiguration(std::move(configuration));
  }

  FakeSite site;
  std::int64_t version = 1;
  StreamVersions streams{EntryHostId("h"),
                         ZoneId("z"),
                         &site.timers,
                         [this] { return site.now; },
                         {.send = [](const auto&...) {}}};
};

// Guards against a stream that ends as complete because the server at which it
// was to go on answers by an error.
BOOST_AUTO_TEST_CASE(AnErrorOfTheServerThatResumesAStreamIsNotItsEnd) {
  for (const int status : {302, 400, 404, 408, 413, 421, 429, 500, 503}) {
    BOOST_TEST_CONTEXT("status " << status) {
      Fixture fixture;
      const auto caller = fixture.BeginBroken(Events(1, 2));
      fixture.site.last().SendResponse(status, "no");
      BOOST_TEST(!caller->complete);
      BOOST_TEST(caller->aborted);
      BOOST_TEST(caller->body == Events(1, 2));
      BOOST_TEST(fixture.site.forwarder->open_requests() == 0u);
    }
  }
}

// Guards against a stream that is broken off, or goes on at the wrong event,
// though a third server may run it.
BOOST_FIXTURE_TEST_CASE(AStreamGoesOnAfterAnErrorOfAServerThatResumesIt,
                        Fixture) {
  Reconfigure([](Configuration& configuration) {
    configuration.routes[1].max_attempts = 3;
  });
  const auto caller = BeginBroken(Events(1, 2));
  site.last().SendResponse(404, Events(3, 3));
  BOOST_REQUIRE(site.calls.size() == 3u);
  BOOST_TEST(site.last().call.last_event == 2);
  site.last().SendResponse(200, Events(3, 4));
  BOOST_TEST(caller->body == Events(1, 4));
  BOOST_TEST(caller->complete);
}

// Guards against callers who get events again from a server that doesn't go on
// where the stream broke off.
BOOST_AUTO_TEST_CASE(EventsThatAServerWritesAgainAreDropped) {
  for (const int first : {1, 2, 3}) {
    Fixture fixture;
    const auto caller = fixture.BeginBroken(Events(1, 2) + "id: 3\nda");
    BOOST_TEST(fixture.site.last().call.last_event == 2);
    fixture.site.last().SendResponse(200, Events(first, 4));
    BOOST_TEST(caller->body == Events(1, 4));
    BOOST_TEST(caller->complete);
  }
}

// Guards against the events of a run that was preempted and begins anew, and
// against numbers that go back.
BOOST_FIXTURE_TEST_CASE(EventsOutOfOrderInsideAStreamAreDropped, Fixture) {
  const auto caller = site.SendRequest("/stream/1");
  site.last().SendResponse(
      200, Events(1, 3) + Events(1, 4) + Events(2, 2) + Events(5, 5));
  BOOST_TEST(caller->body == Events(1, 5));
  BOOST_TEST(caller->complete);
}

// Guards against an event that is dropped, or taken for one without an id,
// since its first line names the version of the weights.
BOOST_AUTO_TEST_CASE(AnEventThatNamesWeightsHasItsPlaceInTheStream) {
  const std::string event = "weight-versions: 7\nid: 3\ndata: c\n\n";
  Fixture fixture;
  const auto caller = fixture.BeginBroken(Events(1, 2) + event);
  BOOST_TEST(fixture.site.last().call.last_event == 3);
  fixture.site.last().SendResponse(200, event + Events(4, 4));
  BOOST_TEST(caller->body == Events(1, 2) + event + Events(4, 4));
}

// Guards against a stream that is broken off, or run again, though the server
// says that nothing follows its last event.
BOOST_AUTO_TEST_CASE(AStreamOfWhichNothingIsLeftIsComplete) {
  for (const bool unframed : {false, true}) {
    Fixture fixture;
    const auto caller = fixture.BeginBroken(Events(1, 3));
    const auto answer = [&] {
      FakeCall& call = fixture.site.last();
      unframed ? call.SendUnframedHead(200) : call.SendHead(200);
      call.Finish();
    };
    answer();
    BOOST_TEST(caller->body == Events(1, 3));
    BOOST_TEST(caller->complete);
    const auto again = fixture.TakeUp(3, "r1");
    answer();
    BOOST_TEST(again->status == 200);
    BOOST_TEST(again->body.empty());
    BOOST_TEST(again->complete);
    BOOST_TEST(fixture.site.calls.size() == 3u);
  }
}

// Guards against bytes of an earlier attempt, or its end, inside a stream that
// goes on at another server.
BOOST_FIXTURE_TEST_CASE(ALateAnswerOfAnEarlierAttemptIsIgnored, Fixture) {
  const auto caller = BeginBroken(Events(1, 2));
  site.calls[1]->SendHead(200);
  site.calls[0]->SendData(Events(3, 3));
  site.calls[0]->SendData("id: 4\nda");
  site.calls[0]->Finish();
  BOOST_TEST(caller->body == Events(1, 2));
  BOOST_TEST(!caller->complete);
  site.calls[1]->SendData(Events(3, 4));
  site.calls[1]->Finish();
  BOOST_TEST(caller->body == Events(1, 4));
  BOOST_TEST(caller->complete);
}

// Guards against two callers of one stream who get each other's events while
// the first one's host doesn't know yet that it has left.
BOOST_FIXTURE_TEST_CASE(AStreamTakenUpWhileItIsRelayedIsASecondRun, Fixture) {
  const auto first = site.SendRequest("/resume/1");
  site.calls[0]->SendHead(200);
  site.calls[0]->SendData(Events(1, 3));
  const auto second = TakeUp(2, "r1");
  BOOST_REQUIRE(site.calls.size() == 2u);
  site.calls[1]->SendHead(200);
  site.calls[0]->SendData(Events(4, 4));
  site.calls[1]->SendData(Events(3, 4));
  site.calls[0]->Finish(http::TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 3u);
  BOOST_TEST(site.calls[2]->call.last_event == 4);
  site.calls[1]->Finish();
  BOOST_TEST(second->body == Events(3, 4));
  BOOST_TEST(second->complete);
  BOOST_TEST(!first->complete);
  BOOST_TEST(first->body == Events(1, 4));
}

// Guards against a stream that goes on by the routes of a configuration that
// came after it began.
BOOST_AUTO_TEST_CASE(AStreamGoesOnByTheConfigurationOfItsBeginning) {
  const std::function<void(Route&)> changes[] = {
      [](Route& route) { route.resumable = false; },
      [](Route& route) { route.max_attempts = 1; },
      [](Route& route) { route.timeout = absl::Milliseconds(1); },
      [](Route& route) {
        route.services = {{ServiceId("plain"), 1}};
      },
  };
  for (const auto& change : changes) {
    Fixture fixture;
    const auto caller = fixture.site.SendRequest("/resume/1");
    FakeCall& first = fixture.site.last();
    first.SendHead(200);
    first.SendData(Events(1, 2));
    fixture.Reconfigure(
        [&](Configuration& configuration) { change(configuration.routes[1]); });
    fixture.site.AdvanceTime(absl::Milliseconds(100));
    first.Finish(http::TransferEnd::kBroken);
    BOOST_REQUIRE(fixture.site.calls.size() == 2u);
    BOOST_TEST(fixture.site.last().server().starts_with("llm"));
    fixture.site.last().SendResponse(200, Events(3, 4));
    BOOST_TEST(caller->body == Events(1, 4));
    BOOST_TEST(caller->complete);
  }
}

// Guards against a second run of a stream whose route became resumable after it
// began.
BOOST_FIXTURE_TEST_CASE(AStreamThatBeganUnresumableIsBrokenOff, Fixture) {
  const auto caller = site.SendRequest("/stream/1");
  site.last().SendHead(200);
  site.last().SendData(Events(1, 2) + "id: 3\nda");
  Reconfigure([](Configuration& configuration) {
    configuration.routes[0].resumable = true;
  });
  site.last().Finish(http::TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(caller->body == Events(1, 2));
  BOOST_TEST(caller->aborted);
  BOOST_TEST(!caller->complete);
}

// Guards against a stream that goes on at the version with which its server
// has registered again meanwhile.
BOOST_FIXTURE_TEST_CASE(AStreamKeepsTheVersionWithWhichItWasSent, Fixture) {
  const auto caller = site.SendRequest("/resume/1");
  FakeCall& first = site.last();
  first.SendHead(200);
  site.AddServer(first.server(), "llm", 2, "v2");
  OnServersChanged();
  first.SendData(Events(1, 2));
  first.Finish(http::TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.last().call.server.version == "v1");
  const auto again = TakeUp(2, "r1");
  BOOST_REQUIRE(site.calls.size() == 3u);
  BOOST_TEST(site.last().call.server.version == "v1");
}

// Guards against streams of a split route that go on at another service than
// the one that began them.
BOOST_AUTO_TEST_CASE(ATakenUpStreamOfASplitRouteStaysAtItsService) {
  for (int skipped = 0; skipped < 20; ++skipped) {
    Fixture fixture;
    FakeSite& site = fixture.site;
    site.AddServer("other-a", "other", 2, "v1");
    fixture.Reconfigure([](Configuration& configuration) {
      Service other = configuration.services[0];
      other.id = ServiceId("other");
      configuration.services.push_back(other);
      configuration.routes[1].services.push_back({other.id, 1});
    });
    fixture.OnServersChanged();
    site.requests_sent = skipped;
    const auto first = site.SendRequest("/resume/1");
    const std::string attempt = absl::StrCat("r", site.requests_sent);
    site.last().SendHead(200);
    site.last().SendData(Events(1, 2));
    first->on_disconnect();
    fixture.TakeUp(2, attempt);
    BOOST_REQUIRE(site.calls.size() == 2u);
    BOOST_TEST(site.calls[1]->call.server.service.str() ==
               site.calls[0]->call.server.service.str());
  }
}

// A site on which a roll-out from v1 to v2 of the model service is ordered.
struct RolloutFixture : Fixture {
  RolloutFixture() {
    site.forwarder->SetRollouts(&rollouts);
    site.AddServer("new-a", "llm", 2, "v2");
    site.AddServer("new-b", "llm", 2, "v2");
    OnServersChanged();
    rollouts.SetOrder(
        service, RolloutOrder{service, "v2", absl::Seconds(10), 5}, site.now);
    rollouts.Tick({.status_is_current = true}, site.now);
  }

  void SetStatus(RolloutState state, RolloutStage stage) {
    rollouts.SetStatus(service, RolloutStatus{state, "v2", 5, stage, {}},
                       ++status_version, site.now);
    OnServersChanged();
  }

  void RemoveServers(const char* prefix) {
    for (const ServerEntry& server : site.directory.AllServers()) {
      if (!server.id.str().starts_with(prefix)) continue;
      site.directory.Update(server.id.str(), std::nullopt, site.now);
    }
    OnServersChanged();
  }

  const ServiceId service{"llm"};
  std::uint64_t status_version = 6;
  Rollouts rollouts{0.1,
                    {.write = [](const auto&...) {},
                     .on_pools = [this] { site.forwarder->OnServersChanged(); },
                     .open_requests =
                         [this](const ServiceId& pool) {
                           return site.forwarder->OpenRequestsOf(pool);
                         }}};
};

// Guards against a stream of the old version that goes on at the new one once
// all new requests go there.
BOOST_FIXTURE_TEST_CASE(AStreamOfTheOldVersionStaysThere, RolloutFixture) {
  const auto caller = site.SendRequest("/resume/1");
  BOOST_TEST(site.last().call.server.version == "v1");
  site.last().SendHead(200);
  site.last().SendData(Events(1, 2));
  SetStatus(RolloutState::kRunning, RolloutStage::kAll);
  site.calls[0]->Finish(http::TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.last().call.server.version == "v1");
  site.last().SendHead(200);
  site.last().SendData(Events(3, 3));
  // The roll-out is completed, and the old servers are killed.
  SetStatus(RolloutState::kCompleted, RolloutStage::kAll);
  RemoveServers("llm");
  site.calls[1]->Finish(http::TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 2u);
  BOOST_TEST(caller->body == Events(1, 3));
  BOOST_TEST(caller->aborted);
  BOOST_TEST(!caller->complete);
  BOOST_TEST(TakeUp(3, "r1")->status == 503);
}

// Guards against a stream of the new version that goes on at the old one, or
// ends as complete, when the roll-out is reverted.
BOOST_FIXTURE_TEST_CASE(AStreamOfARevertedVersionIsBrokenOff, RolloutFixture) {
  SetStatus(RolloutState::kRunning, RolloutStage::kAll);
  const auto caller = site.SendRequest("/resume/1");
  BOOST_TEST(site.last().call.server.version == "v2");
  site.last().SendHead(200);
  site.last().SendData(Events(1, 2));
  SetStatus(RolloutState::kRolledBack, RolloutStage::kNone);
  BOOST_TEST(!caller->aborted);
  site.last().Finish(http::TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(caller->body == Events(1, 2));
  BOOST_TEST(caller->aborted);
  BOOST_TEST(!caller->complete);
  BOOST_TEST(TakeUp(2, "r1")->status == 503);
  BOOST_TEST(site.calls.size() == 1u);
}

// What the servers of one stream do, drawn at random: each writes the events
// from the one after the last or an earlier one, some twice, in pieces, and
// breaks off anywhere or ends. One that is to go on may answer by an error.
struct RandomServers {
  static constexpr int kEvents = 8;

  explicit RandomServers(unsigned seed) : random(seed) {}

  int Draw(int bound) {
    return static_cast<int>(random() % static_cast<unsigned>(bound));
  }

  std::string Answer(std::int64_t last_event) {
    const int next = static_cast<int>(last_event) + 1;
    std::string answer;
    for (int id = 1 + Draw(next); id <= kEvents; ++id) {
      answer += Events(id, id);
      if (Draw(4) == 0) answer += Events(1 + Draw(id), id);
    }
    return answer;
  }

  // Plays an attempt. Returns whether the whole answer was written.
  bool Play(FakeCall& call) {
    if (call.call.last_event > 0 && Draw(6) == 0) {
      call.SendResponse(404, "no");
      return false;
    }
    std::string answer = Answer(call.call.last_event);
    const bool breaks = Draw(2) == 0;
    if (breaks) {
      answer.resize(random() % (answer.size() + 1));
    }
    call.SendHead(200);
    while (!answer.empty()) {
      const std::string piece = answer.substr(0, 1 + random() % 20);
      answer.erase(0, piece.size());
      call.SendData(piece);
    }
    call.Finish(breaks ? http::TransferEnd::kBroken
                       : http::TransferEnd::kComplete);
    return !breaks;
  }

  std::mt19937_64 random;
};

// Guards against events that are missing, come twice or go back, and against an
// end as complete of an answer that wasn't whole.
BOOST_AUTO_TEST_CASE(WhateverServersDoTheCallerGetsTheEventsInOrder) {
  for (unsigned seed = 1; seed <= 500; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Fixture fixture;
      RandomServers servers(seed);
      const auto caller = fixture.site.SendRequest("/resume/1");
      bool whole = false;
      for (std::size_t i = 0; i < fixture.site.calls.size(); ++i) {
        whole = servers.Play(*fixture.site.calls[i]);
      }
      const std::string all = Events(1, RandomServers::kEvents);
      if (whole) {
        BOOST_TEST(caller->complete);
        BOOST_TEST(caller->body == all);
      } else if (caller->status == 200) {
        BOOST_TEST(!caller->complete);
        BOOST_TEST(caller->aborted);
        BOOST_TEST(all.starts_with(caller->body));
      } else {
        BOOST_TEST(caller->status == 502);  // No event had come.
      }
    }
  }
}

}  // namespace
}  // namespace gentianlb::gateway
