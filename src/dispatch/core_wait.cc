#include <algorithm>

#include "dispatch/detail/core.h"

namespace limpetlink {
namespace {

constexpr Duration kReevaluationInterval = std::chrono::milliseconds(250);
constexpr Duration kWaitingReportInterval = std::chrono::seconds(2);
constexpr Duration kReservationTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxDenials = 3;
constexpr Duration kNoUpstreamRetryAfter = std::chrono::seconds(2);

}  // namespace

std::size_t DispatchCore::RequestsAhead(const Entry& entry) {
  // The organisations' queues are served in turn, so each request ahead in the
  // same queue comes with one request of every other queue.
  const WaitQueue& queue =
      this->queues[entry.submit.target].Of(entry.submit.request_class);
  const std::size_t own_position =
      queue.Position(entry.submit.organisation, entry.ticket);
  const std::size_t organisation_count = queue.OrganisationCount();
  return std::min(queue.Size(), (own_position + 1) * organisation_count);
}

std::optional<Duration> DispatchCore::ExpectedWait(const Entry& entry,
                                                   std::size_t ahead) {
  return this->queues[entry.submit.target]
      .Of(entry.submit.request_class)
      .ExpectedWait(this->now, ahead);
}

Duration DispatchCore::MaxWait(const Entry& entry) const {
  const Duration by_weight = this->policy.max_wait;
  if (entry.submit.deadline == kNever) {
    return by_weight;
  }
  return std::min(by_weight, entry.submit.deadline - entry.arrived);
}

bool DispatchCore::HasUntriedOwner(const Entry& entry) const {
  const bool has_other_owners = this->directory.HasOwners(entry.submit.target);
  return has_other_owners && entry.denied_by.size() < kMaxDenials &&
         this->directory
             .Choose(this->now, entry.submit.target, entry.ticket,
                     entry.denied_by)
             .has_value();
}

void DispatchCore::EvaluateArrival(Entry& entry) {
  this->RequestReservation(entry);
  if (entry.placed) {
    return;
  }
  const std::size_t ahead = this->RequestsAhead(entry);
  const auto expected = this->ExpectedWait(entry, ahead);
  const Duration max_wait = this->MaxWait(entry);
  const bool too_long = expected && *expected > max_wait;
  if (too_long && !this->HasUntriedOwner(entry)) {
    this->RefuseEntry(entry, ErrorCode::kAdmissionExpectedWaitTooLong,
                      "the expected wait exceeds the request's maximum wait",
                      *expected - max_wait);
    return;
  }
  this->ReportWaiting(entry, ahead);
}

void DispatchCore::ReportWaiting(Entry& entry, std::size_t ahead) {
  entry.last_reported = this->now;
  entry.reported_position = static_cast<std::uint32_t>(ahead);
  Waiting waiting;
  waiting.request = entry.submit.request;
  waiting.position = entry.reported_position;
  waiting.expected_wait =
      this->ExpectedWait(entry, ahead).value_or(Duration{0});
  waiting.reason = entry.reservation && entry.reservation->queued
                       ? "workers of this and another host are full"
                       : "workers are full";
  this->actions.emplace_back(std::move(waiting));
}

void DispatchCore::ReevaluateWaiting() {
  if (this->now - this->last_reevaluation < kReevaluationInterval) {
    return;
  }
  this->last_reevaluation = this->now;
  std::vector<Ticket> waiting;
  for (const auto& [ticket, entry] : this->entries) {
    if (!entry.placed) {
      waiting.push_back(ticket);
    }
  }
  for (const Ticket ticket : waiting) {
    const auto it = this->entries.find(ticket);
    if (it == this->entries.end() || it->second.placed) {
      continue;
    }
    Entry& entry = it->second;
    if (entry.key.holder != this->settings.self) {
      if (this->now - entry.refreshed >= kReservationTimeout) {
        this->Dequeue(entry, false);
        this->RemoveEntry(ticket);
      }
      continue;
    }
    if (!this->ReevaluateEntry(entry, this->RequestsAhead(entry))) {
      this->CheckReservation(entry);
    }
  }
}

bool DispatchCore::ReevaluateEntry(Entry& entry, std::size_t ahead) {
  const SubmitRequest& submit = entry.submit;
  const auto expected = this->ExpectedWait(entry, ahead);
  if (submit.deadline <= this->now) {
    this->RefuseEntry(entry, ErrorCode::kRequestDeadlineReached,
                      "the deadline was reached in the queue", expected);
    return true;
  }
  const auto& all_workers = this->router.WorkersOf(submit.target);
  if (!this->router.AnyAvailable(this->now, all_workers, submit.excluded)) {
    this->RefuseEntry(entry, ErrorCode::kRoutingNoUpstream,
                      "no worker accepts new work", kNoUpstreamRetryAfter);
    return true;
  }
  const Duration waited = this->now - entry.arrived;
  const Duration max_wait = this->MaxWait(entry);
  const bool expected_too_long =
      expected && waited + *expected > max_wait * 3 / 2;
  const bool waited_too_long = waited > max_wait * 3 / 2;
  if ((expected_too_long || waited_too_long) && !this->HasUntriedOwner(entry)) {
    this->RefuseEntry(entry, ErrorCode::kAdmissionExpectedWaitTooLong,
                      "the queue drains too slowly", expected);
    return true;
  }
  if (this->now - entry.last_reported >= kWaitingReportInterval) {
    this->ReportWaiting(entry, ahead);
  }
  return false;
}

}  // namespace limpetlink
