#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "decoding/decoding.h"
#include "placement/placement.h"

namespace limpetlink {
namespace {

constexpr std::size_t kMaxResponseBytes = 64UL * 1024UL;
constexpr Duration kMinWeightsDelay = std::chrono::seconds(2);
constexpr Duration kBackoffBase = std::chrono::seconds(2);
constexpr std::uint32_t kMaxDoublings = 6;

std::uint64_t ParseFence(const std::string& body) {
  const nlohmann::json value = DecodeJsonOrDiscard(body);
  const bool well_formed = value.is_object() && value.contains("fence") &&
                           value["fence"].is_number_unsigned();
  return well_formed ? value["fence"].get<std::uint64_t>() : 0;
}

}  // namespace

bool PlacementController::OnHead(Instant now, const HttpHead& head) {
  const auto found = this->calls.find(head.id.value);
  if (found == this->calls.end()) {
    return false;
  }
  found->second.status = head.status;
  found->second.headers = head.headers;
  if (found->second.kind == CallKind::kWeights) {
    this->actions.emplace_back(HttpCancel{head.id});  // the status suffices
    this->FinishCall(now, head.id.value, true);
  }
  return true;
}

bool PlacementController::OnChunk(Instant /*now*/, const HttpChunk& chunk) {
  const auto found = this->calls.find(chunk.id.value);
  if (found == this->calls.end()) {
    return false;
  }
  std::string& body = found->second.body;
  if (body.size() + chunk.bytes.size() <= kMaxResponseBytes) {
    body += chunk.bytes;
  }
  return true;
}

bool PlacementController::OnDone(Instant now, const HttpDone& done) {
  const auto found = this->calls.find(done.id.value);
  if (found == this->calls.end()) {
    return false;
  }
  const bool completed =
      done.end == HttpEnd::kComplete && found->second.status != 0;
  this->FinishCall(now, done.id.value, completed);
  return true;
}

void PlacementController::FinishCall(Instant now, std::uint64_t id,
                                     bool completed) {
  const Call call = this->calls.at(id);
  this->calls.erase(id);
  switch (call.kind) {
    case CallKind::kReport:
      this->HandleReport(now, call, completed);
      break;
    case CallKind::kCommand:
      this->HandleCommandResult(now, call, completed);
      break;
    case CallKind::kWeights:
      this->HandleWeights(now, call, completed);
      break;
  }
  this->next_tick = std::min(this->next_tick, now);
}

void PlacementController::ScheduleRetry(Instant now, Engine* engine) {
  const std::uint32_t doublings = std::min(engine->failures, kMaxDoublings);
  ++engine->failures;
  const Duration backoff = kBackoffBase * (1U << doublings);
  engine->not_before =
      now + FromSeconds(ToSeconds(backoff) * (0.5 + this->random.Fraction()));
}

void PlacementController::HandleReport(Instant now, const Call& call,
                                       bool completed) {
  const auto found = this->engines.find(call.engine);
  if (found == this->engines.end()) {
    return;
  }
  Engine& engine = found->second;
  engine.call = 0;
  if (!completed || call.status != 200) {
    engine.known = false;
    return;
  }
  const auto report = ParseEngineStateReport(call.body);
  if (!report) {
    ++this->counters.malformed_reports;
    engine.known = false;
    return;
  }
  ++this->counters.reports;
  engine.known = true;
  engine.report = *report;
  if (engine.command_sent_at == kNever) {
    return;
  }
  const bool own = report->command_id == engine.command_id;
  const bool done = report->state == engine.desired;
  const bool failed = own && report->command_state == "failed";
  const bool timed_out =
      now - engine.command_sent_at >= this->settings.command_timeout;
  const bool lost =
      !own && now - engine.command_sent_at >= this->settings.max_command_delay;
  const bool superseded = own && report->command_state == "done" && !done;
  if (done) {
    ++this->counters.verified;
    engine.failures = 0;
    engine.command_sent_at = kNever;
  } else if (failed || timed_out || lost || superseded) {
    engine.command_sent_at = kNever;
    this->ScheduleRetry(now, &engine);
  }
}

void PlacementController::HandleCommandResult(Instant now, const Call& call,
                                              bool completed) {
  const auto found = this->engines.find(call.engine);
  if (found == this->engines.end()) {
    return;
  }
  Engine& engine = found->second;
  engine.call = 0;
  if (!completed) {
    ++this->counters.lost_responses;  // it may run; the next reports show it
    return;
  }
  if (call.status == 202) {
    ++this->counters.accepted;
    return;
  }
  engine.command_sent_at = kNever;
  this->ScheduleRetry(now, &engine);
  if (call.status == 409 && ParseFence(call.body) > this->epoch) {
    ++this->counters.fenced;
    this->lease->Invalidate(now);  // a newer holder is active
  }
}

void PlacementController::HandleWeights(Instant now, const Call& call,
                                        bool completed) {
  WeightsCacheEntry& entry = this->weights[call.weights];
  entry.call = 0;
  if (!completed || call.status == 429 || call.status >= 500) {
    this->counters.weights_throttled += call.status == 429 ? 1 : 0;
    const Duration wait = std::max(
        ReadRetryAfter(call.headers).value_or(Duration{0}), kMinWeightsDelay);
    this->weights_not_before = now + wait;
    return;
  }
  const bool present = call.status >= 200 && call.status < 300;
  this->counters.weights_absent += present ? 0 : 1;
  entry.state = present ? Weights::kPresent : Weights::kAbsent;
  entry.until = now + this->settings.weights_cache_lifetime;
}

}  // namespace limpetlink
