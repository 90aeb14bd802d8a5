#include "gateway/detail/worker_paths.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace limpetlink {

Headers WithoutRelayHeaders(Headers headers) {
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [](const Header& header) {
                                 return absl::StartsWithIgnoreCase(
                                     header.name, kRelayHeaderPrefix);
                               }),
                headers.end());
  return headers;
}

RelayQuery WorkerPaths::MakeQuery(const WorkerRegistration& worker,
                                  const PathRequirements& requirements) const {
  RelayQuery query{worker.id, worker.domain, this->settings.failure_domain,
                   requirements.excluded, requirements.is_allowed};
  if (!query.is_allowed) {
    query.is_allowed = [](const FailureDomainId&) { return true; };
  }
  return query;
}

bool WorkerPaths::CanReach(Instant now, const WorkerRegistration& worker,
                           const PathRequirements& requirements) const {
  return this->reachability.IsReachable(worker.id) ||
         this->reachability.IsDoubtful(worker.id) ||
         this->HasRelay(now, worker, requirements);
}

bool WorkerPaths::HasRelay(Instant now, const WorkerRegistration& worker,
                           const PathRequirements& requirements) const {
  return this->relays.CanReach(now, this->MakeQuery(worker, requirements));
}

std::optional<WorkerPath> WorkerPaths::Choose(
    Instant now, const WorkerRegistration& worker,
    const PathRequirements& requirements) {
  const bool reachable = this->reachability.IsReachable(worker.id);
  if (reachable && !requirements.prefers_relay) {
    return WorkerPath{};
  }
  std::optional<RelayOffer> relay =
      this->relays.Choose(now, this->MakeQuery(worker, requirements));
  if (!relay.has_value() && !reachable &&
      !this->reachability.IsDoubtful(worker.id)) {
    return std::nullopt;
  }
  return WorkerPath{std::move(relay)};
}

void WorkerPaths::Begin(const WorkerRegistration& worker,
                        const WorkerPath& path, WorkerCallKind kind,
                        const std::string& target, HttpCall* call) {
  OpenCall& open = this->calls[call->id.value];
  open = {worker.id, std::nullopt, RelayResult::kUnknown};
  if (!path.relay.has_value()) {
    call->url = "http://" + worker.address + target;
    return;
  }
  open.relay = path.relay->host;
  this->relays.OnBegin(path.relay->host);
  call->url = "http://" + path.relay->address + target;
  call->headers = WithoutRelayHeaders(std::move(call->headers));
  call->headers.push_back({kRelayWorkerHeader, worker.id.value});
  call->headers.push_back({kRelayTokenHeader, path.relay->token});
  call->headers.push_back({kRelayKindHeader, std::string(ToText(kind))});
}

bool WorkerPaths::OnHead(HttpHead* head) {
  const auto found = this->calls.find(head->id.value);
  if (found == this->calls.end() || !found->second.relay.has_value()) {
    return true;
  }
  const std::string* result = FindHeader(head->headers, kRelayResultHeader);
  found->second.result =
      result == nullptr
          ? RelayResult::kUnknown
          : ParseEnum<RelayResult>(*result).value_or(RelayResult::kUnknown);
  const std::string* body = FindHeader(head->headers, kRelayBodyHeader);
  head->until_close = body != nullptr && *body == kRelayUntilClose;
  head->headers = WithoutRelayHeaders(std::move(head->headers));
  return found->second.result == RelayResult::kWorker;
}

bool WorkerPaths::OnChunk(const HttpChunk& chunk) const {
  const auto found = this->calls.find(chunk.id.value);
  return found == this->calls.end() || !found->second.relay.has_value() ||
         found->second.result == RelayResult::kWorker;
}

WorkerCallEnd WorkerPaths::OnDone(Instant now, const HttpDone& done) {
  const auto found = this->calls.find(done.id.value);
  if (found == this->calls.end()) {
    return {done.end, std::nullopt, false};
  }
  const OpenCall call = std::move(found->second);
  this->calls.erase(found);
  WorkerCallEnd result{done.end, call.relay, false};
  if (!call.relay.has_value()) {
    if (done.end == HttpEnd::kNotConnected) {
      this->reachability.OnConnectFailed(now, call.worker);
      this->NoteChanges(now);
    }
    return result;
  }
  this->relays.OnEnd(*call.relay);
  if (done.end == HttpEnd::kNotConnected ||
      call.result == RelayResult::kNotSent) {
    this->relays.OnRefused(now, *call.relay);
    result.end = HttpEnd::kNotConnected;
    result.refused_by_relay = true;
  } else if (call.result == RelayResult::kNotConnected) {
    result.end = HttpEnd::kNotConnected;
  } else if (call.result == RelayResult::kUnknown) {
    result.end = HttpEnd::kCut;
  }
  return result;
}

void WorkerPaths::OnCancel(CallId call) {
  const auto found = this->calls.find(call.value);
  if (found == this->calls.end()) {
    return;
  }
  if (found->second.relay.has_value()) {
    this->relays.OnEnd(*found->second.relay);
  }
  this->calls.erase(found);
}

bool WorkerPaths::OnProbeDone(Instant now, const HttpDone& done) {
  const auto found = this->probes.find(done.id.value);
  if (found == this->probes.end()) {
    return false;
  }
  const UpstreamId worker = std::move(found->second);
  this->probes.erase(found);
  if (this->directory->Find(worker) == nullptr) {
    this->reachability.Remove(worker);
  } else if (done.end == HttpEnd::kComplete) {
    this->reachability.OnProbeSucceeded(now, worker);
  } else {
    this->reachability.OnProbeFailed(now, worker);
  }
  this->NoteChanges(now);
  return true;
}

void WorkerPaths::Tick(Instant now) {
  if (this->reachability.NextWakeup() > now) {
    return;
  }
  std::vector<ProbeCandidate> candidates;
  for (const WorkerRegistration* worker : this->directory->AllWorkers()) {
    candidates.push_back({worker->id, worker->service, worker->domain});
  }
  for (const UpstreamId& worker :
       this->reachability.TakeDueProbes(now, candidates)) {
    const CallId id = this->hooks.next_call_id();
    this->probes[id.value] = worker;
    this->actions.emplace_back(
        HttpPreconnect{this->directory->Find(worker)->address, id});
  }
}

void WorkerPaths::NoteChanges(Instant now) {
  const auto log = [this](std::string message, std::vector<LogField> fields) {
    this->actions.emplace_back(
        LogLine{LogLevel::kWarning, std::move(message), std::move(fields)});
  };
  const std::vector<UpstreamId> unreachable = this->reachability.Unreachable();
  std::vector<UpstreamId>& logged = this->logged_unreachable;
  const bool cut_off = this->reachability.IsCutOff();
  if (unreachable == logged && cut_off == this->logged_cut_off) {
    return;
  }
  for (const UpstreamId& worker : unreachable) {
    if (!std::binary_search(logged.begin(), logged.end(), worker)) {
      log("worker unreachable", {{"worker", worker.value}});
    }
  }
  for (const UpstreamId& worker : logged) {
    if (!std::binary_search(unreachable.begin(), unreachable.end(), worker)) {
      log("worker reachable again", {{"worker", worker.value}});
    }
  }
  if (cut_off != this->logged_cut_off) {
    log(cut_off ? "cut off from all workers" : "no longer cut off",
        {{"unreachable", std::to_string(unreachable.size())},
         {"relays", std::to_string(this->relays.Offering())}});
  }
  logged = unreachable;
  this->logged_cut_off = cut_off;
  this->hooks.changed(now);
}

}  // namespace limpetlink
