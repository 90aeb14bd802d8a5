#include "streams/tests/stream_world.h"

#include <utility>

namespace limpetlink {
namespace {

constexpr int kMaxHostTroubles = 3;
constexpr double kLateEvents = 0.3;  // of calls already closed
constexpr double kFinishLost = 0.1;

StreamOptions Quick(OnLoss on_loss) {
  StreamOptions options;
  options.on_loss = on_loss;
  options.first_token_timeout = std::chrono::seconds(1);
  options.min_stall_timeout = std::chrono::milliseconds(300);
  options.max_stall_timeout = std::chrono::seconds(2);
  options.high_buffer_bytes = 1500;
  options.low_buffer_bytes = 400;
  return options;
}

std::string TextOf(const GenerationId& generation, std::uint64_t offset) {
  return generation.value + "/" + std::to_string(offset);
}

}  // namespace

StreamWorld::StreamWorld(StreamWorldOptions options)
    : options(options), random(options.seed) {}

bool StreamWorld::Chance(double chance) {
  return this->random.Fraction() < chance;
}

Duration StreamWorld::Millis(std::uint64_t low, std::uint64_t high) {
  return std::chrono::milliseconds(low + this->random.Below(high - low + 1));
}

void StreamWorld::At(Instant when, Task task) {
  this->tasks.emplace(std::pair(when, this->next_task++), std::move(task));
}

void StreamWorld::AddHost() {
  Host host;
  host.stream = std::make_unique<Stream>(Quick(this->options.on_loss));
  this->hosts.push_back(std::move(host));
}

void StreamWorld::Run() {
  this->AddHost();
  this->FindWorker(0, RequestNewWorker{});
  while (!this->tasks.empty()) {
    auto node = this->tasks.extract(this->tasks.begin());
    this->now = node.key().first;
    node.mapped()();
  }
  for (const Host& host : this->hosts) {
    const StreamCounts& part = host.stream->Counts();
    this->counts.duplicates += part.duplicates;
    this->counts.gaps += part.gaps;
    this->counts.stale += part.stale;
    this->counts.late += part.late;
    this->counts.stalls += part.stalls;
    this->counts.restarts += part.restarts;
    this->counts.silent_reruns += part.silent_reruns;
    this->counts.pauses += part.pauses;
  }
}

void StreamWorld::Step(std::size_t host, const StreamMessage& message) {
  Host& state = this->hosts[host];
  if (state.dead) {
    return;
  }
  if (this->now < state.frozen_until) {
    this->At(state.frozen_until,
             [this, host, message] { this->Step(host, message); });
    return;
  }
  for (const StreamAction& action : state.stream->Step(this->now, message)) {
    this->Carry(host, action);
  }
  this->Wake(host);
}

void StreamWorld::Wake(std::size_t host) {
  const Instant due = this->hosts[host].stream->NextWakeup();
  if (due == kNever) {
    return;
  }
  this->At(std::max(due, this->now), [this, host, due] {
    if (this->hosts[host].stream->NextWakeup() == due) {
      this->Step(host, StreamTick{});
    }
  });
}

void StreamWorld::Carry(std::size_t host, const StreamAction& action) {
  if (const auto* start = std::get_if<StartCall>(&action)) {
    this->Open(host, start->attempt, start->generation, start->worker, 0, true);
  } else if (const auto* resume = std::get_if<ResumeCall>(&action)) {
    this->Open(host, resume->attempt, resume->generation, resume->worker,
               resume->offset, false);
  } else if (const auto* abandon = std::get_if<AbandonCall>(&action)) {
    for (Call& call : this->calls) {
      call.open =
          call.open && (call.host != host || call.attempt != abandon->attempt);
    }
  } else if (const auto* pause = std::get_if<PauseCall>(&action)) {
    if (pause->paused) {
      this->At(this->now + this->Millis(1, 400),
               [this, host] { this->Step(host, StreamBufferDrained{0}); });
    }
  } else if (const auto* token = std::get_if<DeliverToken>(&action)) {
    this->Deliver(host, *token);
  } else if (const auto* finish = std::get_if<FinishStream>(&action)) {
    if (this->hosts[host].serves_caller) {
      ++this->history.finishes;
      this->history.finish = *finish;
    }
  } else if (const auto* end = std::get_if<EndIncomplete>(&action)) {
    this->End(host, *end);
  } else if (const auto* restart = std::get_if<RestartStream>(&action)) {
    Host& state = this->hosts[host];
    if (this->options.broken == BrokenStreamRule::kSplice) {
      state.shift = restart->dropped_tokens;
      state.shown_as = restart->dropped;
    } else if (state.serves_caller) {
      this->history.Restart(*restart);
    }
  } else if (const auto* wanted = std::get_if<RequestNewWorker>(&action)) {
    this->FindWorker(host, *wanted);
  } else if (const auto* cancel = std::get_if<CancelGeneration>(&action)) {
    this->Cancel(host, cancel->generation);
  }
}

void StreamWorld::Deliver(std::size_t host, DeliverToken token) {
  const Host& state = this->hosts[host];
  if (!state.serves_caller) {
    return;
  }
  if (state.shift > 0) {
    token.offset += state.shift;
    token.generation = state.shown_as;
  }
  this->history.Token(token);
}

void StreamWorld::End(std::size_t host, EndIncomplete end) {
  if (!this->hosts[host].serves_caller) {
    return;
  }
  if (this->options.broken == BrokenStreamRule::kEarlyNotRun) {
    end.problem.outcome = Outcome::kNotRun;
  }
  ++this->history.incomplete;
  this->history.end = end;
}

void StreamWorld::Cancel(std::size_t host, const GenerationId& generation) {
  this->cancelled[generation] = true;
  for (std::size_t i = 0; i < this->calls.size(); ++i) {
    const Call& call = this->calls[i];
    if (!call.open || call.generation != generation) {
      continue;
    }
    if (call.host != host && this->hosts[call.host].serves_caller) {
      this->history.cancelled_while_read.push_back(generation);
    }
    this->EndCall(i, StreamCallEnd::kCut, this->Millis(1, 5));
  }
}

void StreamWorld::Open(std::size_t host, StreamAttempt attempt,
                       const GenerationId& id, const UpstreamId& worker,
                       std::uint64_t offset, bool start) {
  const std::size_t index = this->calls.size();
  this->calls.push_back({attempt, host, id, worker, true, false});
  this->last_worker = worker;
  if (start) {
    auto& made = this->history.generations[id];
    const std::uint64_t size = 1 + this->random.Below(this->options.tokens);
    for (std::uint64_t i = 0; i < size; ++i) {
      made.push_back(TextOf(id, i));
    }
    this->history.reached[id] = false;
  }
  const Duration soon = this->Millis(1, 10);
  if (this->engine_dead[worker] || this->Chance(this->options.not_connected)) {
    this->EndCall(index, StreamCallEnd::kNotConnected, soon);
    return;
  }
  if (start && this->Chance(this->options.refused)) {
    this->EndCall(index, StreamCallEnd::kRefused, soon);
    return;
  }
  if (start) {
    this->history.reached[id] = true;
  } else if (!this->history.reached[id] || this->cancelled[id]) {
    this->EndCall(index, StreamCallEnd::kUnknownGeneration, soon);
    return;
  }
  this->At(this->now + soon,
           [this, index, offset] { this->Produce(index, offset); });
}

void StreamWorld::EndCall(std::size_t call, StreamCallEnd end, Duration after) {
  this->At(this->now + after, [this, call, end] {
    Call& state = this->calls[call];
    if (!state.open && !this->Chance(kLateEvents)) {
      return;
    }
    state.open = false;
    Host& host = this->hosts[state.host];
    const bool early = end == StreamCallEnd::kComplete;
    if (this->options.broken == BrokenStreamRule::kEndIsFinish && early &&
        host.serves_caller && host.stream->Phase() == StreamPhase::kCalling) {
      ++this->history.finishes;
      this->history.finish = FinishStream{
          state.generation, host.stream->NextOffset(), FinishReason::kStop};
      this->Step(state.host, StreamCallerLeft{false});
      return;
    }
    this->Step(state.host, StreamCallEnded{state.attempt, end});
  });
}

void StreamWorld::SendFrame(std::size_t call, const EngineFrame& frame,
                            Duration after) {
  this->At(this->now + after, [this, call, frame] {
    const Call& state = this->calls[call];
    if (state.open || this->Chance(kLateEvents)) {
      this->Step(state.host, StreamFrame{state.attempt,
                                         this->Relabelled(state.host, frame)});
    }
  });
}

EngineFrame StreamWorld::Relabelled(std::size_t host, EngineFrame frame) const {
  const Stream& stream = *this->hosts[host].stream;
  if (this->options.broken == BrokenStreamRule::kNoOffsetCheck) {
    frame.offset = stream.NextOffset();
  }
  if (this->options.broken == BrokenStreamRule::kNoIdCheck) {
    frame.generation = stream.Generation();
  }
  return frame;
}

void StreamWorld::Produce(std::size_t call, std::uint64_t offset) {
  const Call& state = this->calls[call];
  if (!state.open || this->engine_dead[state.worker]) {
    this->EndCall(call, StreamCallEnd::kCut, this->Millis(0, 5));
    return;
  }
  const std::vector<std::string>& made =
      this->history.generations[state.generation];
  EngineFrame frame{state.generation, offset, "", std::nullopt};
  const bool last = offset >= made.size();
  if (last) {
    frame.finish = FinishReason::kStop;
  } else {
    frame.text = made[offset];
  }
  const bool lost =
      last ? this->Chance(kFinishLost) : this->Chance(this->options.drop);
  const Duration late =
      this->Chance(this->options.reorder) ? this->Millis(5, 40) : Duration(0);
  if (!lost) {
    this->SendFrame(call, frame, Duration(1) + late);
  }
  if (this->Chance(this->options.duplicate)) {
    this->SendFrame(call, frame, this->Millis(1, 60));
  }
  if (this->Chance(this->options.crossed)) {
    const GenerationId other{"other"};
    this->SendFrame(call, {other, offset, TextOf(other, offset), std::nullopt},
                    Duration(0));
  }
  if (last) {
    this->EndCall(call, StreamCallEnd::kComplete, this->Millis(1, 5) + late);
    return;
  }
  if (this->Chance(this->options.engine_dies)) {
    this->engine_dead[state.worker] = true;
  }
  if (this->Chance(this->options.host_dies + this->options.host_freezes)) {
    this->TroubleHost(state.host);
  }
  if (this->Chance(this->options.stall)) {
    return;  // the link goes silent
  }
  if (this->Chance(this->options.cut)) {
    const bool looks_whole = this->Chance(0.5);
    this->EndCall(call,
                  looks_whole ? StreamCallEnd::kComplete : StreamCallEnd::kCut,
                  this->Millis(1, 5));
    return;
  }
  this->At(this->now + this->Millis(2, 30),
           [this, call, offset] { this->Produce(call, offset + 1); });
}

void StreamWorld::FindWorker(std::size_t host, const RequestNewWorker& wanted) {
  const bool first = wanted.excluded.empty();
  if (!first && this->Chance(this->options.no_worker)) {
    this->At(this->now + this->Millis(1, 50), [this, host] {
      this->Step(host,
                 StreamAbort{{ErrorCode::kRoutingNoUpstream, Outcome::kNotRun,
                              "no worker", std::nullopt}});
    });
    return;
  }
  const UpstreamId worker{
      "w" + std::to_string(this->random.Below(
                static_cast<std::uint64_t>(this->options.engines)))};
  const GenerationId id{"g" + std::to_string(++this->next_generation)};
  this->At(this->now + this->Millis(1, 50), [this, host, id, worker] {
    this->Step(host, StreamBegin{id, worker});
  });
}

void StreamWorld::TroubleHost(std::size_t host) {
  Host& state = this->hosts[host];
  const bool open = this->history.finishes + this->history.incomplete == 0;
  if (!state.serves_caller || !open ||
      this->host_troubles >= kMaxHostTroubles) {
    return;
  }
  ++this->host_troubles;
  state.serves_caller = false;
  if (this->Chance(0.5)) {
    state.dead = true;
  } else {
    // Frozen; its caller goes elsewhere, and the host learns of it on waking.
    const Instant until = this->now + this->Millis(100, 3000);
    state.frozen_until = until;
    const bool cancel = this->options.broken == BrokenStreamRule::kAlwaysCancel;
    this->At(until, [this, host, cancel] {
      this->Step(host, StreamCallerLeft{cancel});
    });
  }
  this->At(this->now + this->Millis(1, 80), [this] { this->TakeUp(); });
}

void StreamWorld::TakeUp() {
  this->AddHost();
  ++this->take_ups;
  const std::size_t host = this->hosts.size() - 1;
  GenerationId generation{"g" + std::to_string(this->next_generation)};
  UpstreamId worker = this->last_worker;
  if (!this->history.held.empty()) {
    generation = this->history.held.back().generation;
    for (const Call& call : this->calls) {
      worker = call.generation == generation ? call.worker : worker;
    }
  }
  this->Step(host, StreamResume{generation, worker, this->history.held.size()});
}

}  // namespace limpetlink
