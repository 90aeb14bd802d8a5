#include <catch2/catch.hpp>

#include "streams/streams.h"

namespace limpetlink {
namespace {

struct StreamFixture {
  Instant now{};
  StreamOptions options;
  Stream stream{options};

  StreamActions Step(StreamMessage message) {
    return this->stream.Step(this->now, std::move(message));
  }
  StreamActions ReceiveToken(std::uint32_t attempt, std::uint64_t offset) {
    return this->Step(
        StreamFrame{attempt, {{"g1"}, offset, "t", std::nullopt}});
  }
  void BeginWithTokens(std::uint64_t count) {
    this->Step(StreamBegin{{"g1"}, {"w1"}});
    for (std::uint64_t i = 0; i < count; ++i) {
      REQUIRE(this->ReceiveToken(1, i).size() == 1);
    }
  }
  StreamActions TickUntilGenerationLost() {
    StreamActions last;
    while (this->stream.Phase() == StreamPhase::kCalling ||
           this->stream.Phase() == StreamPhase::kBackoff) {
      this->now = this->stream.NextWakeup();
      last = this->Step(StreamTick{});
    }
    return last;
  }
};

template <typename T>
const T* Find(const StreamActions& actions) {
  for (const StreamAction& action : actions) {
    if (const T* found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

TEST_CASE_METHOD(StreamFixture, "stream, unexpected frame, is dropped") {
  this->BeginWithTokens(2);
  SECTION("duplicate") {
    CHECK(this->ReceiveToken(1, 1).empty());
    CHECK(this->stream.Counts().duplicates == 1);
  }
  SECTION("other generation") {
    const EngineFrame frame{{"g0"}, 2, "t", std::nullopt};
    CHECK(this->Step(StreamFrame{1, frame}).empty());
    CHECK(this->stream.Counts().stale == 1);
  }
  SECTION("gap, resumes at the expected offset") {
    const StreamActions actions = this->ReceiveToken(1, 3);
    CHECK(Find<DeliverToken>(actions) == nullptr);
    REQUIRE(Find<ResumeCall>(actions) != nullptr);
    CHECK(Find<ResumeCall>(actions)->offset == 2);
    CHECK(this->ReceiveToken(1, 2).empty());
    CHECK(this->stream.Counts().late == 1);
    CHECK(Find<DeliverToken>(this->ReceiveToken(2, 2)) != nullptr);
  }
  SECTION("finish with another token count") {
    const EngineFrame finish{{"g1"}, 1, "", FinishReason::kStop};
    CHECK(this->Step(StreamFrame{1, finish}).empty());
    CHECK(this->stream.Phase() == StreamPhase::kCalling);
  }
}

TEST_CASE_METHOD(StreamFixture, "stream, finish frame, ends once") {
  this->BeginWithTokens(2);
  const EngineFrame finish{{"g1"}, 2, "", FinishReason::kStop};
  const StreamActions actions = this->Step(StreamFrame{1, finish});
  REQUIRE(Find<FinishStream>(actions) != nullptr);
  CHECK(Find<FinishStream>(actions)->tokens == 2);
  CHECK(this->Step(StreamFrame{1, finish}).empty());
  CHECK(this->Step(StreamCallEnded{1, StreamCallEnd::kCut}).empty());
  CHECK(this->Step(StreamCallerLeft{}).empty());
  CHECK(this->stream.NextWakeup() == kNever);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream, connection broken, resumes at the same worker") {
  this->BeginWithTokens(3);
  const StreamActions actions =
      this->Step(StreamCallEnded{1, StreamCallEnd::kCut});
  REQUIRE(Find<ResumeCall>(actions) != nullptr);
  CHECK(Find<ResumeCall>(actions)->generation == GenerationId{"g1"});
  CHECK(Find<ResumeCall>(actions)->offset == 3);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream, unresponsive engine, loses its generation") {
  SECTION("tokens delivered, route restarts") {
    this->BeginWithTokens(3);
    const StreamActions lost = this->TickUntilGenerationLost();
    CHECK(Find<CancelGeneration>(lost) != nullptr);
    REQUIRE(Find<RequestNewWorker>(lost) != nullptr);
    CHECK(Find<RequestNewWorker>(lost)->delivered == 3);
    const StreamActions begun = this->Step(StreamBegin{{"g2"}, {"w2"}});
    REQUIRE(Find<RestartStream>(begun) != nullptr);
    CHECK(Find<RestartStream>(begun)->dropped_tokens == 3);
    CHECK(this->stream.NextOffset() == 0);
  }
  SECTION("nothing delivered, reruns unnoticed by the caller") {
    this->Step(StreamBegin{{"g1"}, {"w1"}});
    REQUIRE(Find<RequestNewWorker>(this->TickUntilGenerationLost()) != nullptr);
    const StreamActions begun = this->Step(StreamBegin{{"g2"}, {"w2"}});
    CHECK(Find<RestartStream>(begun) == nullptr);
    CHECK(this->stream.Counts().silent_reruns == 1);
  }
  SECTION("tokens delivered, route ends") {
    this->options.on_loss = OnLoss::kEnd;
    this->stream = Stream(this->options);
    this->BeginWithTokens(3);
    const StreamActions lost = this->TickUntilGenerationLost();
    REQUIRE(Find<EndIncomplete>(lost) != nullptr);
    CHECK(Find<EndIncomplete>(lost)->tokens == 3);
    CHECK(Find<EndIncomplete>(lost)->problem.outcome == Outcome::kRan);
  }
}

TEST_CASE_METHOD(StreamFixture,
                 "stream, two engines lost in its first output, is not sent to "
                 "a third") {
  this->Step(StreamBegin{{"g1"}, {"w1"}});
  REQUIRE(Find<RequestNewWorker>(this->TickUntilGenerationLost()) != nullptr);
  this->Step(StreamBegin{{"g2"}, {"w2"}});
  const StreamActions lost = this->TickUntilGenerationLost();
  CHECK(Find<RequestNewWorker>(lost) == nullptr);
  REQUIRE(Find<EndIncomplete>(lost) != nullptr);
  CHECK(Find<EndIncomplete>(lost)->problem.code == ErrorCode::kStreamLost);
  CHECK(Find<EndIncomplete>(lost)->problem.outcome == Outcome::kUnknown);
}

TEST_CASE_METHOD(StreamFixture,
                 "stream, aborted, reports no outcome that may be false") {
  const Problem problem{ErrorCode::kRoutingNoUpstream, Outcome::kNotRun, "",
                        std::nullopt};
  const auto outcome = [&] {
    return Find<EndIncomplete>(this->Step(StreamAbort{problem}))
        ->problem.outcome;
  };
  SECTION("before any call") { CHECK(outcome() == Outcome::kNotRun); }
  this->Step(StreamBegin{{"g1"}, {"w1"}});
  SECTION("call open") { CHECK(outcome() == Outcome::kUnknown); }
  SECTION("not connected") {
    this->Step(StreamCallEnded{1, StreamCallEnd::kNotConnected});
    CHECK(outcome() == Outcome::kNotRun);
  }
  SECTION("refused") {
    this->Step(StreamCallEnded{1, StreamCallEnd::kRefused});
    CHECK(outcome() == Outcome::kNotRun);
  }
  SECTION("cut, then unknown generation, then not connected elsewhere") {
    this->Step(StreamCallEnded{1, StreamCallEnd::kCut});
    this->Step(StreamCallEnded{2, StreamCallEnd::kUnknownGeneration});
    this->Step(StreamBegin{{"g2"}, {"w2"}});
    this->Step(StreamCallEnded{3, StreamCallEnd::kNotConnected});
    CHECK(outcome() == Outcome::kUnknown);
  }
}

TEST_CASE_METHOD(StreamFixture, "stream, slow caller, pauses the call") {
  this->options.high_buffer_bytes = 500;
  this->options.low_buffer_bytes = 100;
  this->stream = Stream(this->options);
  this->BeginWithTokens(2);
  REQUIRE(Find<PauseCall>(this->ReceiveToken(1, 2)) != nullptr);
  CHECK(this->stream.NextWakeup() == kNever);
  CHECK(this->Step(StreamBufferDrained{101}).empty());
  SECTION("drained, resumes reading") {
    const StreamActions actions = this->Step(StreamBufferDrained{100});
    REQUIRE(Find<PauseCall>(actions) != nullptr);
    CHECK_FALSE(Find<PauseCall>(actions)->paused);
  }
  SECTION("cut while paused, resumes only when drained") {
    CHECK(this->Step(StreamCallEnded{1, StreamCallEnd::kCut}).empty());
    REQUIRE(Find<ResumeCall>(this->Step(StreamBufferDrained{0})) != nullptr);
  }
}

TEST_CASE_METHOD(StreamFixture, "stream, caller left, cancels") {
  this->BeginWithTokens(1);
  SECTION("by a live host") {
    CHECK(Find<CancelGeneration>(this->Step(StreamCallerLeft{true})));
  }
  SECTION("by a host that was frozen, only closes its call") {
    const StreamActions actions = this->Step(StreamCallerLeft{false});
    CHECK(Find<CancelGeneration>(actions) == nullptr);
    CHECK(Find<AbandonCall>(actions) != nullptr);
  }
}

TEST_CASE_METHOD(StreamFixture,
                 "stream, resumed at another host, continues at the offset") {
  const StreamActions actions = this->Step(StreamResume{{"g1"}, {"w1"}, 7});
  REQUIRE(Find<ResumeCall>(actions) != nullptr);
  CHECK(Find<ResumeCall>(actions)->offset == 7);
  CHECK(this->ReceiveToken(1, 6).empty());
  CHECK(Find<DeliverToken>(this->ReceiveToken(1, 7)) != nullptr);
}

}  // namespace
}  // namespace limpetlink
