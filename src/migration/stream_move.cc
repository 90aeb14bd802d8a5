#include "migration/detail/stream_move.h"

#include <algorithm>
#include <utility>

namespace limpetlink {
namespace {

// A stream without its first token can't migrate yet; the command is retried.
constexpr Duration kNotStartedDelay = std::chrono::milliseconds(40);
constexpr Duration kBusyDelay = std::chrono::milliseconds(20);
constexpr Duration kNoCapacityDelay = std::chrono::milliseconds(60);
// Commands for one stream, and times that none could be sent.
constexpr std::uint32_t kMaxAttempts = 200;
// The last events of a stopped stream arrive with the response to the command
// or shortly after it.
constexpr Duration kLastEventsTimeout = std::chrono::milliseconds(25);

}  // namespace

StreamMove::StreamMove(UpstreamId source, UpstreamId planned,
                       std::vector<UpstreamId> refused)
    : source(std::move(source)),
      destination(std::move(planned)),
      refused(std::move(refused)) {}

MoveAction StreamMove::Wait(Duration delay) {
  if (this->phase == MovePhase::kEnded) {
    return {};
  }
  if (++this->attempts > kMaxAttempts) {
    return {MoveStep::kGiveUp, Duration{0}, {}};
  }
  return {MoveStep::kWait, delay, {}};
}

MoveAction StreamMove::OnTimer() {
  switch (this->phase) {
    case MovePhase::kScheduled:
      return {MoveStep::kCopy, Duration{0}, {}};
    case MovePhase::kCopied:
      return {MoveStep::kStop, Duration{0}, {}};
    case MovePhase::kStopped:
      return {MoveStep::kResume, Duration{0}, {}};
    case MovePhase::kCopying:
    case MovePhase::kStopping:
    case MovePhase::kEnded:
      break;
  }
  return {};
}

MoveAction StreamMove::OnHeld(Duration delay) { return this->Wait(delay); }

MoveAction StreamMove::OnNoDestination() {
  this->refused.clear();
  return this->Wait(kNoCapacityDelay);
}

MoveAction StreamMove::OnDestinationLost() {
  MoveAction action = this->Wait(kNoCapacityDelay);
  if (this->phase == MovePhase::kCopied) {
    this->phase = MovePhase::kScheduled;
    action.unused = std::exchange(this->handle, {});
  }
  return action;
}

void StreamMove::SetDestination(UpstreamId chosen) {
  this->destination = std::move(chosen);
}

void StreamMove::OnCommandSent(CallId call) {
  this->phase = this->phase == MovePhase::kCopied ? MovePhase::kStopping
                                                  : MovePhase::kCopying;
  this->command = call;
}

MoveAction StreamMove::OnCommandEnd(CallId call,
                                    const KvTransferResult& result) {
  if (this->command.value == 0 || !(call == this->command)) {
    return {};
  }
  this->command = CallId{};
  this->events_generated = std::max(this->events_generated, result.events);
  const bool copied = result.outcome == KvTransferOutcome::kCopied;
  if (this->phase == MovePhase::kStopping) {
    // These responses say that the run was not stopped.
    const bool not_stopped =
        result.outcome == KvTransferOutcome::kBusy ||
        (result.outcome == KvTransferOutcome::kNoCapacity &&
         result.handle.empty());
    if (not_stopped) {
      this->phase = MovePhase::kCopied;
      return this->source_ended ? this->AfterSourceEnd()
                                : this->Wait(kBusyDelay);
    }
    if (!result.handle.empty()) {
      this->handle = result.handle;
      this->at_source = !copied;
    }
    // Otherwise it stopped or ended; it continues from the first transfer.
    this->run_gone = result.outcome == KvTransferOutcome::kNoSuchRun;
    return this->Settle();
  }
  if (copied) {
    this->phase = MovePhase::kCopied;
    this->handle = result.handle;
    return {MoveStep::kStop, Duration{0}, {}};
  }
  this->phase = MovePhase::kScheduled;
  switch (result.outcome) {
    case KvTransferOutcome::kNoSuchRun:
      return this->Wait(kNotStartedDelay);
    case KvTransferOutcome::kBusy:
      return this->Wait(kBusyDelay);
    default:
      // An immediate second refusal is due to the source rather than the
      // destinations: it accepts no command while others are queued there.
      this->refused.push_back(this->destination);
      return this->Wait(this->refused.size() > 1 ? kBusyDelay : Duration{0});
  }
}

MoveAction StreamMove::Settle() {
  this->phase = MovePhase::kStopped;
  if (!this->source_ended) {
    return {MoveStep::kWait, kLastEventsTimeout, {}};
  }
  return this->AfterSourceEnd();
}

MoveAction StreamMove::AfterSourceEnd() const {
  return {this->IsWhole() ? MoveStep::kDeliver : MoveStep::kResume,
          Duration{0},
          {}};
}

MoveAction StreamMove::OnSourceEnd(SourceEnd end,
                                   std::uint64_t events_relayed) {
  this->source_ended = true;
  this->source_end = end;
  this->events_relayed = events_relayed;
  if (end == SourceEnd::kWhole) {
    return {MoveStep::kLeave, Duration{0}, {}};
  }
  switch (this->phase) {
    case MovePhase::kScheduled:
    case MovePhase::kCopying:
      return {end == SourceEnd::kBroken || this->IsWhole() ? MoveStep::kLeave
                                                           : MoveStep::kAbort,
              Duration{0},
              {}};
    case MovePhase::kCopied:
    case MovePhase::kStopped:
      return {this->IsWhole() ? MoveStep::kLeave : MoveStep::kResume,
              Duration{0},
              {}};
    case MovePhase::kStopping:  // the response tells which end it was
    case MovePhase::kEnded:
      break;
  }
  return {};
}

bool StreamMove::IsWhole() const {
  if (this->source_end == SourceEnd::kBroken ||
      this->events_generated > this->events_relayed) {
    return false;
  }
  const bool told_to_stop =
      this->phase == MovePhase::kStopping || this->phase == MovePhase::kStopped;
  return !told_to_stop || this->run_gone;
}

MoveRemains StreamMove::End() {
  this->phase = MovePhase::kEnded;
  return {std::exchange(this->command, CallId{}),
          std::exchange(this->handle, {})};
}

}  // namespace limpetlink
