#include "gateway/detail/gateway_host.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_join.h"

namespace limpetlink {
namespace {

// Interval of the linearizable reads that confirm that no change was missed, as
// a fraction of the maximum delay of the change. The rest is a margin for a
// lost call.
constexpr double kDeploymentReadFraction = 0.5;
constexpr double kWorkersReadFraction = 0.6;
// While workers are replaced, registrations change several times a second; the
// delay lets one call return several changes. Far below the maximum drain
// delay.
constexpr Duration kWorkersBatchDelay = std::chrono::milliseconds(20);
// With neighbours, each host delays its reads longer, as one of them reads at
// any time; new workers may wait this long for their first request.
constexpr Duration kMaxWorkersBatchDelay = std::chrono::milliseconds(400);
// While the store does not answer, the followers of a domain try it one after
// the other at this interval, as it may turn away only some hosts.
constexpr Duration kFailureDelayPerHost = std::chrono::milliseconds(250);
// Two failed checks of the load balancer, one per second, and a margin.
constexpr Duration kAcceptAfterDrain = std::chrono::milliseconds(3000);
constexpr Duration kQuarantineUpdateInterval = std::chrono::milliseconds(1000);
// What another host says of a worker that leaves counts until a registration
// read this much later shows that the worker is ready. A worker that leaves has
// told the store by then, or its registration has been removed.
constexpr Duration kToldLifetime = std::chrono::milliseconds(2500);
// Margin between the end of the last request and the platform's SIGKILL.
constexpr Duration kKillMargin = std::chrono::milliseconds(300);

std::string AgeText(const KindWatch& watch, Instant now) {
  return watch.HasSnapshot() ? MillisecondsText(watch.Age(now)) : "none";
}

/// Differs between processes, and can't be guessed.
std::string RelayToken(std::uint64_t seed) {
  constexpr std::size_t kDigits = 16;
  return Sha256Hex("relay " + std::to_string(seed)).substr(0, kDigits);
}

WatchRole RoleOf(std::optional<std::size_t> rank) {
  if (!rank.has_value()) {
    return WatchRole::kIndependent;
  }
  if (*rank == 0) {
    return WatchRole::kLeader;
  }
  return *rank == 1 ? WatchRole::kStandby : WatchRole::kFollower;
}

}  // namespace

GatewayHost::GatewayHost(GatewaySettings settings, GatewayCodec codec)
    : settings(std::move(settings)),
      codec(std::move(codec)),
      store(this->settings.store, [this] { return CallId{++this->last_call}; }),
      deployments(
          {this->codec.deployment_kind,
           FromSeconds(
               kDeploymentReadFraction *
               ToSeconds(std::min(this->settings.limits.max_apply_delay,
                                  this->settings.limits.max_revocation_delay))),
           Duration{0}, this->Phase()},
          {[this](Instant now, std::vector<ObjectRecord> records) {
             for (const ObjectRecord& record : records) {
               this->ApplyDeployment(now, record);
             }
           },
           [this](Instant now, const ObjectRecord& record) {
             this->ApplyDeployment(now, record);
           },
           [this](Instant now) { this->neighbours.OnLinearizableRead(now); },
           [this](Instant now) { this->Relay(now, this->deployments); },
           [this](Instant now, const MissingChanges& missing) {
             this->RequestChanges(now, missing);
           },
           [this](Instant now) { this->neighbours.OnStoreFailure(now); },
           [this](Instant now) { this->OnStoreRestored(now); }},
          &this->store),
      workers(
          {this->codec.worker_kind,
           FromSeconds(kWorkersReadFraction *
                       ToSeconds(this->settings.limits.max_drain_delay)),
           kWorkersBatchDelay, this->Phase()},
          {[this](Instant now, std::vector<ObjectRecord> records) {
             std::vector<UpstreamId> listed;
             listed.reserve(records.size());
             for (const ObjectRecord& record : records) {
               listed.push_back(UpstreamId{record.name});
               this->ApplyRegistration(now, record);
             }
             this->directory.Retain(now, listed);
           },
           [this](Instant now, const ObjectRecord& record) {
             this->ApplyRegistration(now, record);
           },
           [this](Instant now) { this->neighbours.OnLinearizableRead(now); },
           [this](Instant now) { this->Relay(now, this->workers); },
           [this](Instant now, const MissingChanges& missing) {
             this->RequestChanges(now, missing);
           },
           [this](Instant now) { this->neighbours.OnStoreFailure(now); },
           [this](Instant now) {
             this->OnStoreRestored(now);
             this->directory.OnStoreRestored(now);
           }},
          &this->store),
      quarantine_records(
          this->codec.quarantine_kind, &this->store, &this->quarantine,
          {[this](Instant now) {
             this->neighbours.OnGossipChanged(now);
             this->quarantine_changed = true;
           },
           [this](const std::string& input, const std::string& reason) {
             this->Log(LogLevel::kWarning, "quarantine record failed",
                       {{"input", input}, {"reason", reason}});
           }}),
      paths(this->settings, &this->directory,
            {[this] { return CallId{++this->last_call}; },
             [this](Instant now) { this->neighbours.OnGossipChanged(now); }}),
      forwarding(
          this->settings, this->codec,
          {[this](Instant now) {
             return ActiveDeployment{this->table, this->deployments.Age(now)};
           },
           [this] { return CallId{++this->last_call}; },
           [this](Instant now) {
             return this->drain_started.has_value()
                        ? *this->drain_started +
                              this->settings.limits.grace_period - kKillMargin -
                              now
                        : Duration::max();
           },
           [this](Instant now, const UpstreamId& id) {
             const WorkerRegistration* known = this->directory.Find(id);
             const bool is_news =
                 known != nullptr &&
                 (!known->leaving || known->told_leaving_at.has_value());
             if (is_news) {
               this->neighbours.OnWorkerLeaving(now,
                                                {id, known->started_at, {}});
               this->MarkLeaving(now, id, LeavingSource::kWorker, Duration{0});
             }
           },
           [this](Instant now) { this->neighbours.OnStateChanged(now); },
           [this](Instant now) {
             this->neighbours.OnGossipChanged(now);
             this->quarantine_changed = true;
           },
           [this](Instant now) { this->neighbours.OnGossipChanged(now); },
           [this](const FailureDomainId& domain) {
             return this->evacuated.count(domain) > 0;
           }},
          &this->directory, &this->paths, &this->quarantine, &this->metrics),
      relay_server(RelayToken(this->settings.seed), &this->directory,
                   &this->paths, this->MakeRelayHooks()),
      neighbours({this->settings.self, this->settings.failure_domain,
                  this->settings.neighbour_address, this->settings.seeds},
                 this->MakeNeighbourHooks()) {
  if (this->settings.limits.max_evacuation_delay.has_value() &&
      !this->codec.evacuation_kind.empty()) {
    this->evacuations.emplace(this->MakeEvacuationWatch());
    this->watches.push_back(&*this->evacuations);
  }
}

KindWatch GatewayHost::MakeEvacuationWatch() {
  const Duration max_delay = *this->settings.limits.max_evacuation_delay;
  KindWatchHooks hooks;
  hooks.on_snapshot = [this](Instant, std::vector<ObjectRecord> records) {
    std::set<FailureDomainId> listed;
    for (const ObjectRecord& record : records) {
      listed.insert(FailureDomainId{record.name});
    }
    for (const FailureDomainId& domain : std::set(this->evacuated)) {
      if (listed.count(domain) == 0) {
        this->SetEvacuated(domain, false);
      }
    }
    for (const FailureDomainId& domain : listed) {
      this->SetEvacuated(domain, true);
    }
  };
  hooks.on_change = [this](Instant, const ObjectRecord& record) {
    this->SetEvacuated(FailureDomainId{record.name}, !record.deleted);
  };
  hooks.on_linearizable_read = [this](Instant now) {
    this->neighbours.OnLinearizableRead(now);
  };
  hooks.on_relay = [this](Instant now) {
    this->Relay(now, *this->evacuations);
  };
  hooks.on_missing = [this](Instant now, const MissingChanges& missing) {
    this->RequestChanges(now, missing);
  };
  hooks.on_store_failure = [this](Instant now) {
    this->neighbours.OnStoreFailure(now);
  };
  return {{this->codec.evacuation_kind,
           FromSeconds(kDeploymentReadFraction * ToSeconds(max_delay)),
           Duration{0}, this->Phase()},
          std::move(hooks),
          &this->store};
}

void GatewayHost::SetEvacuated(const FailureDomainId& domain, bool evacuated) {
  const bool changed = evacuated ? this->evacuated.insert(domain).second
                                 : this->evacuated.erase(domain) > 0;
  if (!changed) {
    return;
  }
  const bool known = this->settings.region_of.count(domain.value) > 0;
  this->Log(
      known ? LogLevel::kInfo : LogLevel::kWarning,
      evacuated ? "failure domain evacuated" : "failure domain taken back",
      {{"domain", domain.value}, {"known", known ? "true" : "false"}});
}

double GatewayHost::Phase() const {
  constexpr std::uint64_t kSteps = 1024;
  return static_cast<double>(StableHash(this->settings.self.value) % kSteps) /
         static_cast<double>(kSteps);
}

void GatewayHost::UpdateReadSchedule(Instant now) {
  const WatchRole role = RoleOf(this->neighbours.Rank());
  if (role != this->logged_role) {
    this->logged_role = role;
    this->Log(LogLevel::kInfo, "role in reading the store",
              {{"role", std::string(ToText(role))},
               {"neighbours", std::to_string(this->neighbours.Count())}});
  }
  const Duration failure_spread =
      kFailureDelayPerHost * static_cast<int>(this->neighbours.Count());
  for (KindWatch* watch : this->watches) {
    watch->SetFailureSpread(failure_spread);
    watch->SetRole(now, role);
  }
  this->workers.SetBatchDelay(std::min(
      kMaxWorkersBatchDelay,
      kWorkersBatchDelay * (1 + static_cast<int>(this->neighbours.Count()))));
}

void GatewayHost::Log(LogLevel level, std::string message,
                      std::vector<LogField> fields) {
  this->actions.emplace_back(
      LogLine{level, std::move(message), std::move(fields)});
}

Actions GatewayHost::Start(Instant now) {
  this->Log(LogLevel::kInfo, "started",
            {{"failure_domain", this->settings.failure_domain.value},
             {"store", this->settings.store.url}});
  for (KindWatch* watch : this->watches) {
    watch->Start(now);
  }
  return this->Collect(now);
}

Actions GatewayHost::Step(Instant now, const Event& event) {
  this->relay_server.OnStep(now);
  if (const auto* request = std::get_if<CallerRequest>(&event)) {
    switch (request->source) {
      case RequestSource::kCaller:
        this->forwarding.OnRequest(now, *request);
        break;
      case RequestSource::kOperator:
        this->ServeOperator(now, *request);
        break;
      case RequestSource::kHost:
        this->relay_server.OnRequest(now, *request);
        break;
    }
  } else if (const auto* disconnected =
                 std::get_if<CallerDisconnected>(&event)) {
    if (!this->relay_server.OnCallerDisconnected(*disconnected)) {
      this->forwarding.OnCallerDisconnected(now, *disconnected);
    }
  } else if (const auto* drained = std::get_if<CallerBufferDrained>(&event)) {
    if (!this->relay_server.OnCallerBufferDrained(*drained)) {
      this->forwarding.OnCallerBufferDrained(now, *drained);
    }
  } else if (const auto* frame = std::get_if<PeerFrame>(&event)) {
    if (!this->neighbours.OnFrame(now, *frame)) {
      this->metrics.Add(Counter::kPeerFramesRefused);
    }
  } else if (const auto* head = std::get_if<HttpHead>(&event)) {
    this->relay_server.OnHead(now, *head) ||
        this->forwarding.OnHead(now, *head) || this->store.OnHead(now, *head);
  } else if (const auto* chunk = std::get_if<HttpChunk>(&event)) {
    this->relay_server.OnChunk(*chunk) ||
        this->forwarding.OnChunk(now, *chunk) ||
        this->store.OnChunk(now, *chunk);
  } else if (const auto* done = std::get_if<HttpDone>(&event)) {
    this->paths.OnProbeDone(now, *done) ||
        this->relay_server.OnDone(now, *done) ||
        this->forwarding.OnDone(now, *done) || this->store.OnDone(now, *done);
  }
  return this->Collect(now);
}

Actions GatewayHost::Tick(Instant now) {
  this->relay_server.OnStep(now);
  this->store.Tick(now);
  this->HandleStoreResults(now);
  for (KindWatch* watch : this->watches) {
    watch->Tick(now);
  }
  for (const WorkerRegistration& worker : this->directory.Tick(now)) {
    this->Log(LogLevel::kInfo, "worker removed",
              {{"worker", worker.id.value}, {"after", "a delay"}});
    if (!worker.leaving) {
      this->forwarding.OnLeaving(now, worker, now);
    }
    this->forwarding.RemoveWorker(worker.id);
  }
  this->ExpireToldLeaving(now);
  this->forwarding.Tick(now);
  this->paths.Tick(now);
  if (this->paths.Reachability().IsImpaired()) {
    this->neighbours.RequestRelays(now);
  }
  this->neighbours.Tick(now);
  if (std::optional<FleetMembers> members =
          this->neighbours.TakeChangedMembers()) {
    this->forwarding.Allowances().SetMembers(now, *std::move(members));
  }
  this->quarantine_records.Tick(now);
  // Inputs are also released by time, and failed writes are repeated.
  this->quarantine_changed =
      this->quarantine_changed || this->next_quarantine_update <= now;
  this->UpdateReadSchedule(now);
  return this->Collect(now);
}

Actions GatewayHost::Drain(Instant now) {
  if (!this->drain_started.has_value()) {
    this->drain_started = now;
    this->relay_server.Drain();
    this->neighbours.OnGossipChanged(now);
    this->Log(
        LogLevel::kInfo, "shutdown began",
        {{"requests", std::to_string(this->forwarding.Open())},
         {"grace_ms", MillisecondsText(this->settings.limits.grace_period)}});
  }
  return this->Collect(now);
}

void GatewayHost::HandleStoreResults(Instant now) {
  for (StoreResult& result : this->store.TakeResults()) {
    const bool responded = result.status == StoreStatus::kOk ||
                           result.status == StoreStatus::kHistoryGone;
    if (responded) {
      this->directory.OnStoreResponse(now);
    } else {
      this->directory.OnStoreFailure();
    }
    const bool watched = std::any_of(
        this->watches.begin(), this->watches.end(),
        [&](KindWatch* watch) { return watch->OnResult(now, &result); });
    if (!watched) {
      this->quarantine_records.OnResult(now, result);
    }
  }
  this->LogStoreMode();
}

void GatewayHost::LogStoreMode() {
  const StoreMode mode = this->store.Health().mode;
  if (mode == this->logged_mode) {
    return;
  }
  this->logged_mode = mode;
  const bool impaired = mode != StoreMode::kNormal;
  this->Log(impaired ? LogLevel::kWarning : LogLevel::kInfo,
            impaired ? "metadata store impaired" : "metadata store regained",
            {{"mode", std::string(ToText(mode))},
             {"failures_in_a_row",
              std::to_string(this->store.Health().consecutive_failures)},
             {"latency_ms", MillisecondsText(this->store.Health().latency)}});
}

void GatewayHost::UpdateQuarantine(Instant now) {
  std::set<std::string> inputs;
  for (const QuarantinedInput& input : this->quarantine.Quarantined(now)) {
    inputs.insert(input.id);
    if (this->logged_quarantine.count(input.id) > 0) {
      continue;
    }
    std::vector<std::string> workers;
    for (const UpstreamId& worker : input.workers) {
      workers.push_back(worker.value);
    }
    this->Log(LogLevel::kWarning, "input quarantined",
              {{"input", input.id},
               {"crashes", std::to_string(input.crashes)},
               {"workers", absl::StrJoin(workers, ",")},
               {"last_crash_ms_ago", MillisecondsText(input.last_crash_age)}});
  }
  for (const std::string& input : this->logged_quarantine) {
    if (inputs.count(input) == 0) {
      this->Log(LogLevel::kWarning, "input released", {{"input", input}});
    }
  }
  if (inputs != this->logged_quarantine) {
    this->logged_quarantine = std::move(inputs);
    this->forwarding.OnQuarantineChanged(now);
  }
  if (this->neighbours.Rank().value_or(0) == 0) {
    this->quarantine_records.Update(now);
  }
  this->next_quarantine_update =
      this->quarantine.HasSuspects() ? now + kQuarantineUpdateInterval : kNever;
}

void GatewayHost::Relay(Instant now, const KindWatch& watch) {
  this->kinds_to_relay.insert(watch.Kind());
  this->neighbours.OnChangesRead(now);
}

void GatewayHost::RequestChanges(Instant now, const MissingChanges& missing) {
  this->Log(LogLevel::kInfo, "changes requested from a neighbour",
            {{"kind", missing.kind},
             {"revision", std::to_string(missing.revision)},
             {"configuration_age_ms", AgeText(this->deployments, now)},
             {"registrations_age_ms", AgeText(this->workers, now)}});
  this->neighbours.RequestChanges(now, missing);
}

void GatewayHost::OnStoreRestored(Instant now) {
  this->quarantine_records.OnStoreRestored();
  this->Log(LogLevel::kWarning, "metadata store restored from an older copy",
            {{"configuration_age_ms", AgeText(this->deployments, now)}});
}

void GatewayHost::ApplyDeployment(Instant now, const ObjectRecord& record) {
  if (record.name != this->codec.deployment_name || record.deleted) {
    return;
  }
  absl::StatusOr<Deployment> read = this->codec.deployment(record);
  if (!read.ok()) {
    this->metrics.Add(Counter::kMalformedInput);
    this->Log(LogLevel::kError, "configuration unreadable",
              {{"revision", std::to_string(record.version)},
               {"reason", DetailOf(read.status())}});
    return;
  }
  const std::uint64_t previous =
      this->table == nullptr ? 0 : this->table->Contents().version;
  if (read->version <= previous) {
    return;  // older than the active version
  }
  this->metrics.Add(Counter::kDocumentsApplied);
  this->Log(LogLevel::kInfo, "configuration adopted",
            {{"version", std::to_string(read->version)},
             {"before", std::to_string(previous)},
             {"revision", std::to_string(record.version)},
             {"routes", std::to_string(read->routes.size())},
             {"age_ms", AgeText(this->deployments, now)}});
  this->table = std::make_shared<const RouteTable>(*std::move(read));
}

void GatewayHost::ApplyRegistration(Instant now, const ObjectRecord& record) {
  const UpstreamId id{record.name};
  const WorkerRegistration* known = this->directory.Find(id);
  if (record.deleted) {
    // After an outage of the store, live workers' registrations may have
    // expired; they return within the delay.
    const bool is_delayed = this->directory.RemovalDelay(now) > Duration{0};
    if (known != nullptr && !known->leaving && !is_delayed) {
      this->neighbours.OnWorkerLeaving(now, {id, known->started_at, {}});
      // The worker keeps serving for a while.
      this->forwarding.OnLeaving(now, *known, now);
    }
    this->Log(
        LogLevel::kInfo, "worker removed",
        {{"worker", id.value}, {"revision", std::to_string(record.version)}});
    this->directory.Remove(now, id);
    if (this->directory.Find(id) == nullptr) {
      this->forwarding.RemoveWorker(id);
    }
    return;
  }
  absl::StatusOr<WorkerRegistration> read = this->codec.worker(record);
  if (!read.ok()) {
    this->metrics.Add(Counter::kMalformedInput);
    this->Log(LogLevel::kWarning, "worker registration unreadable",
              {{"worker", id.value},
               {"revision", std::to_string(record.version)},
               {"reason", DetailOf(read.status())}});
    this->directory.Remove(now, id);
    return;
  }
  const bool restarted = known == nullptr ||
                         known->started_at != read->started_at ||
                         known->address != read->address;
  // Leaving is final for an incarnation of a worker. The worker itself may have
  // reported it before the store does.
  const bool told_only = !restarted && known->told_leaving_at.has_value();
  if (told_only && !read->leaving && !this->directory.IsRemovalDelayed(id)) {
    read->told_leaving_at = known->told_leaving_at;
    read->leaving = true;
  }
  read->leaving = read->leaving ||
                  (!restarted && known->leaving && !told_only) ||
                  this->directory.HasDeparted(id, read->started_at);
  const bool changed = restarted || known->leaving != read->leaving ||
                       known->service != read->service;
  if (restarted) {
    this->forwarding.RemoveWorker(id);
  }
  if (changed) {
    this->Log(LogLevel::kInfo, "worker registered",
              {{"worker", id.value},
               {"service", read->service},
               {"address", read->address},
               {"domain", read->domain.value},
               {"draining", read->leaving ? "true" : "false"},
               {"revision", std::to_string(record.version)}});
  }
  const bool leaves = read->leaving && (restarted || !known->leaving);
  const WorkerRegistration worker = *read;
  this->directory.Put(*std::move(read));
  if (leaves) {
    this->neighbours.OnWorkerLeaving(now, {worker.id, worker.started_at, {}});
    this->forwarding.OnLeaving(now, worker, now);
  }
}

void GatewayHost::ExpireToldLeaving(Instant now) {
  if (this->told_leaving.empty() || !this->workers.HasSnapshot()) {
    return;
  }
  const Instant proven_until = now - this->workers.Age(now);
  for (auto it = this->told_leaving.begin(); it != this->told_leaving.end();) {
    const WorkerRegistration* known = this->directory.Find(*it);
    const bool is_told = known != nullptr && known->told_leaving_at.has_value();
    if (is_told && proven_until < *known->told_leaving_at + kToldLifetime) {
      ++it;
      continue;
    }
    if (is_told && !this->directory.IsRemovalDelayed(*it)) {
      WorkerRegistration worker = *known;
      worker.leaving = false;
      worker.told_leaving_at.reset();
      this->Log(LogLevel::kWarning, "worker does not leave",
                {{"worker", it->value},
                 {"reason", "its registration still says that it is ready"}});
      this->directory.Put(std::move(worker));
    }
    it = this->told_leaving.erase(it);
  }
}

void GatewayHost::MarkLeaving(Instant now, const UpstreamId& id,
                              LeavingSource source, Duration age) {
  const WorkerRegistration* known = this->directory.Find(id);
  if (known == nullptr) {
    return;
  }
  const bool is_told = source == LeavingSource::kNeighbour;
  if (known->leaving) {
    if (known->told_leaving_at.has_value() && !is_told) {
      this->directory.ConfirmLeaving(id);
    }
    return;
  }
  WorkerRegistration worker = *known;
  worker.leaving = true;
  if (is_told) {
    worker.told_leaving_at = now;
    this->told_leaving.insert(id);
  }
  this->Log(LogLevel::kInfo, "worker leaves",
            {{"worker", id.value},
             {"told_by", std::string(ToText(source))},
             {"noticed_ms_ago", MillisecondsText(age)},
             {"registrations_age_ms", AgeText(this->workers, now)}});
  this->directory.Put(worker);
  this->forwarding.OnLeaving(now, worker, now - age);
}

bool GatewayHost::Ready(Instant now) const {
  if (this->drain_started.has_value() || this->table == nullptr ||
      !this->workers.HasSnapshot() ||
      (this->evacuations.has_value() && !this->evacuations->HasSnapshot())) {
    return false;
  }
  // Not ready before requests with keys have to be refused here, so that
  // callers' next connections go to hosts that reach the store. If no host
  // does, the load balancer uses all of them.
  const GatewayLimits& limits = this->settings.limits;
  const bool requires_current_keys =
      limits.strict_revocation && this->table->NeedsKeys();
  return !requires_current_keys ||
         this->deployments.Age(now) <= limits.max_apply_delay;
}

HttpLimits GatewayHost::CurrentHttpLimits() const {
  return this->table == nullptr ? HttpLimits{}
                                : this->table->Contents().http_limits;
}

Actions GatewayHost::Collect(Instant now) {
  this->latest = std::max(this->latest, now);
  this->HandleStoreResults(now);
  if (std::exchange(this->quarantine_changed, false)) {
    this->UpdateQuarantine(now);
  }
  if (this->drain_started.has_value()) {
    const Duration since = now - *this->drain_started;
    this->accepts_callers = since < kAcceptAfterDrain;
    if (since >= this->settings.limits.grace_period - kKillMargin) {
      this->forwarding.EndAll(now);
      this->relay_server.EndAll();
      this->accepts_callers = false;
    }
    this->ended = !this->accepts_callers && this->forwarding.Open() == 0 &&
                  this->relay_server.InProgress() == 0;
  }
  const bool ready = this->Ready(now);
  if (ready != this->logged_ready) {
    this->logged_ready = ready;
    this->Log(LogLevel::kInfo, ready ? "ready" : "not ready",
              {{"configuration_age_ms", AgeText(this->deployments, now)},
               {"workers", std::to_string(this->directory.Size())}});
  }
  Actions collected = std::exchange(this->actions, {});
  for (Actions more :
       {this->store.TakeActions(), this->forwarding.TakeActions(),
        this->relay_server.TakeActions(), this->paths.TakeActions(),
        this->neighbours.TakeActions()}) {
    std::move(more.begin(), more.end(), std::back_inserter(collected));
  }
  return collected;
}

Instant GatewayHost::NextWakeup() const {
  Instant next = std::min(
      {this->store.NextWakeup(), this->directory.NextWakeup(),
       this->forwarding.NextWakeup(), this->paths.NextWakeup(),
       this->neighbours.NextWakeup(), this->quarantine_records.NextWakeup(),
       this->next_quarantine_update});
  for (const KindWatch* watch : this->watches) {
    next = std::min(next, watch->NextWakeup());
  }
  if (this->drain_started.has_value()) {
    const Instant end =
        *this->drain_started + this->settings.limits.grace_period - kKillMargin;
    const Instant close = *this->drain_started + kAcceptAfterDrain;
    next = std::min(next, this->accepts_callers ? std::min(close, end) : end);
  }
  return next;
}

bool GatewayHost::Drained() const { return this->ended; }

}  // namespace limpetlink
