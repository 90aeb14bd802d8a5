// Every order, up to a depth, of the events around a stream's move, at a host.
#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

#include "gateway/tests/gateway_fixture.h"

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class MoveEvent {
  kCopied,
  kNoSuchRun,
  kNoCapacity,
  kKeptAtSource,
  kPause,
  kCommandCut,
  kSourceCloses,
  kSourceBreaks,
  kSourceContinues,
  kDestinationLeaves,
  kTimePasses,
  kCallerLeaves,
  kDeadline,
  kHostStops,
};

constexpr MoveEvent kAll[] = {
    MoveEvent::kCopied,          MoveEvent::kNoSuchRun,
    MoveEvent::kNoCapacity,      MoveEvent::kKeptAtSource,
    MoveEvent::kPause,           MoveEvent::kCommandCut,
    MoveEvent::kSourceCloses,    MoveEvent::kSourceBreaks,
    MoveEvent::kSourceContinues, MoveEvent::kDestinationLeaves,
    MoveEvent::kTimePasses,      MoveEvent::kCallerLeaves,
    MoveEvent::kDeadline,        MoveEvent::kHostStops};

/// @brief A stream at a leaving worker, whose first transfer was commanded.
class MoveFixture : public GatewayFixture {
 public:
  explicit MoveFixture(bool until_close) {
    this->until_close = until_close;
    for (const char* name : {"engine-1", "engine-2", "engine-3"}) {
      this->Register(name, "engines");
    }
    this->id = this->SendRequest("/stream/7");
    this->source_call = this->Call();
    this->source = HeaderOf(this->source_call.headers, "worker");
    this->RespondHead(this->source_call, 200);
    this->RespondBytes(this->source_call, "id: 1\n\n");
    this->Register(this->source, "engines", true);
    this->Respond(this->CallTo(this->source + ":80/report"), 200, "");
    this->Advance(milliseconds(20));
    this->Collect();
  }

  /// @return whether the event can happen now
  bool Apply(MoveEvent event) {
    const bool has_command = !this->command.url.empty();
    switch (event) {
      case MoveEvent::kCopied:
        return has_command && this->EndCommand(200, "h,1", {});
      case MoveEvent::kNoSuchRun:
        return has_command && this->EndCommand(404, "", {});
      case MoveEvent::kNoCapacity:
        return has_command && this->EndCommand(503, "", {});
      case MoveEvent::kKeptAtSource:
        return this->stops && has_command && this->EndCommand(503, "k,1", {});
      case MoveEvent::kPause:
        return has_command && this->EndCommand(503, "", {{"pause-ms", "100"}});
      case MoveEvent::kCommandCut:
        if (has_command) {
          const HttpCall ended = std::exchange(this->command, {});
          this->EndCall(ended, HttpEnd::kCut);
        }
        break;
      case MoveEvent::kSourceCloses:
      case MoveEvent::kSourceBreaks:
        if (!this->SourceRuns()) {
          return false;
        }
        this->source_ended = true;
        this->EndCall(this->source_call, event == MoveEvent::kSourceCloses
                                             ? HttpEnd::kComplete
                                             : HttpEnd::kCut);
        break;
      case MoveEvent::kSourceContinues:
        if (!this->SourceRuns()) {
          return false;
        }
        ++this->events;
        this->RespondBytes(this->source_call,
                           "id: " + std::to_string(this->events) + "\n\n");
        break;
      case MoveEvent::kDestinationLeaves:
        if (this->destination.empty()) {
          return false;
        }
        this->Unregister(this->destination);
        break;
      case MoveEvent::kTimePasses:
        this->Advance(milliseconds(70));
        break;
      case MoveEvent::kCallerLeaves:
        if (this->Ended()) {
          return false;
        }
        this->caller_left = true;
        this->Disconnect(this->id);
        break;
      case MoveEvent::kDeadline:
        this->Advance(seconds(5));
        break;
      case MoveEvent::kHostStops:
        this->Drain();
        this->now += seconds(60);
        this->Deliver(WallClockRead{});
        break;
    }
    this->Collect();
    return true;
  }

  bool Ended() { return this->caller_left || this->ResponseTo(this->id).ended; }

  /// @brief Lets everything end that is left, and returns what is wrong.
  std::string Finish() {
    if (!this->Ended()) {
      this->Advance(seconds(8));
      this->Collect();
    }
    const CallerResponse& response = this->ResponseTo(this->id);
    if (!this->Ended()) {
      return "the caller's request has no end";
    }
    if (this->RunningStreams() > 0) {
      return "a run outlives its request";
    }
    if (!this->command.url.empty() && !this->Cancelled(this->command)) {
      return "a command outlives its request";
    }
    for (const HttpCall& each : this->commands) {
      this->EndCall(each);  // late responses are ignored
    }
    const bool complete = response.ended && !response.aborted;
    if (complete && response.status == 200 && this->stop_confirmed &&
        this->until_close) {
      return "a stopped stream ends as complete";
    }
    std::string expected;
    for (int i = 1; i <= this->events; ++i) {
      expected += "id: " + std::to_string(i) + "\n\n";
    }
    return expected.find(response.body) == 0
               ? this->problem
               : "the caller has other events than the source sent";
  }

 private:
  bool EndCommand(int status, const std::string& body, Headers extra) {
    const HttpCall ended = std::exchange(this->command, {});
    this->stop_confirmed =
        this->stop_confirmed || (this->stops && !body.empty());
    const bool kept = std::exchange(this->until_close, false);
    this->Respond(ended, status, body, std::move(extra));
    this->until_close = kept;
    this->Collect();
    return true;
  }

  bool SourceRuns() {
    return !this->source_ended && !this->Cancelled(this->source_call);
  }

  std::size_t RunningStreams() {
    std::size_t running = this->SourceRuns() ? 1 : 0;
    for (const HttpCall& call : this->resumed) {
      running += this->Cancelled(call) ? 0 : 1;
    }
    return running;
  }

  void Collect() {
    for (HttpCall& call : this->TakeCalls()) {
      const auto ends_with = [&call](const std::string& text) {
        return call.url.size() >= text.size() &&
               call.url.compare(call.url.size() - text.size(), text.size(),
                                text) == 0;
      };
      const bool stop = ends_with("/finish");
      if (stop || ends_with("/copy")) {
        if (!this->command.url.empty() && !this->Cancelled(this->command)) {
          this->problem = "two commands at once";
        }
        this->destination = call.body.substr(call.body.find('>') + 1);
        this->destination.resize(this->destination.find(':'));
        this->stops = stop;
        this->command = call;
        this->commands.push_back(call);
      } else if (call.url.find("/stream/") != std::string::npos) {
        this->resumed.push_back(call);
      } else {
        this->commands.push_back(call);
      }
    }
    if (this->RunningStreams() > 1) {
      this->problem = "two runs at once";
    }
  }

  RequestId id;
  HttpCall source_call;
  std::string source;
  HttpCall command;  // in progress, unless its URL is empty
  std::vector<HttpCall> commands;
  std::vector<HttpCall> resumed;
  std::string destination;
  std::string problem;
  int events = 1;
  bool stops = false;
  bool stop_confirmed = false;
  bool source_ended = false;
  bool caller_left = false;
};

/// @brief Replays every sequence of events up to a depth.
struct MoveWalk {
  static constexpr std::size_t kDepth = 4;

  void Next(std::vector<MoveEvent>* path) {
    for (const MoveEvent event : kAll) {
      path->push_back(event);
      MoveFixture fixture(this->until_close);
      bool possible = true;
      for (const MoveEvent each : *path) {
        possible = possible && fixture.Apply(each);
      }
      if (possible) {
        ++this->sequences;
        const bool ended = fixture.Ended();
        const std::string problem = fixture.Finish();
        if (!problem.empty() && this->failure.empty()) {
          this->failure = problem + " after";
          for (const MoveEvent each : *path) {
            this->failure += " " + std::to_string(static_cast<int>(each));
          }
        }
        if (!ended && path->size() < kDepth) {
          this->Next(path);
        }
      }
      path->pop_back();
    }
  }

  bool until_close = false;
  std::uint64_t sequences = 0;
  std::string failure;
};

void WalkOrders(bool until_close) {
  MoveWalk walk;
  walk.until_close = until_close;
  std::vector<MoveEvent> path;
  walk.Next(&path);
  std::cout << "orders around a move: depth " << MoveWalk::kDepth << ", "
            << walk.sequences << " sequences\n";
  INFO(walk.failure);
  CHECK(walk.failure.empty());
  CHECK(walk.sequences > 1000);
}

// These guard against events of a move in an unforeseen order: a command's
// response that found neither request nor move ended the entry process.
TEST_CASE("stream migration, every order of events, ends each request once",
          "[gateway]") {
  WalkOrders(false);
}

TEST_CASE(
    "stream migration, every order of events around a stream without a length, "
    "ends each request once",
    "[gateway]") {
  WalkOrders(true);
}

}  // namespace
}  // namespace limpetlink::testing
