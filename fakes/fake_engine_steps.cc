// Decode steps of the fake engine: admission, preemption, token production and
// delivery.
#include <algorithm>
#include <cstdlib>

#include "fakes/fake_engine.h"
#include "fakes/fake_engine_events.h"

namespace limpetlink {
namespace {

constexpr int kCrashExitCode = 9;

}  // namespace

std::vector<FakeEngine::Generation*> FakeEngine::GenerationsIn(State state) {
  std::vector<Generation*> found;
  for (auto& [name, generation] : this->generations) {
    if (generation.state == state) {
      found.push_back(&generation);
    }
  }
  // Orders by descending priority, then by arrival; the last is preempted
  // first.
  std::sort(found.begin(), found.end(),
            [](const Generation* a, const Generation* b) {
              return a->priority != b->priority ? a->priority > b->priority
                                                : a->arrival < b->arrival;
            });
  return found;
}

std::uint64_t FakeEngine::UsedTokens() {
  std::uint64_t used = 0;
  for (const Generation* const generation :
       this->GenerationsIn(State::kRunning)) {
    used += generation->prompt_tokens + generation->produced;
  }
  return used;
}

void FakeEngine::ScheduleStep() {
  if (this->step_scheduled) {
    return;
  }
  this->step_scheduled = true;
  this->host->RunAfter(std::chrono::milliseconds(this->settings.step_ms),
                       [this] {
                         this->step_scheduled = false;
                         this->Step();
                       });
}

void FakeEngine::Admit() {
  std::size_t running = this->GenerationsIn(State::kRunning).size();
  std::uint64_t used = this->UsedTokens();
  for (Generation* const generation : this->GenerationsIn(State::kWaiting)) {
    const std::uint64_t needed =
        generation->prompt_tokens + generation->produced + 1;
    if (running >= this->settings.max_running ||
        used + needed > this->settings.memory_tokens) {
      return;
    }
    generation->state = State::kRunning;
    used += needed;
    ++running;
  }
}

void FakeEngine::PreemptUntilFitting() {
  std::vector<Generation*> running = this->GenerationsIn(State::kRunning);
  while (running.size() > 1 &&
         this->UsedTokens() + running.size() > this->settings.memory_tokens) {
    running.back()->state = State::kWaiting;
    running.pop_back();
    ++this->preemptions;
  }
}

void FakeEngine::Step() {
  if (!this->faults.stall) {
    this->Admit();
    this->PreemptUntilFitting();
    for (Generation* const generation : this->GenerationsIn(State::kRunning)) {
      this->ProduceToken(generation);
    }
  }
  if (!this->GenerationsIn(State::kRunning).empty() ||
      !this->GenerationsIn(State::kWaiting).empty()) {
    this->ScheduleStep();
  }
}

void FakeEngine::ProduceToken(Generation* generation) {
  if (generation->produced < generation->target_tokens) {
    ++generation->produced;
  }
  if (generation->produced >= generation->target_tokens) {
    generation->state = State::kDone;
  }
  this->SendTokens(generation);
  this->ApplyTokenFaults();
}

void FakeEngine::SendTokens(Generation* generation) {
  const bool done = generation->state == State::kDone;
  for (Reader& reader : generation->readers) {
    std::string bytes;
    for (; reader.next < generation->produced; ++reader.next) {
      bytes += TokenEvent(generation->id, reader.next);
    }
    if (done) {
      bytes += EndEvent(generation->id, generation->produced,
                        generation->finish_reason);
    }
    if (!bytes.empty()) {
      this->host->Send(reader.request, std::move(bytes));
    }
    if (done) {
      this->host->End(reader.request);
    }
  }
  if (done) {
    generation->readers.clear();
  }
}

void FakeEngine::ApplyTokenFaults() {
  if (this->faults.die_after > 0 && --this->faults.die_after == 0) {
    std::_Exit(kCrashExitCode);
  }
  if (this->faults.cut_after > 0 && --this->faults.cut_after == 0) {
    this->AbortStreams();
  }
}

void FakeEngine::AbortStreams() {
  for (auto& [name, generation] : this->generations) {
    for (const Reader& reader : generation.readers) {
      this->host->Abort(reader.request);
    }
    generation.readers.clear();
  }
}

}  // namespace limpetlink
