#include "streams/tests/stream_simulation.h"

#include <utility>

namespace limpetlink {
namespace {

constexpr int kMaxHostFailures = 3;
constexpr double kLateEventChance = 0.3;  // per event of a closed call
constexpr double kFinishLossChance = 0.1;

StreamOptions ShortTimeouts(OnLoss on_loss) {
  StreamOptions options;
  options.on_loss = on_loss;
  options.first_token_timeout = std::chrono::seconds(1);
  options.min_stall_timeout = std::chrono::milliseconds(300);
  options.max_stall_timeout = std::chrono::seconds(2);
  options.high_buffer_bytes = 1500;
  options.low_buffer_bytes = 400;
  return options;
}

std::string TokenText(const GenerationId& generation, std::uint64_t offset) {
  return generation.value + "/" + std::to_string(offset);
}

}  // namespace

StreamSimulation::StreamSimulation(StreamSimulationOptions options)
    : options(options), random(options.seed) {}

bool StreamSimulation::Chance(double chance) {
  return this->random.Fraction() < chance;
}

Duration StreamSimulation::RandomMilliseconds(std::uint64_t low,
                                              std::uint64_t high) {
  return std::chrono::milliseconds(low + this->random.Below(high - low + 1));
}

void StreamSimulation::Schedule(Instant when, Task task) {
  this->tasks.emplace(std::pair(when, this->next_task++), std::move(task));
}

void StreamSimulation::AddHost() {
  Host host;
  host.stream = std::make_unique<Stream>(ShortTimeouts(this->options.on_loss));
  this->hosts.push_back(std::move(host));
}

void StreamSimulation::Run() {
  this->AddHost();
  this->FindWorker(0, RequestNewWorker{});
  while (!this->tasks.empty()) {
    auto node = this->tasks.extract(this->tasks.begin());
    this->now = node.key().first;
    node.mapped()();
  }
  for (const Host& host : this->hosts) {
    const StreamCounts& host_counts = host.stream->Counts();
    this->counts.duplicates += host_counts.duplicates;
    this->counts.gaps += host_counts.gaps;
    this->counts.stale += host_counts.stale;
    this->counts.late += host_counts.late;
    this->counts.stalls += host_counts.stalls;
    this->counts.restarts += host_counts.restarts;
    this->counts.silent_reruns += host_counts.silent_reruns;
    this->counts.pauses += host_counts.pauses;
  }
}

void StreamSimulation::Step(std::size_t host, const StreamMessage& message) {
  Host& state = this->hosts[host];
  if (state.dead) {
    return;
  }
  if (this->now < state.frozen_until) {
    this->Schedule(state.frozen_until,
                   [this, host, message] { this->Step(host, message); });
    return;
  }
  for (const StreamAction& action : state.stream->Step(this->now, message)) {
    this->Execute(host, action);
  }
  this->ScheduleWakeup(host);
}

void StreamSimulation::ScheduleWakeup(std::size_t host) {
  const Instant due = this->hosts[host].stream->NextWakeup();
  if (due == kNever) {
    return;
  }
  this->Schedule(std::max(due, this->now), [this, host, due] {
    if (this->hosts[host].stream->NextWakeup() == due) {
      this->Step(host, StreamTick{});
    }
  });
}

void StreamSimulation::Execute(std::size_t host, const StreamAction& action) {
  if (const auto* start = std::get_if<StartCall>(&action)) {
    this->OpenCall(host, start->attempt, start->generation, start->worker, 0,
                   true);
  } else if (const auto* resume = std::get_if<ResumeCall>(&action)) {
    this->OpenCall(host, resume->attempt, resume->generation, resume->worker,
                   resume->offset, false);
  } else if (const auto* abandon = std::get_if<AbandonCall>(&action)) {
    for (Call& call : this->calls) {
      call.open =
          call.open && (call.host != host || call.attempt != abandon->attempt);
    }
  } else if (const auto* pause = std::get_if<PauseCall>(&action)) {
    if (pause->paused) {
      this->Schedule(
          this->now + this->RandomMilliseconds(1, 400),
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
    if (this->options.defect == StreamDefect::kSplice) {
      state.relabel_offset = restart->dropped_tokens;
      state.relabelled_generation = restart->dropped;
    } else if (state.serves_caller) {
      this->history.RecordRestart(*restart);
    }
  } else if (const auto* request = std::get_if<RequestNewWorker>(&action)) {
    this->FindWorker(host, *request);
  } else if (const auto* cancel = std::get_if<CancelGeneration>(&action)) {
    this->Cancel(host, cancel->generation);
  }
}

void StreamSimulation::Deliver(std::size_t host, DeliverToken token) {
  const Host& state = this->hosts[host];
  if (!state.serves_caller) {
    return;
  }
  if (state.relabel_offset > 0) {
    token.offset += state.relabel_offset;
    token.generation = state.relabelled_generation;
  }
  this->history.RecordToken(token);
}

void StreamSimulation::End(std::size_t host, EndIncomplete end) {
  if (!this->hosts[host].serves_caller) {
    return;
  }
  if (this->options.defect == StreamDefect::kEarlyNotRun) {
    end.problem.outcome = Outcome::kNotRun;
  }
  ++this->history.incomplete;
  this->history.end = end;
}

void StreamSimulation::Cancel(std::size_t host,
                              const GenerationId& generation) {
  this->cancelled[generation] = true;
  for (std::size_t i = 0; i < this->calls.size(); ++i) {
    const Call& call = this->calls[i];
    if (!call.open || call.generation != generation) {
      continue;
    }
    if (call.host != host && this->hosts[call.host].serves_caller) {
      this->history.cancelled_in_use.push_back(generation);
    }
    this->EndCall(i, StreamCallEnd::kCut, this->RandomMilliseconds(1, 5));
  }
}

void StreamSimulation::OpenCall(std::size_t host, StreamAttempt attempt,
                                const GenerationId& id,
                                const UpstreamId& worker, std::uint64_t offset,
                                bool start) {
  const std::size_t index = this->calls.size();
  this->calls.push_back({attempt, host, id, worker, true, false});
  this->last_worker = worker;
  if (start) {
    auto& tokens = this->history.generations[id];
    const std::uint64_t size = 1 + this->random.Below(this->options.tokens);
    for (std::uint64_t i = 0; i < size; ++i) {
      tokens.push_back(TokenText(id, i));
    }
    this->history.reached_engine[id] = false;
  }
  const Duration delay = this->RandomMilliseconds(1, 10);
  if (this->engine_dead[worker] || this->Chance(this->options.not_connected)) {
    this->EndCall(index, StreamCallEnd::kNotConnected, delay);
    return;
  }
  if (start && this->Chance(this->options.refused)) {
    this->EndCall(index, StreamCallEnd::kRefused, delay);
    return;
  }
  if (start) {
    this->history.reached_engine[id] = true;
  } else if (!this->history.reached_engine[id] || this->cancelled[id]) {
    this->EndCall(index, StreamCallEnd::kUnknownGeneration, delay);
    return;
  }
  this->Schedule(this->now + delay,
                 [this, index, offset] { this->ProduceToken(index, offset); });
}

void StreamSimulation::EndCall(std::size_t call, StreamCallEnd end,
                               Duration after) {
  this->Schedule(this->now + after, [this, call, end] {
    Call& state = this->calls[call];
    if (!state.open && !this->Chance(kLateEventChance)) {
      return;
    }
    state.open = false;
    Host& host = this->hosts[state.host];
    const bool early = end == StreamCallEnd::kComplete;
    if (this->options.defect == StreamDefect::kEndAsFinish && early &&
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

void StreamSimulation::SendFrame(std::size_t call, const EngineFrame& frame,
                                 Duration after) {
  this->Schedule(this->now + after, [this, call, frame] {
    const Call& state = this->calls[call];
    if (state.open || this->Chance(kLateEventChance)) {
      this->Step(state.host,
                 StreamFrame{state.attempt, this->Relabel(state.host, frame)});
    }
  });
}

EngineFrame StreamSimulation::Relabel(std::size_t host,
                                      EngineFrame frame) const {
  const Stream& stream = *this->hosts[host].stream;
  if (this->options.defect == StreamDefect::kNoOffsetCheck) {
    frame.offset = stream.NextOffset();
  }
  if (this->options.defect == StreamDefect::kNoIdCheck) {
    frame.generation = stream.Generation();
  }
  return frame;
}

void StreamSimulation::ProduceToken(std::size_t call, std::uint64_t offset) {
  const Call& state = this->calls[call];
  if (!state.open || this->engine_dead[state.worker]) {
    this->EndCall(call, StreamCallEnd::kCut, this->RandomMilliseconds(0, 5));
    return;
  }
  const std::vector<std::string>& tokens =
      this->history.generations[state.generation];
  EngineFrame frame{state.generation, offset, "", std::nullopt};
  const bool last = offset >= tokens.size();
  if (last) {
    frame.finish = FinishReason::kStop;
  } else {
    frame.text = tokens[offset];
  }
  const bool lost =
      last ? this->Chance(kFinishLossChance) : this->Chance(this->options.drop);
  const Duration extra_delay = this->Chance(this->options.reorder)
                                   ? this->RandomMilliseconds(5, 40)
                                   : Duration(0);
  if (!lost) {
    this->SendFrame(call, frame, Duration(1) + extra_delay);
  }
  if (this->Chance(this->options.duplicate)) {
    this->SendFrame(call, frame, this->RandomMilliseconds(1, 60));
  }
  if (this->Chance(this->options.foreign)) {
    const GenerationId other{"other"};
    this->SendFrame(call,
                    {other, offset, TokenText(other, offset), std::nullopt},
                    Duration(0));
  }
  if (last) {
    this->EndCall(call, StreamCallEnd::kComplete,
                  this->RandomMilliseconds(1, 5) + extra_delay);
    return;
  }
  if (this->Chance(this->options.engine_dies)) {
    this->engine_dead[state.worker] = true;
  }
  if (this->Chance(this->options.host_dies + this->options.host_freezes)) {
    this->FailHost(state.host);
  }
  if (this->Chance(this->options.stall)) {
    return;  // no more data arrives on this call
  }
  if (this->Chance(this->options.cut)) {
    const bool ends_cleanly = this->Chance(0.5);
    this->EndCall(call,
                  ends_cleanly ? StreamCallEnd::kComplete : StreamCallEnd::kCut,
                  this->RandomMilliseconds(1, 5));
    return;
  }
  this->Schedule(
      this->now + this->RandomMilliseconds(2, 30),
      [this, call, offset] { this->ProduceToken(call, offset + 1); });
}

void StreamSimulation::FindWorker(std::size_t host,
                                  const RequestNewWorker& request) {
  const bool first = request.excluded.empty();
  if (!first && this->Chance(this->options.no_worker)) {
    this->Schedule(this->now + this->RandomMilliseconds(1, 50), [this, host] {
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
  this->Schedule(this->now + this->RandomMilliseconds(1, 50),
                 [this, host, id, worker] {
                   this->Step(host, StreamBegin{id, worker});
                 });
}

void StreamSimulation::FailHost(std::size_t host) {
  Host& state = this->hosts[host];
  const bool open = this->history.finishes + this->history.incomplete == 0;
  if (!state.serves_caller || !open ||
      this->host_failures >= kMaxHostFailures) {
    return;
  }
  ++this->host_failures;
  state.serves_caller = false;
  if (this->Chance(0.5)) {
    state.dead = true;
  } else {
    // The host freezes. Its caller resumes at another host, and this host
    // detects the disconnect only when it wakes.
    const Instant until = this->now + this->RandomMilliseconds(100, 3000);
    state.frozen_until = until;
    const bool cancel = this->options.defect == StreamDefect::kAlwaysCancel;
    this->Schedule(until, [this, host, cancel] {
      this->Step(host, StreamCallerLeft{cancel});
    });
  }
  this->Schedule(this->now + this->RandomMilliseconds(1, 80),
                 [this] { this->ResumeOnNewHost(); });
}

void StreamSimulation::ResumeOnNewHost() {
  this->AddHost();
  ++this->handovers;
  const std::size_t host = this->hosts.size() - 1;
  GenerationId generation{"g" + std::to_string(this->next_generation)};
  UpstreamId worker = this->last_worker;
  if (!this->history.received.empty()) {
    generation = this->history.received.back().generation;
    for (const Call& call : this->calls) {
      worker = call.generation == generation ? call.worker : worker;
    }
  }
  this->Step(host,
             StreamResume{generation, worker, this->history.received.size()});
}

}  // namespace limpetlink
