#include <algorithm>

#include "dispatch/detail/core.h"

namespace limpetlink {
namespace {

// Number of organisations tried when the request at the front does not fit.
constexpr std::size_t kMaxOrganisationsTried = 2;

}  // namespace

void DispatchCore::DrainAll() {
  std::vector<std::string> targets;
  for (const auto& [target, queue] : this->queues) {
    if (queue.Size() > 0) {
      targets.push_back(target);
    }
  }
  for (const std::string& target : targets) {
    this->Drain(target);
  }
}

void DispatchCore::Drain(const std::string& target) {
  const auto it = this->queues.find(target);
  if (it == this->queues.end()) {
    return;
  }
  while (it->second.verdicts.Size() > 0 &&
         this->DrainOne(target, RequestClass::kVerdict)) {
  }
  while (it->second.drafts.Size() > 0 &&
         this->DrainOne(target, RequestClass::kDraft)) {
  }
}

bool DispatchCore::DrainOne(const std::string& target,
                            RequestClass request_class) {
  WaitQueue& queue = this->queues[target].Of(request_class);
  const auto order = this->fair[target].Order(queue.Organisations());
  std::size_t tried = 0;
  for (const OrganisationId& organisation : order) {
    if (++tried > kMaxOrganisationsTried) {
      return false;
    }
    const auto head = queue.Front(organisation);
    if (head && this->TryPlace(this->entries.at(*head))) {
      return true;
    }
  }
  return false;
}

bool DispatchCore::TryPlace(Entry& entry) {
  const SubmitRequest& submit = entry.submit;
  const auto& owned = this->workers.OwnedWorkersOf(submit.target);
  const auto ranked = this->router.Rank(
      this->now, owned, submit.prefix_blocks, submit.excluded,
      [this](const UpstreamId& id) { return this->workers.Utilisation(id); });
  std::size_t too_long = 0;
  for (const RankedWorker& candidate : ranked) {
    entry.demand.cached_tokens = candidate.cached_tokens;
    const AdmissionDecision decision = this->workers.Check(
        this->now, candidate.worker, entry.demand, candidate.usable_fraction);
    if (decision == AdmissionDecision::kAdmit) {
      this->PlaceLocally(entry, candidate.worker);
      return true;
    }
    too_long += decision == AdmissionDecision::kTooLong ? 1 : 0;
  }
  const bool never_fits = too_long > 0 && too_long == ranked.size() &&
                          entry.key.holder == this->settings.self;
  if (never_fits) {
    this->RefuseEntry(entry, ErrorCode::kAdmissionTooLongForModel,
                      "the prompt exceeds the memory of the workers", {});
  }
  return never_fits;
}

void DispatchCore::PlaceLocally(Entry& entry, const UpstreamId& worker) {
  this->Dequeue(entry, true);
  this->workers.Add(this->now, worker, entry.key, entry.demand, 0);
  entry.charged = this->ChargeFor(entry);
  this->fair[entry.submit.target].Charge(entry.submit.organisation,
                                         entry.charged);
  if (entry.key.holder == this->settings.self) {
    this->WithdrawReservation(entry);
    this->MarkPlaced(entry, worker, this->settings.self);
  } else {
    this->GrantEntry(entry, worker);
  }
}

void DispatchCore::MarkPlaced(Entry& entry, const UpstreamId& worker,
                              const HostId& owner) {
  entry.placed = true;
  entry.worker = worker;
  entry.owner = owner;
  entry.placed_at = this->now;
  entry.priority = StreamPriority(entry.submit.request_class, 0);
  this->actions.emplace_back(Place{entry.submit.request, worker,
                                   this->workers.Find(worker)->url,
                                   entry.priority});
}

void DispatchCore::Dequeue(const Entry& entry, bool served) {
  const auto it = this->queues.find(entry.submit.target);
  if (it != this->queues.end()) {
    it->second.Of(entry.submit.request_class)
        .Erase(this->now, entry.submit.organisation, entry.ticket, served);
  }
}

}  // namespace limpetlink
