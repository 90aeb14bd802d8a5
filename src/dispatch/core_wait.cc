#include <algorithm>

#include "dispatch/detail/core.h"

namespace limpetlink {
namespace {

constexpr Duration kReviewEvery = std::chrono::milliseconds(250);
constexpr Duration kTellEvery = std::chrono::seconds(2);
constexpr Duration kAskExpires = std::chrono::seconds(10);
constexpr std::size_t kEnoughDenials = 3;
constexpr Duration kNoUpstreamRetry = std::chrono::seconds(2);

}  // namespace

std::size_t DispatchCore::Ahead(const Entry& entry) {
  // Lines are served in turn, so each request before it in its own line comes
  // with one of every other line.
  const WaitQueue& queue =
      this->queues[entry.submit.target].Of(entry.submit.request_class);
  const std::size_t own =
      queue.Position(entry.submit.organisation, entry.ticket);
  const std::size_t lines = queue.Lines();
  return std::min(queue.Size(), (own + 1) * lines);
}

std::optional<Duration> DispatchCore::ExpectedWait(const Entry& entry,
                                                   std::size_t ahead) {
  return this->queues[entry.submit.target]
      .Of(entry.submit.request_class)
      .ExpectedWait(this->now, ahead);
}

Duration DispatchCore::LongestWait(const Entry& entry) const {
  const Duration by_weight = this->policy.longest_wait;
  if (entry.submit.deadline == kNever) {
    return by_weight;
  }
  return std::min(by_weight, entry.submit.deadline - entry.arrived);
}

bool DispatchCore::MayStillHelp(const Entry& entry) const {
  const bool others = this->directory.Any(entry.submit.target);
  return others && entry.denied_by.size() < kEnoughDenials &&
         this->directory
             .Choose(this->now, entry.submit.target, entry.ticket,
                     entry.denied_by)
             .has_value();
}

void DispatchCore::JudgeArrival(Entry& entry) {
  this->AskFor(entry);
  if (entry.placed) {
    return;
  }
  const std::size_t ahead = this->Ahead(entry);
  const auto expected = this->ExpectedWait(entry, ahead);
  const Duration longest = this->LongestWait(entry);
  const bool too_long = expected && *expected > longest;
  if (too_long && !this->MayStillHelp(entry)) {
    this->RefuseEntry(entry, ErrorCode::kAdmissionExpectedWaitTooLong,
                      "the queue would take longer than the request may wait",
                      *expected - longest);
    return;
  }
  this->TellWaiting(entry, ahead);
}

void DispatchCore::TellWaiting(Entry& entry, std::size_t ahead) {
  entry.told = this->now;
  entry.told_place = static_cast<std::uint32_t>(ahead);
  Waiting waiting;
  waiting.request = entry.submit.request;
  waiting.place = entry.told_place;
  waiting.expected_wait =
      this->ExpectedWait(entry, ahead).value_or(Duration{0});
  waiting.reason = entry.ask && entry.ask->queued
                       ? "workers of this and another host are full"
                       : "workers are full";
  this->actions.emplace_back(std::move(waiting));
}

void DispatchCore::Review() {
  if (this->now - this->reviewed < kReviewEvery) {
    return;
  }
  this->reviewed = this->now;
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
      if (this->now - entry.refreshed >= kAskExpires) {
        this->Dequeue(entry, false);
        this->Forget(ticket);
      }
      continue;
    }
    if (!this->ReviewEntry(entry, this->Ahead(entry))) {
      this->ReviewAsk(entry);
    }
  }
}

bool DispatchCore::ReviewEntry(Entry& entry, std::size_t ahead) {
  const SubmitRequest& submit = entry.submit;
  const auto expected = this->ExpectedWait(entry, ahead);
  if (submit.deadline <= this->now) {
    this->RefuseEntry(entry, ErrorCode::kRequestDeadlineReached,
                      "the deadline was reached in the queue", expected);
    return true;
  }
  const auto& everyone = this->router.WorkersOf(submit.target);
  if (!this->router.AnyAvailable(this->now, everyone, submit.excluded)) {
    this->RefuseEntry(entry, ErrorCode::kRoutingNoUpstream,
                      "no worker takes new work", kNoUpstreamRetry);
    return true;
  }
  const Duration waited = this->now - entry.arrived;
  const Duration longest = this->LongestWait(entry);
  const bool hopeless = expected && waited + *expected > longest * 3 / 2;
  const bool over = waited > longest * 3 / 2;
  if ((hopeless || over) && !this->MayStillHelp(entry)) {
    this->RefuseEntry(entry, ErrorCode::kAdmissionExpectedWaitTooLong,
                      "the queue drains too slowly", expected);
    return true;
  }
  if (this->now - entry.told >= kTellEvery) {
    this->TellWaiting(entry, ahead);
  }
  return false;
}

}  // namespace limpetlink
