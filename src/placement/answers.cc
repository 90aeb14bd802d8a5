#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "placement/placement.h"

namespace limpetlink {
namespace {

constexpr std::size_t kMaxAnswerBytes = 64UL * 1024UL;
constexpr Duration kWeightsPause = std::chrono::seconds(2);
constexpr Duration kBackOffBase = std::chrono::seconds(2);
constexpr std::uint32_t kMostDoublings = 6;

std::uint64_t FenceOf(const std::string& body) {
  const nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
  const bool shape = value.is_object() && value.contains("fence") &&
                     value["fence"].is_number_unsigned();
  return shape ? value["fence"].get<std::uint64_t>() : 0;
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
    this->actions.emplace_back(HttpCancel{head.id});  // the head says enough
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
  if (body.size() + chunk.bytes.size() <= kMaxAnswerBytes) {
    body += chunk.bytes;
  }
  return true;
}

bool PlacementController::OnDone(Instant now, const HttpDone& done) {
  const auto found = this->calls.find(done.id.value);
  if (found == this->calls.end()) {
    return false;
  }
  const bool answered =
      done.end == HttpEnd::kComplete && found->second.status != 0;
  this->FinishCall(now, done.id.value, answered);
  return true;
}

void PlacementController::FinishCall(Instant now, std::uint64_t id,
                                     bool answered) {
  const Call call = this->calls.at(id);
  this->calls.erase(id);
  switch (call.kind) {
    case CallKind::kReport:
      this->HandleReport(now, call, answered);
      break;
    case CallKind::kOrder:
      this->HandleOrder(now, call, answered);
      break;
    case CallKind::kWeights:
      this->HandleWeights(now, call, answered);
      break;
  }
  this->next_tick = std::min(this->next_tick, now);
}

void PlacementController::BackOff(Instant now, Engine* engine) {
  const std::uint32_t doublings = std::min(engine->failures, kMostDoublings);
  ++engine->failures;
  const Duration full = kBackOffBase * (1U << doublings);
  engine->not_before =
      now + FromSeconds(ToSeconds(full) * (0.5 + this->random.Fraction()));
}

void PlacementController::HandleReport(Instant now, const Call& call,
                                       bool answered) {
  const auto found = this->engines.find(call.engine);
  if (found == this->engines.end()) {
    return;
  }
  Engine& engine = found->second;
  engine.call = 0;
  if (!answered || call.status != 200) {
    engine.known = false;
    return;
  }
  const auto report = ReadEngineReport(call.body);
  if (!report) {
    ++this->counters.malformed_reports;
    engine.known = false;
    return;
  }
  ++this->counters.reports;
  engine.known = true;
  engine.report = *report;
  if (engine.ordered_at == kNever) {
    return;
  }
  const bool own = report->order_id == engine.order_id;
  const bool done = report->state == engine.wanted;
  const bool failed = own && report->order_state == "failed";
  const bool late = now - engine.ordered_at >= this->settings.order_timeout;
  const bool lost =
      !own && now - engine.ordered_at >= this->settings.longest_order;
  const bool superseded = own && report->order_state == "done" && !done;
  if (done) {
    ++this->counters.verified;
    engine.failures = 0;
    engine.ordered_at = kNever;
  } else if (failed || late || lost || superseded) {
    engine.ordered_at = kNever;
    this->BackOff(now, &engine);
  }
}

void PlacementController::HandleOrder(Instant now, const Call& call,
                                      bool answered) {
  const auto found = this->engines.find(call.engine);
  if (found == this->engines.end()) {
    return;
  }
  Engine& engine = found->second;
  engine.call = 0;
  if (!answered) {
    ++this->counters.unanswered;  // it may run: the reports tell
    return;
  }
  if (call.status == 202) {
    ++this->counters.accepted;
    return;
  }
  engine.ordered_at = kNever;
  this->BackOff(now, &engine);
  if (call.status == 409 && FenceOf(call.body) > this->epoch) {
    ++this->counters.fenced;
    this->lease->Invalidate(now);  // a later holder is at work
  }
}

void PlacementController::HandleWeights(Instant now, const Call& call,
                                        bool answered) {
  WeightsEntry& entry = this->weights[call.weights];
  entry.call = 0;
  if (!answered || call.status == 429 || call.status >= 500) {
    this->counters.weights_throttled += call.status == 429 ? 1 : 0;
    const Duration wait = std::max(
        ReadRetryAfter(call.headers).value_or(Duration{0}), kWeightsPause);
    this->weights_not_before = now + wait;
    return;
  }
  const bool there = call.status >= 200 && call.status < 300;
  this->counters.weights_absent += there ? 0 : 1;
  entry.state = there ? Weights::kThere : Weights::kAbsent;
  entry.until = now + this->settings.weights_known_for;
}

}  // namespace limpetlink
