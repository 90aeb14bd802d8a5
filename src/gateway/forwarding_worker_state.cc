#include "absl/strings/str_cat.h"
#include "gateway/detail/forwarding.h"

namespace limpetlink {

void Forwarding::ApplyWorkerState(Instant now, const UpstreamId& worker,
                                  int status, const WorkerResponse& response) {
  constexpr int kUnavailable = 503;
  if (status == kUnavailable && response.retry_after.has_value()) {
    if (this->allowances.HeldUntil(worker) < now) {
      this->Log(LogLevel::kInfo, "worker requests a pause",
                {{"worker", worker.value},
                 {"pause_ms", MillisecondsText(*response.retry_after)}});
    }
    this->allowances.Hold(now, worker, now + *response.retry_after);
  }
  if (response.leaving) {
    this->hooks.worker_leaving(now, worker);
  }
}

void Forwarding::NoteResponse(Instant now, const UpstreamId& worker,
                              Instant sent, int status,
                              const WorkerResponse& response) {
  this->ApplyWorkerState(now, worker, status, response);
  constexpr int kMisdirected = 421;  // another worker's response
  if (status == kMisdirected) {
    return;
  }
  this->ReadLimit(now, worker, sent, response, LimitSource::kResponse);
  const WorkerRegistration* known = this->directory->Find(worker);
  if (known == nullptr || response.request_id.empty()) {
    return;
  }
  bool changed = this->allowances.NoteBrittleness(
      now, {worker, known->started_at, known->domain, known->slots}, sent,
      response.max_rejections);
  if (changed) {
    this->Log(
        LogLevel::kInfo, "worker is brittle",
        {{"worker", worker.value},
         {"rejections_per_second", absl::StrCat(*response.max_rejections)},
         {"slots", std::to_string(known->slots)}});
  }
  constexpr int kUnavailable = 503;
  if (status == kUnavailable && response.not_run &&
      this->allowances.NoteRefusal(now, worker)) {
    this->Log(LogLevel::kInfo, "brittle worker refuses for want of room",
              {{"worker", worker.value},
               {"domain_requests",
                std::to_string(this->loads.DomainRequestsAt(worker))}});
    changed = true;
  }
  if (changed) {
    this->hooks.limits_changed(now);
  }
}

void Forwarding::ReadLimit(Instant now, const UpstreamId& worker, Instant sent,
                           const WorkerResponse& response, LimitSource source) {
  const WorkerRegistration* known = this->directory->Find(worker);
  if (known == nullptr) {
    return;
  }
  if (response.limit_unreadable) {
    if (this->unreadable_limits.insert(worker).second) {
      this->Log(LogLevel::kWarning, "worker limit unreadable",
                {{"worker", worker.value}});
    }
    return;
  }
  // A response without the id of its request may not be the answer to it.
  const bool may_end =
      source == LimitSource::kResponse && !response.request_id.empty();
  if (!response.request_limit.has_value() && !may_end) {
    return;
  }
  const LimitNotice notice{worker, known->started_at, response.request_limit,
                           now - sent, Duration{0}};
  if (this->ApplyLimit(now, notice, source)) {
    this->hooks.limits_changed(now);
  }
}

bool Forwarding::ApplyLimit(Instant now, const LimitNotice& notice,
                            LimitSource source) {
  const WorkerRegistration* worker = this->directory->Find(notice.worker);
  const bool changed =
      worker != nullptr &&
      this->allowances.Apply(now, notice, worker->domain,
                             source != LimitSource::kNeighbour);
  if (changed) {
    this->Log(LogLevel::kInfo,
              notice.per_second ? "worker limits its requests"
                                : "worker ends its limit",
              {{"worker", notice.worker.value},
               {"per_second",
                notice.per_second ? absl::StrCat(*notice.per_second) : "none"},
               {"source", std::string(ToText(source))},
               {"heard_ms_ago", MillisecondsText(notice.heard_age)}});
  }
  return changed;
}

}  // namespace limpetlink
