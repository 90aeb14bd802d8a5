#include <catch2/catch.hpp>
#include <iostream>
#include <set>

#include "migration/migration.h"

namespace limpetlink {
namespace {

/// @brief Walks every order of a move's events and checks what it decides
/// against what the source and its copies are known to do.
class MoveOrders {
 public:
  static constexpr int kDepth = 14;

  void Walk() { this->Next(World{}, 0); }

  std::uint64_t States() const { return this->states; }
  const std::string& Failure() const { return this->failure; }

 private:
  struct World {
    StreamMove move{UpstreamId{"source"}, UpstreamId{"first"}};
    CallId command;      // in progress
    bool stops = false;  // the command is for the last transfer
    std::uint64_t last_call = 0;
    bool timer = true;
    bool stopped = false;       // the source ran the order to stop
    bool stop_unknown = false;  // or may have
    bool source_ended = false;
    bool given_up = false;
    std::string copy;  // the latest handle, not yet used or released
    std::string path;
  };

  void Fail(const World& world, const std::string& reason) {
    if (this->failure.empty()) {
      this->failure = reason + " after" + world.path;
    }
  }

  /// @brief Tries all events that can happen now.
  void Next(const World& world, int depth) {
    ++this->states;
    this->CheckEnd(world);
    if (depth >= kDepth || !this->failure.empty()) {
      return;
    }
    if (world.timer) {
      World next = world;
      next.timer = false;
      next.path += " timer";
      this->Act(std::move(next), depth, &StreamMove::OnTimer);
    }
    if (world.command.value != 0) {
      this->EndCommand(world, depth, KvTransferOutcome::kCopied, "copy");
      this->EndCommand(world, depth, KvTransferOutcome::kNoSuchRun, "");
      this->EndCommand(world, depth, KvTransferOutcome::kBusy, "");
      this->EndCommand(world, depth, KvTransferOutcome::kNoCapacity, "");
      this->EndCommand(world, depth, KvTransferOutcome::kUnknown, "");
      if (world.stops) {
        this->EndCommand(world, depth, KvTransferOutcome::kNoCapacity, "kept");
      }
    }
    if (!world.source_ended) {
      this->EndSource(world, depth, SourceEnd::kBroken);
      this->EndSource(world, depth, SourceEnd::kClosed);
      if (!world.stopped) {
        this->EndSource(world, depth, SourceEnd::kWhole);
      }
    }
  }

  void EndCommand(World world, int depth, KvTransferOutcome outcome,
                  const std::string& handle) {
    const KvTransferResult result{outcome, handle, 3};
    if (world.stops) {
      world.stopped = world.stopped || !handle.empty();
      world.stop_unknown =
          world.stop_unknown || outcome == KvTransferOutcome::kUnknown;
    }
    const CallId call = std::exchange(world.command, CallId{});
    if (!handle.empty()) {
      world.copy = handle;
    }
    world.path += " " + std::string(ToText(outcome)) + handle;
    this->Act(std::move(world), depth, [&](StreamMove* move) {
      return move->OnCommandEnd(call, result);
    });
  }

  void EndSource(World world, int depth, SourceEnd end) {
    world.source_ended = true;
    world.path += end == SourceEnd::kBroken   ? " broken"
                  : end == SourceEnd::kClosed ? " closed"
                                              : " whole";
    this->Act(std::move(world), depth,
              [&](StreamMove* move) { return move->OnSourceEnd(end, 3); });
  }

  template <typename F>
  void Act(World world, int depth, F report) {
    MoveAction action;
    if constexpr (std::is_member_function_pointer_v<F>) {
      action = (world.move.*report)();
    } else {
      action = report(&world.move);
    }
    this->Follow(std::move(world), depth, action);
  }

  /// @brief Carries out a step, in each of the ways in which it may go.
  void Follow(World world, int depth, const MoveAction& action) {
    if (!action.unused.empty()) {
      if (action.unused != world.copy) {
        this->Fail(world, "releases a copy that doesn't exist");
      }
      world.copy.clear();
    }
    world.path += "/" + std::string(ToText(action.step));
    switch (action.step) {
      case MoveStep::kNone:
        break;
      case MoveStep::kWait:
        world.timer = true;
        break;
      case MoveStep::kGiveUp:
        world.given_up = true;
        break;
      case MoveStep::kCopy:
      case MoveStep::kStop:
        this->Command(world, depth, action.step == MoveStep::kStop);
        return;
      case MoveStep::kResume:
        if (world.move.Handle().empty() || world.command.value != 0) {
          this->Fail(world, "resumes without a copy or beside a command");
        }
        world.move.End();
        return;
      case MoveStep::kDeliver:
      case MoveStep::kLeave:
        if (world.stopped && world.source_ended &&
            world.path.find("closed") != std::string::npos) {
          this->Fail(world, "takes a stopped stream for a whole one");
        }
        return;
      case MoveStep::kAbort:
        return;
    }
    const bool waits = world.timer || world.command.value != 0;
    if (!waits && !world.given_up && !world.source_ended) {
      this->Fail(world, "waits for nothing");
    }
    this->Next(world, depth + 1);
  }

  void Command(const World& world, int depth, bool stops) {
    if (world.command.value != 0) {
      this->Fail(world, "sends two commands at once");
    }
    if (stops && (world.stopped || world.move.Handle().empty())) {
      this->Fail(world, "stops the source without a copy, or twice");
    }
    World sent = world;
    sent.stops = stops;
    sent.command = CallId{++sent.last_call};
    sent.move.OnCommandSent(sent.command);
    if (!(sent.move.Command() == sent.command)) {
      this->Fail(sent, "doesn't know its command");
    }
    sent.path += " sent";
    this->Next(sent, depth + 1);
    World held = world;
    held.path += " held";
    const MoveAction wait = held.move.OnHeld(Duration{1});
    this->Follow(std::move(held), depth + 1, wait);
    World lost = world;
    lost.path += " no_destination";
    const MoveAction again =
        stops ? lost.move.OnDestinationLost() : lost.move.OnNoDestination();
    this->Follow(std::move(lost), depth + 1, again);
  }

  /// @brief Ends the move here, as when the caller goes.
  void CheckEnd(const World& world) {
    World end = world;
    const MoveRemains remains = end.move.End();
    if (!(remains.command == world.command)) {
      this->Fail(world, "ends without its command");
    }
    if (remains.handle != world.copy) {
      this->Fail(world, "ends without its copy");
    }
    const KvTransferResult late{KvTransferOutcome::kCopied, "late", 1};
    const bool quiet =
        end.move.OnTimer().step == MoveStep::kNone &&
        end.move.OnCommandEnd(world.command, late).step == MoveStep::kNone &&
        end.move.OnSourceEnd(SourceEnd::kBroken, 0).step == MoveStep::kNone &&
        end.move.OnHeld(Duration{1}).step == MoveStep::kNone &&
        end.move.End().handle.empty();
    if (!quiet) {
      this->Fail(world, "goes on behind its end");
    }
  }

  std::uint64_t states = 0;
  std::string failure;
};

// Guards against a command that outlives its move: the entry process ended with
// an exception when the command's response arrived.
TEST_CASE("stream move, every order of its events, keeps its invariants",
          "[migration]") {
  MoveOrders orders;
  orders.Walk();
  std::cout << "orders of a move's events: depth " << MoveOrders::kDepth << ", "
            << orders.States() << " states\n";
  INFO(orders.Failure());
  CHECK(orders.Failure().empty());
  CHECK(orders.States() > 10000);
}

TEST_CASE("stream move, destination lost before the stop, releases its copy",
          "[migration]") {
  StreamMove move(UpstreamId{"source"}, UpstreamId{"first"});
  move.OnCommandSent(CallId{1});
  const KvTransferResult copied{KvTransferOutcome::kCopied, "h1", 2};
  CHECK(move.OnCommandEnd(CallId{1}, copied).step == MoveStep::kStop);
  const MoveAction lost = move.OnDestinationLost();
  CHECK(lost.step == MoveStep::kWait);
  CHECK(lost.unused == "h1");
  CHECK(move.Phase() == MovePhase::kScheduled);
  CHECK(move.OnSourceEnd(SourceEnd::kBroken, 2).step == MoveStep::kLeave);
}

TEST_CASE("stream move, source holds back the stop, keeps its copy",
          "[migration]") {
  StreamMove move(UpstreamId{"source"}, UpstreamId{"first"});
  move.OnCommandSent(CallId{1});
  move.OnCommandEnd(CallId{1}, {KvTransferOutcome::kCopied, "h1", 2});
  CHECK(move.OnHeld(Duration{5}).step == MoveStep::kWait);
  CHECK(move.OnTimer().step == MoveStep::kStop);
  CHECK(move.OnSourceEnd(SourceEnd::kBroken, 2).step == MoveStep::kResume);
}

TEST_CASE("stream move, too many attempts, gives up", "[migration]") {
  StreamMove move(UpstreamId{"source"}, UpstreamId{"first"});
  MoveStep step = MoveStep::kWait;
  int attempts = 0;
  while (step == MoveStep::kWait && attempts < 1000) {
    ++attempts;
    step = move.OnHeld(Duration{1}).step;
  }
  CHECK(step == MoveStep::kGiveUp);
}

}  // namespace
}  // namespace limpetlink
