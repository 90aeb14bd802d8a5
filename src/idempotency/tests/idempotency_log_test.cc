#include <catch2/catch.hpp>

#include "idempotency/idempotency.h"

namespace limpetlink {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kUnixMs = 1800000000000;

/// One writer and an object API that responds immediately unless a failure is
/// set.
struct LogFixture {
  std::map<std::string, std::string> objects;
  Instant now{};
  // kCreated: no failure
  LogOperationStatus failure = LogOperationStatus::kCreated;
  bool effect_despite_failure = false;
  std::vector<LogAction> actions;
  std::unique_ptr<IdempotencyLog> log;
  int incarnations = 0;
  std::uint64_t next_request = 0;

  LogFixture() { this->Restart(); }

  void Restart() {
    LogOptions options;
    options.writer = "w" + std::to_string(++this->incarnations);
    options.shards = 1;
    options.segments_per_checkpoint = 4;
    options.sealed_part_bytes = 2000;
    this->log = std::make_unique<IdempotencyLog>(options);
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch());
    this->Step(SetLogClock{kUnixMs + elapsed.count()});
  }

  void Step(const LogMessage& message) {
    for (const LogAction& action : this->log->Step(this->now, message)) {
      if (const auto result = this->Execute(action)) {
        this->Step(*result);
      } else {
        this->actions.push_back(action);
      }
    }
  }

  std::optional<LogOperationResult> Execute(const LogAction& action) {
    const bool fails = this->failure != LogOperationStatus::kCreated;
    if (const auto* create = std::get_if<LogCreate>(&action)) {
      const bool effect = !fails || this->effect_despite_failure;
      const bool created =
          effect && this->objects.emplace(create->name, create->bytes).second;
      const auto status =
          created ? LogOperationStatus::kCreated : LogOperationStatus::kExists;
      const auto reported_status = fails ? this->failure : status;
      if (this->effect_despite_failure) {
        this->failure = LogOperationStatus::kCreated;  // fail only once
      }
      return LogOperationResult{create->operation, reported_status, "", {}};
    }
    if (const auto* read = std::get_if<LogRead>(&action)) {
      const auto found = this->objects.find(read->name);
      const bool found_object = found != this->objects.end();
      const auto status = found_object ? LogOperationStatus::kFound
                                       : LogOperationStatus::kAbsent;
      return LogOperationResult{read->operation,
                                fails ? this->failure : status,
                                found_object ? found->second : "",
                                {}};
    }
    if (const auto* list = std::get_if<LogList>(&action)) {
      LogOperationResult result{
          list->operation, LogOperationStatus::kListed, "", {}};
      result.status = fails ? this->failure : result.status;
      for (const auto& [name, bytes] : this->objects) {
        if (name.rfind(list->prefix, 0) == 0) {
          result.names.push_back(name);
        }
      }
      return result;
    }
    if (const auto* erase = std::get_if<LogDelete>(&action)) {
      this->objects.erase(erase->name);
      return LogOperationResult{
          erase->operation, LogOperationStatus::kDeleted, "", {}};
    }
    return std::nullopt;
  }

  /// Claims a key and advances the time until no operation is due.
  RequestId Claim(const std::string& key, const std::string& body = "b",
                  ClaimAttempt attempt = ClaimAttempt::kMaybeRepeated,
                  Duration deadline = seconds(60)) {
    const RequestId request{++this->next_request};
    this->Step(
        ClaimKey{request, {"swan"}, key, body, this->now + deadline, attempt});
    this->AdvanceTime(milliseconds(200));
    return request;
  }

  void AdvanceTime(Duration time) {
    const Instant end = this->now + time;
    while (this->log->NextWakeup() <= end) {
      this->now = std::max(this->now, this->log->NextWakeup());
      this->Step(LogTick{});
    }
    this->now = end;
  }

  void Complete(RequestId request, const std::string& body) {
    StoredOutcome outcome;
    outcome.status = 201;
    outcome.headers = {{"Content-Type", "text/plain"}};
    outcome.body = body;
    this->Step(RecordOutcome{request, outcome});
    this->AdvanceTime(milliseconds(200));
  }

  template <typename T>
  const T* FindAction(RequestId request) const {
    for (const LogAction& action : this->actions) {
      const T* found = std::get_if<T>(&action);
      if (found != nullptr && found->request == request) {
        return found;
      }
    }
    return nullptr;
  }

  ErrorCode RefusalCode(RequestId request) const {
    const auto* refusal = this->FindAction<RefuseClaim>(request);
    REQUIRE(refusal != nullptr);
    return refusal->problem.code;
  }
};

TEST_CASE_METHOD(LogFixture, "key, outcome stored, is replayed by any host") {
  const RequestId first = this->Claim("k");
  REQUIRE(this->FindAction<DispatchClaim>(first) != nullptr);
  this->Complete(first, "dosed\xFF");
  REQUIRE(this->FindAction<OutcomeRecorded>(first) != nullptr);
  CHECK(this->log->Idle());
  SECTION("same incarnation") {}
  SECTION("next incarnation") { this->Restart(); }
  const RequestId second = this->Claim("k");
  const auto* replay = this->FindAction<ReplayOutcome>(second);
  REQUIRE(replay != nullptr);
  CHECK(replay->outcome.status == 201);
  CHECK(replay->outcome.body == "dosed\xFF");
  REQUIRE(replay->outcome.headers.size() == 1);
  CHECK(replay->outcome.headers[0].name == "Content-Type");
  CHECK(this->FindAction<DispatchClaim>(second) == nullptr);
}

TEST_CASE_METHOD(LogFixture, "key, in progress or used before, is refused") {
  const RequestId first = this->Claim("k");
  SECTION("in progress on this host") {
    CHECK(this->RefusalCode(this->Claim("k")) ==
          ErrorCode::kIdempotencyInProgress);
  }
  SECTION("another body") {
    const RequestId other = this->Claim("k", "other");
    CHECK(this->RefusalCode(other) == ErrorCode::kIdempotencyKeyReused);
    CHECK(this->FindAction<RefuseClaim>(other)->problem.outcome ==
          Outcome::kNotRun);
  }
  SECTION("intent of a terminated host") {
    this->Restart();
    const RequestId again = this->Claim("k");
    CHECK(this->RefusalCode(again) == ErrorCode::kIdempotencyOutcomeUnknown);
    CHECK(this->FindAction<RefuseClaim>(again)->problem.outcome ==
          Outcome::kUnknown);
  }
  SECTION("unknown outcome") {
    this->Step(RecordUnknown{first});
    CHECK(this->RefusalCode(this->Claim("k")) ==
          ErrorCode::kIdempotencyOutcomeUnknown);
  }
  SECTION("certainly not run, key is free again") {
    this->Step(RecordNotRun{first});
    this->AdvanceTime(seconds(1));
    CHECK(this->FindAction<DispatchClaim>(this->Claim("k", "other")) !=
          nullptr);
  }
  SECTION("same key of another organisation is independent") {
    const RequestId other{++this->next_request};
    this->Step(ClaimKey{other, {"syrtos"}, "k", "b", this->now + seconds(9)});
    this->AdvanceTime(seconds(1));
    CHECK(this->FindAction<DispatchClaim>(other) != nullptr);
  }
}

TEST_CASE_METHOD(LogFixture,
                 "platform unavailable, claim, is refused at once") {
  this->Claim("before");
  this->failure = LogOperationStatus::kUnavailable;
  const Instant start = this->now;
  const RequestId first = this->Claim("a", "b", ClaimAttempt::kFirst);
  const RequestId again = this->Claim("c");
  CHECK(this->now - start <= milliseconds(400));
  CHECK(this->RefusalCode(first) == ErrorCode::kIdempotencyLogUnavailable);
  const Problem& problem = this->FindAction<RefuseClaim>(first)->problem;
  CHECK(problem.outcome == Outcome::kNotRun);
  CHECK(problem.retry_after.has_value());
  CHECK(this->FindAction<RefuseClaim>(again)->problem.outcome ==
        Outcome::kUnknown);
  this->failure = LogOperationStatus::kCreated;
  this->AdvanceTime(seconds(20));
  CHECK(this->FindAction<DispatchClaim>(this->Claim("a")) != nullptr);
  CHECK(this->FindAction<DispatchClaim>(first) == nullptr);
}

TEST_CASE_METHOD(LogFixture,
                 "create, response lost after the write, dispatches") {
  this->Claim("before");
  this->failure = LogOperationStatus::kLost;
  this->effect_despite_failure = true;
  const RequestId request = this->Claim("k");
  CHECK(this->FindAction<DispatchClaim>(request) != nullptr);
  CHECK(this->log->Counts().lost_responses == 1);
}

TEST_CASE_METHOD(LogFixture,
                 "create, no response at all, frees the key later") {
  this->Claim("before");
  this->failure = LogOperationStatus::kLost;
  const RequestId request = this->Claim("k", "b", ClaimAttempt::kFirst);
  CHECK(this->RefusalCode(request) == ErrorCode::kIdempotencyLogUnavailable);
  this->failure = LogOperationStatus::kCreated;
  this->AdvanceTime(seconds(20));
  CHECK(this->log->Idle() == false);  // "before" is still in progress
  CHECK(this->FindAction<DispatchClaim>(request) == nullptr);
  CHECK(this->FindAction<DispatchClaim>(this->Claim("k")) != nullptr);
}

TEST_CASE_METHOD(LogFixture,
                 "deadline, reached before the write, is not sent") {
  const RequestId late =
      this->Claim("k", "b", ClaimAttempt::kFirst, Duration(0));
  CHECK(this->RefusalCode(late) == ErrorCode::kRequestDeadlineReached);
  this->AdvanceTime(seconds(1));
  CHECK(this->FindAction<DispatchClaim>(this->Claim("k")) != nullptr);
}

TEST_CASE_METHOD(LogFixture, "key, retention has expired, is free again") {
  const RequestId first = this->Claim("k");
  this->Complete(first, "x");
  this->now += hours(23);
  CHECK(this->FindAction<ReplayOutcome>(this->Claim("k")) != nullptr);
  this->now += hours(2);
  CHECK(this->FindAction<DispatchClaim>(this->Claim("k", "other")) != nullptr);
}

TEST_CASE_METHOD(LogFixture,
                 "checkpoints, many orders, limit the stored segments") {
  for (int i = 0; i < 40; ++i) {
    this->Complete(this->Claim("k" + std::to_string(i)), "x");
  }
  std::size_t segments = 0;
  for (const auto& [name, bytes] : this->objects) {
    segments += name.rfind("log/", 0) == 0 ? 1 : 0;
    CHECK(bytes.size() < 1000000);
    CHECK(bytes.find("k39") == std::string::npos);  // no raw keys
  }
  CHECK(segments <= 6);
  this->Restart();
  for (int i = 0; i < 40; ++i) {
    CHECK(
        this->FindAction<ReplayOutcome>(this->Claim("k" + std::to_string(i))));
  }
  SECTION("expired keys, are removed with their parts") {
    this->now += hours(26);
    this->Restart();
    for (int i = 0; i < 4; ++i) {
      this->Complete(this->Claim("new" + std::to_string(i)), "x");
    }
    CHECK(this->log->Shard(0).Keys().Size() <= 4);
    CHECK(this->objects.size() < 10);
  }
}

TEST_CASE_METHOD(LogFixture, "outcome, body too large, stores the rest") {
  const RequestId first = this->Claim("k");
  this->Complete(first, std::string(9000, 'x'));
  this->Restart();
  const RequestId again = this->Claim("k");
  const auto* replay = this->FindAction<ReplayOutcome>(again);
  REQUIRE(replay != nullptr);
  CHECK(replay->outcome.status == 201);
  CHECK_FALSE(replay->outcome.body_stored);
}

TEST_CASE("segment, truncated anywhere, is an error") {
  Segment segment;
  segment.nonce = "w-1";
  segment.records = {IntentRecord{{"key"}, {"c"}, "d", 5, {}},
                     OutcomeRecord{{"key"}, {"c"}, 6, {}}};
  const std::string bytes = EncodeSegment(segment);
  REQUIRE(DecodeSegment(bytes).ok());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeSegment(bytes.substr(0, size)).ok());
  }
  CHECK_FALSE(DecodePart(bytes).ok());
}

}  // namespace
}  // namespace limpetlink
