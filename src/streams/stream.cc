#include "streams/detail/stream.h"

#include <algorithm>
#include <utility>

namespace limpetlink {
namespace {

constexpr std::size_t kEventOverheadBytes = 200;  // id, JSON around the text
constexpr std::int64_t kGapWeight = 8;  // share of a new gap in the mean: 1/8
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
    return this->resume_at;
  }
  if (this->current_phase == StreamPhase::kCalling && !this->paused) {
    return this->last_sign + this->StallTimeout();
  }
  return kNever;
}

Outcome Stream::CurrentOutcome() const {
  if (this->totals.delivered > 0) {
    return Outcome::kRan;
  }
  const bool reached = this->at_worker || this->may_have_run;
  return reached ? Outcome::kUnknown : Outcome::kNotRun;
}

void Stream::Handle(Instant now, StreamBegin& message, StreamActions& out) {
  if (this->current_phase != StreamPhase::kWaitingForWorker) {
    ++this->totals.late;
    return;
  }
  if (this->standing > 0) {
    ++this->totals.restarts;
    out.push_back(RestartStream{this->standing_generation, this->standing,
                                message.generation});
  } else if (this->generations > 0) {
    ++this->totals.silent_reruns;
  }
  this->current_generation = std::move(message.generation);
  this->current_worker = std::move(message.worker);
  this->standing = 0;
  this->standing_generation = this->current_generation;
  this->offset = 0;
  this->resumes_in_row = 0;
  this->last_token = kNever;
  this->last_sign = now;
  this->paused = false;
  this->starting = true;
  this->at_worker = true;
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
  this->standing_generation = this->current_generation;
  this->standing = message.offset;
  this->offset = message.offset;
  this->at_worker = true;
  this->may_have_run = true;
  this->generations = 1;
  this->OpenResume(now, out);
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
    this->TakeFinish(frame, out);
    return;
  }
  this->TakeToken(now, frame, out);
}

void Stream::TakeToken(Instant now, EngineFrame& frame, StreamActions& out) {
  this->LearnGap(now);
  this->resumes_in_row = 0;
  this->buffered += frame.text.size() + kEventOverheadBytes;
  out.push_back(DeliverToken{this->current_generation, this->offset,
                             std::move(frame.text)});
  ++this->offset;
  ++this->standing;
  ++this->totals.delivered;
  this->PauseIfFull(out);
}

void Stream::TakeFinish(const EngineFrame& frame, StreamActions& out) {
  this->current_phase = StreamPhase::kEnded;
  this->at_worker = false;
  this->may_have_run = true;
  out.push_back(AbandonCall{this->attempt});
  out.push_back(
      FinishStream{this->current_generation, this->offset, *frame.finish});
}

void Stream::LearnGap(Instant now) {
  if (this->last_token != kNever) {
    const Duration gap = now - this->last_token;
    this->mean_gap += (gap - this->mean_gap) / kGapWeight;
  }
  this->last_token = now;
  this->last_sign = now;
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
    this->last_sign = now;
  }
}

void Stream::Handle(Instant now, StreamCallEnded& message, StreamActions& out) {
  if (!this->IsCurrentCall(message.attempt)) {
    return;
  }
  const StreamCallEnd end = message.end;
  const bool nothing_sent =
      end == StreamCallEnd::kNotConnected || end == StreamCallEnd::kRefused;
  if (this->starting && nothing_sent) {
    this->LoseGeneration(end, false, out);
    return;
  }
  if (end == StreamCallEnd::kUnknownGeneration) {
    this->LoseGeneration(end, true, out);
    return;
  }
  this->RetryCall(now, end, out);
}

void Stream::RetryCall(Instant now, StreamCallEnd cause, StreamActions& out) {
  if (this->resumes_in_row >= this->options.max_resumes) {
    this->LoseGeneration(cause, true, out);
    return;
  }
  const std::uint32_t before = this->resumes_in_row;
  ++this->resumes_in_row;
  this->current_phase = StreamPhase::kBackoff;
  if (this->paused) {
    this->resume_at = kNever;  // until the caller drains
    return;
  }
  if (before == 0) {
    this->OpenResume(now, out);
    return;
  }
  this->resume_at = now + Doubled(this->options.resume_backoff, before - 1);
}

void Stream::OpenResume(Instant now, StreamActions& out) {
  this->current_phase = StreamPhase::kCalling;
  this->starting = false;
  this->paused = false;
  this->resume_at = kNever;
  this->last_sign = now;
  this->last_token = kNever;
  ++this->attempt;
  ++this->totals.resumes;
  out.push_back(ResumeCall{this->attempt, this->current_generation,
                           this->current_worker, this->offset});
}

void Stream::LoseGeneration(StreamCallEnd cause, bool reached_worker,
                            StreamActions& out) {
  if (reached_worker) {
    this->may_have_run = true;
    out.push_back(
        CancelGeneration{this->current_worker, this->current_generation});
  }
  this->at_worker = false;
  this->paused = false;
  this->current_phase = StreamPhase::kWaitingForWorker;
  this->excluded.push_back(this->current_worker);
  const bool keep = this->standing > 0 && this->options.on_loss == OnLoss::kEnd;
  if (keep || this->generations >= this->options.max_generations) {
    this->End({ErrorCode::kStreamLost, Outcome::kUnknown,
               "the stream's engine was lost", std::nullopt},
              out);
    return;
  }
  out.push_back(
      RequestNewWorker{this->excluded, this->standing, cause, reached_worker});
}

void Stream::Handle(Instant now, StreamBufferDrained& message,
                    StreamActions& out) {
  this->buffered = message.buffered;
  if (!this->paused || this->buffered > this->options.low_buffer_bytes) {
    return;
  }
  this->paused = false;
  if (this->current_phase == StreamPhase::kBackoff) {
    this->OpenResume(now, out);
    return;
  }
  this->last_sign = now;
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
  if (this->at_worker && message.cancel) {
    out.push_back(
        CancelGeneration{this->current_worker, this->current_generation});
  }
  this->current_phase = StreamPhase::kEnded;
}

void Stream::Handle(Instant, StreamAbort& message, StreamActions& out) {
  if (this->current_phase == StreamPhase::kEnded) {
    return;
  }
  this->CloseCall(out);
  this->End(std::move(message.problem), out);
}

void Stream::CloseCall(StreamActions& out) {
  if (this->current_phase == StreamPhase::kCalling) {
    out.push_back(AbandonCall{this->attempt});
  }
  if (this->at_worker) {
    out.push_back(
        CancelGeneration{this->current_worker, this->current_generation});
  }
}

void Stream::End(Problem problem, StreamActions& out) {
  problem.outcome = this->CurrentOutcome();
  this->current_phase = StreamPhase::kEnded;
  out.push_back(EndIncomplete{this->standing_generation, this->standing,
                              std::move(problem)});
}

void Stream::Handle(Instant now, StreamTick&, StreamActions& out) {
  if (now < this->NextWakeup()) {
    return;
  }
  if (this->current_phase == StreamPhase::kBackoff) {
    this->OpenResume(now, out);
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
  return std::min(Doubled(base, this->resumes_in_row),
                  std::max(base, this->options.max_stall_timeout));
}

}  // namespace limpetlink
