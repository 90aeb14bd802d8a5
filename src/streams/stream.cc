#include "streams/detail/stream.h"

#include <algorithm>
#include <utility>

namespace limpetlink {
namespace {

constexpr std::size_t kEventOverheadBytes = 200;  // id, JSON around the text
constexpr std::int64_t kGapWeight = 8;  // weight of a new gap in the mean: 1/8
constexpr std::uint32_t kMaxDoublings = 10;

Duration Doubled(Duration base, std::uint32_t times) {
  return base * (std::int64_t{1} << std::min(times, kMaxDoublings));
}

}  // namespace

Stream::Stream(StreamOptions options) : options(options) {}

StreamActions Stream::Step(Instant now, StreamMessage message) {
  StreamActions out;
  std::visit([&](auto& content) { this->Handle(now, content, out); }, message);
  return out;
}

Instant Stream::NextWakeup() const {
  if (this->current_phase == StreamPhase::kBackoff) {
    return this->next_resume;
  }
  if (this->current_phase == StreamPhase::kCalling && !this->paused) {
    return this->last_activity + this->StallTimeout();
  }
  return kNever;
}

Outcome Stream::CurrentOutcome() const {
  if (this->totals.delivered > 0) {
    return Outcome::kRan;
  }
  const bool reached_worker = this->may_be_at_worker || this->may_have_run;
  return reached_worker ? Outcome::kUnknown : Outcome::kNotRun;
}

void Stream::Handle(Instant now, StreamBegin& message, StreamActions& out) {
  if (this->current_phase != StreamPhase::kWaitingForWorker) {
    ++this->totals.late;
    return;
  }
  if (this->held_tokens > 0) {
    ++this->totals.restarts;
    out.push_back(RestartStream{this->caller_generation, this->held_tokens,
                                message.generation});
  } else if (this->generations > 0) {
    ++this->totals.silent_reruns;
  }
  this->current_generation = std::move(message.generation);
  this->current_worker = std::move(message.worker);
  this->held_tokens = 0;
  this->caller_generation = this->current_generation;
  this->offset = 0;
  this->consecutive_resumes = 0;
  this->last_token = kNever;
  this->last_activity = now;
  this->paused = false;
  this->first_call = true;
  this->may_be_at_worker = true;
  this->current_phase = StreamPhase::kCalling;
  ++this->generations;
  ++this->attempt;
  out.push_back(
      StartCall{this->attempt, this->current_generation, this->current_worker});
}

void Stream::Handle(Instant now, StreamResume& message, StreamActions& out) {
  if (this->current_phase != StreamPhase::kWaitingForWorker ||
      this->generations > 0) {
    ++this->totals.late;
    return;
  }
  this->current_generation = std::move(message.generation);
  this->current_worker = std::move(message.worker);
  this->caller_generation = this->current_generation;
  this->held_tokens = message.offset;
  this->offset = message.offset;
  this->may_be_at_worker = true;
  this->may_have_run = true;
  this->generations = 1;
  this->OpenResumeCall(now, out);
}

bool Stream::IsCurrentCall(StreamAttempt attempt) {
  const bool current =
      this->current_phase == StreamPhase::kCalling && attempt == this->attempt;
  if (!current) {
    ++this->totals.late;
  }
  return current;
}

void Stream::Handle(Instant now, StreamFrame& message, StreamActions& out) {
  if (!this->IsCurrentCall(message.attempt)) {
    return;
  }
  EngineFrame& frame = message.frame;
  if (frame.generation != this->current_generation) {
    ++this->totals.stale;
    return;
  }
  if (frame.offset < this->offset) {
    ++this->totals.duplicates;
    return;
  }
  if (frame.offset > this->offset) {
    ++this->totals.gaps;
    out.push_back(AbandonCall{this->attempt});
    this->RetryCall(now, StreamCallEnd::kMalformed, out);
    return;
  }
  if (frame.finish) {
    this->HandleFinish(frame, out);
    return;
  }
  this->HandleToken(now, frame, out);
}

void Stream::HandleToken(Instant now, EngineFrame& frame, StreamActions& out) {
  this->UpdateMeanGap(now);
  this->consecutive_resumes = 0;
  this->buffered += frame.text.size() + kEventOverheadBytes;
  out.push_back(DeliverToken{this->current_generation, this->offset,
                             std::move(frame.text)});
  ++this->offset;
  ++this->held_tokens;
  ++this->totals.delivered;
  this->PauseIfFull(out);
}

void Stream::HandleFinish(const EngineFrame& frame, StreamActions& out) {
  this->current_phase = StreamPhase::kEnded;
  this->may_be_at_worker = false;
  this->may_have_run = true;
  out.push_back(AbandonCall{this->attempt});
  out.push_back(
      FinishStream{this->current_generation, this->offset, *frame.finish});
}

void Stream::UpdateMeanGap(Instant now) {
  if (this->last_token != kNever) {
    const Duration gap = now - this->last_token;
    this->mean_gap += (gap - this->mean_gap) / kGapWeight;
  }
  this->last_token = now;
  this->last_activity = now;
}

void Stream::PauseIfFull(StreamActions& out) {
  if (this->paused || this->buffered <= this->options.high_buffer_bytes) {
    return;
  }
  this->paused = true;
  ++this->totals.pauses;
  out.push_back(PauseCall{this->attempt, true});
}

void Stream::Handle(Instant now, StreamCallActivity& message, StreamActions&) {
  if (this->IsCurrentCall(message.attempt)) {
    this->last_activity = now;
  }
}

void Stream::Handle(Instant now, StreamCallEnded& message, StreamActions& out) {
  if (!this->IsCurrentCall(message.attempt)) {
    return;
  }
  const StreamCallEnd end = message.end;
  const bool not_executed =
      end == StreamCallEnd::kNotConnected || end == StreamCallEnd::kRefused;
  if (this->first_call && not_executed) {
    this->HandleGenerationLost(end, false, out);
    return;
  }
  if (end == StreamCallEnd::kUnknownGeneration) {
    this->HandleGenerationLost(end, true, out);
    return;
  }
  this->RetryCall(now, end, out);
}

void Stream::RetryCall(Instant now, StreamCallEnd cause, StreamActions& out) {
  if (this->consecutive_resumes >= this->options.max_resumes) {
    this->HandleGenerationLost(cause, true, out);
    return;
  }
  const std::uint32_t previous_resumes = this->consecutive_resumes;
  ++this->consecutive_resumes;
  this->current_phase = StreamPhase::kBackoff;
  if (this->paused) {
    this->next_resume = kNever;  // resumes once the caller has read
    return;
  }
  if (previous_resumes == 0) {
    this->OpenResumeCall(now, out);
    return;
  }
  this->next_resume =
      now + Doubled(this->options.resume_backoff, previous_resumes - 1);
}

void Stream::OpenResumeCall(Instant now, StreamActions& out) {
  this->current_phase = StreamPhase::kCalling;
  this->first_call = false;
  this->paused = false;
  this->next_resume = kNever;
  this->last_activity = now;
  this->last_token = kNever;
  ++this->attempt;
  ++this->totals.resumes;
  out.push_back(ResumeCall{this->attempt, this->current_generation,
                           this->current_worker, this->offset});
}

void Stream::HandleGenerationLost(StreamCallEnd cause, bool reached_worker,
                                  StreamActions& out) {
  if (reached_worker) {
    this->may_have_run = true;
    if (this->offset < this->options.first_output_tokens) {
      ++this->early_losses;
    }
    out.push_back(
        CancelGeneration{this->current_worker, this->current_generation});
  }
  this->may_be_at_worker = false;
  this->paused = false;
  this->current_phase = StreamPhase::kWaitingForWorker;
  this->excluded.push_back(this->current_worker);
  const bool keeps_tokens =
      this->held_tokens > 0 && this->options.on_loss == OnLoss::kEnd;
  const bool gives_up = this->generations >= this->options.max_generations ||
                        this->early_losses >= this->options.max_early_losses;
  if (keeps_tokens || gives_up) {
    this->End({ErrorCode::kStreamLost, Outcome::kUnknown,
               "the engine of the stream was lost", std::nullopt},
              out);
    return;
  }
  out.push_back(RequestNewWorker{this->excluded, this->held_tokens, cause,
                                 reached_worker});
}

void Stream::Handle(Instant now, StreamBufferDrained& message,
                    StreamActions& out) {
  this->buffered = message.buffered;
  if (!this->paused || this->buffered > this->options.low_buffer_bytes) {
    return;
  }
  this->paused = false;
  if (this->current_phase == StreamPhase::kBackoff) {
    this->OpenResumeCall(now, out);
    return;
  }
  this->last_activity = now;
  this->last_token = kNever;
  out.push_back(PauseCall{this->attempt, false});
}

void Stream::Handle(Instant, StreamCallerLeft& message, StreamActions& out) {
  if (this->current_phase == StreamPhase::kEnded) {
    return;
  }
  if (this->current_phase == StreamPhase::kCalling) {
    out.push_back(AbandonCall{this->attempt});
  }
  if (this->may_be_at_worker && message.cancel) {
    out.push_back(
        CancelGeneration{this->current_worker, this->current_generation});
  }
  this->current_phase = StreamPhase::kEnded;
}

void Stream::Handle(Instant, StreamAbort& message, StreamActions& out) {
  if (this->current_phase == StreamPhase::kEnded) {
    return;
  }
  this->AbandonAndCancel(out);
  this->End(std::move(message.problem), out);
}

void Stream::AbandonAndCancel(StreamActions& out) {
  if (this->current_phase == StreamPhase::kCalling) {
    out.push_back(AbandonCall{this->attempt});
  }
  if (this->may_be_at_worker) {
    out.push_back(
        CancelGeneration{this->current_worker, this->current_generation});
  }
}

void Stream::End(Problem problem, StreamActions& out) {
  problem.outcome = this->CurrentOutcome();
  this->current_phase = StreamPhase::kEnded;
  out.push_back(EndIncomplete{this->caller_generation, this->held_tokens,
                              std::move(problem)});
}

void Stream::Handle(Instant now, StreamTick&, StreamActions& out) {
  if (now < this->NextWakeup()) {
    return;
  }
  if (this->current_phase == StreamPhase::kBackoff) {
    this->OpenResumeCall(now, out);
    return;
  }
  if (this->current_phase == StreamPhase::kCalling && !this->paused) {
    ++this->totals.stalls;
    out.push_back(AbandonCall{this->attempt});
    this->RetryCall(now, StreamCallEnd::kTimeout, out);
  }
}

Duration Stream::StallTimeout() const {
  Duration base = this->options.first_token_timeout;
  if (this->offset > 0) {
    base = std::clamp(this->mean_gap * this->options.stall_factor,
                      this->options.min_stall_timeout,
                      this->options.max_stall_timeout);
  }
  return std::min(Doubled(base, this->consecutive_resumes),
                  std::max(base, this->options.max_stall_timeout));
}

}  // namespace limpetlink
