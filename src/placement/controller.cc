#include <algorithm>
#include <utility>

#include "placement/placement.h"

namespace limpetlink {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);
constexpr Duration kMinCommandTime = std::chrono::seconds(1);
constexpr std::string_view kServeRole = "serve";

}  // namespace

EngineState DesiredStateForModel(const FleetDocument& document,
                                 const Upstream& upstream) {
  EngineState desired;
  desired.model = upstream.serves;
  desired.role = std::string(kServeRole);
  for (const Model& model : document.models) {
    if (model.name == upstream.serves) {
      desired.version = model.version;
      desired.adapters = model.adapters;
    }
  }
  std::sort(desired.adapters.begin(), desired.adapters.end());
  return desired;
}

PlacementController::PlacementController(PlacementSettings settings,
                                         DesiredStateFunction desired,
                                         Lease* lease, NextCallId next_call_id)
    : settings(std::move(settings)),
      desired(std::move(desired)),
      lease(lease),
      next_call_id(std::move(next_call_id)),
      random(this->settings.seed),
      load_tokens(this->settings.load_burst) {}

void PlacementController::Configure(
    Instant now, std::shared_ptr<const FleetDocument> document) {
  this->document = std::move(document);
  std::map<UpstreamId, Engine> next;
  for (const Upstream& upstream : this->document->upstreams) {
    const bool managed = upstream.kind == UpstreamKind::kEngine &&
                         (this->settings.model.empty() ||
                          this->settings.model == upstream.serves);
    if (!managed) {
      continue;
    }
    Engine& engine = next[upstream.id];
    const auto known = this->engines.find(upstream.id);
    if (known != this->engines.end() &&
        known->second.upstream.url == upstream.url) {
      engine = known->second;
    }
    engine.upstream = upstream;
    engine.desired = this->desired(*this->document, upstream);
  }
  this->engines = std::move(next);
  this->next_tick = now;
}

void PlacementController::Reset(Instant now) {
  for (const auto& [id, call] : this->calls) {
    this->actions.emplace_back(HttpCancel{CallId{id}});
  }
  this->calls.clear();
  this->weights.clear();
  for (auto& [id, engine] : this->engines) {
    engine.known = false;
    engine.call = 0;
    engine.command_sent_at = kNever;
    engine.next_report = now;
  }
}

void PlacementController::Refill(Instant now) {
  const double passed = ToSeconds(now - this->refilled_at);
  this->refilled_at = now;
  this->report_tokens = std::min(
      std::max(1.0, this->settings.reports_per_second),
      this->report_tokens + passed * this->settings.reports_per_second);
  this->load_tokens =
      std::min(this->settings.load_burst,
               this->load_tokens + passed * this->settings.loads_per_second);
}

void PlacementController::Tick(Instant now) {
  const bool held = this->lease->Held(now);
  const std::uint64_t current = held ? this->lease->Epoch() : 0;
  if (current != this->epoch) {
    this->Reset(now);
    this->epoch = current;
  }
  std::vector<std::uint64_t> expired;
  for (const auto& [id, call] : this->calls) {
    if (call.until <= now) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    this->actions.emplace_back(HttpCancel{CallId{id}});
    this->FinishCall(now, id, false);
  }
  this->next_tick = now + kTickInterval;
  this->Refill(now);
  if (held && this->document != nullptr) {
    this->ReadReports(now);
    this->SendCommands(now);
  }
}

Instant PlacementController::NextWakeup() const { return this->next_tick; }

Actions PlacementController::TakeActions() {
  return std::exchange(this->actions, {});
}

bool PlacementController::Converged() const {
  return std::all_of(
      this->engines.begin(), this->engines.end(), [](const auto& row) {
        const Engine& engine = row.second;
        return engine.known && engine.report.state == engine.desired;
      });
}

void PlacementController::ReadReports(Instant now) {
  auto at = this->engines.upper_bound(this->report_cursor);
  for (std::size_t i = 0; i < this->engines.size(); ++i, ++at) {
    if (at == this->engines.end()) {
      at = this->engines.begin();
    }
    Engine& engine = at->second;
    const bool due = engine.call == 0 && engine.next_report <= now;
    if (!due || this->report_tokens < 1.0) {
      continue;
    }
    this->report_tokens -= 1.0;
    this->report_cursor = at->first;
    engine.next_report = now + this->settings.report_interval;
    Call call;
    call.kind = CallKind::kReport;
    call.engine = at->first;
    HttpCall http;
    http.method = "GET";
    http.url = engine.upstream.url + "/v1/load";
    http.total_timeout = this->settings.call_timeout;
    engine.call = this->Open(now, std::move(call), std::move(http));
  }
}

void PlacementController::SendCommands(Instant now) {
  std::map<std::string, ModelCount> models;
  for (const auto& [id, engine] : this->engines) {
    ModelCount& count = models[engine.upstream.serves];
    ++count.engines;
    count.loading += engine.command_sent_at != kNever ? 1 : 0;
  }
  for (auto& [id, engine] : this->engines) {
    ModelCount& count = models[engine.upstream.serves];
    if (this->MaySendCommand(now, engine, count) &&
        this->CheckWeights(now, engine)) {
      this->SendCommand(now, &engine);
      ++count.loading;
    }
  }
}

bool PlacementController::MaySendCommand(Instant now, const Engine& engine,
                                         const ModelCount& count) const {
  const bool differs = engine.known && engine.report.state != engine.desired &&
                       !engine.desired.version.empty();
  const bool idle = engine.call == 0 && engine.command_sent_at == kNever &&
                    engine.not_before <= now && !engine.report.draining;
  if (!differs || !idle) {
    return false;
  }
  // An engine that ignores fencing numbers receives no command while a command
  // of an earlier lease holder may still arrive.
  const Duration wait =
      this->lease->Settings().duration + this->settings.max_command_delay;
  const bool safe =
      engine.upstream.checks_fencing || now - this->lease->HeldSince() >= wait;
  const bool time_left = this->lease->HeldUntil() - now >= kMinCommandTime;
  const auto max_loading = static_cast<std::size_t>(
      this->settings.max_loading_fraction * static_cast<double>(count.engines));
  const bool has_capacity =
      count.loading < std::max<std::size_t>(1, max_loading);
  return safe && time_left && has_capacity;
}

bool PlacementController::NeedsWeights(const Engine& engine) const {
  const EngineState& state = engine.report.state;
  return state.model != engine.desired.model ||
         state.version != engine.desired.version ||
         state.adapters != engine.desired.adapters;
}

bool PlacementController::CheckWeights(Instant now, const Engine& engine) {
  if (!this->NeedsWeights(engine)) {
    return true;
  }
  if (this->load_tokens < 1.0 || now < this->weights_not_before) {
    return false;
  }
  const std::string path = "/v1/weights/" +
                           PercentEncode(engine.desired.model) + "/" +
                           PercentEncode(engine.desired.version);
  WeightsCacheEntry& entry = this->weights[path];
  const bool current = entry.until > now;
  if (current || entry.call != 0) {
    return current && entry.state == Weights::kPresent;
  }
  this->load_tokens -= 1.0;
  Call call;
  call.kind = CallKind::kWeights;
  call.weights = path;
  HttpCall http;
  http.method = "GET";
  http.url = this->settings.platform_url + path;
  http.total_timeout = this->settings.call_timeout;
  entry.call = this->Open(now, std::move(call), std::move(http));
  return false;
}

void PlacementController::SendCommand(Instant now, Engine* engine) {
  if (this->NeedsWeights(*engine)) {
    this->load_tokens -= 1.0;
  }
  engine->command_id = std::to_string(this->epoch) + "-" +
                       std::to_string(this->next_command++) + "-" +
                       engine->upstream.id.value;
  engine->command_sent_at = now;
  ++this->counters.commands;
  Call call;
  call.kind = CallKind::kCommand;
  call.engine = engine->upstream.id;
  HttpCall http;
  http.method = "POST";
  http.url = engine->upstream.url + "/v1/orders";
  http.headers.push_back({"Content-Type", "application/json"});
  http.body =
      SerializeCommand(this->epoch, engine->command_id, engine->desired);
  http.total_timeout =
      std::min(this->settings.call_timeout, this->lease->HeldUntil() - now);
  engine->call = this->Open(now, std::move(call), std::move(http));
}

std::uint64_t PlacementController::Open(Instant now, Call call, HttpCall http) {
  http.id = this->next_call_id();
  call.until = now + http.total_timeout;
  const std::uint64_t id = http.id.value;
  this->calls.emplace(id, std::move(call));
  this->actions.emplace_back(std::move(http));
  return id;
}

}  // namespace limpetlink
