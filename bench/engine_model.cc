#include "bench/engine_model.h"

#include <algorithm>

namespace limpetlink::bench {

bool EngineModel::RunsBefore(const Job& a, const Job& b) {
  return a.job.priority != b.job.priority ? a.job.priority > b.job.priority
                                          : a.order < b.order;
}

std::uint64_t EngineModel::PagesFor(std::uint64_t tokens) const {
  return (tokens + this->settings.page_tokens - 1) / this->settings.page_tokens;
}

std::uint64_t EngineModel::FreePages() const {
  return this->settings.memory_tokens / this->settings.page_tokens -
         this->used_pages;
}

void EngineModel::Submit(const EngineJob& job) {
  Job entry;
  entry.job = job;
  entry.order = ++this->submitted_count;
  this->waiting.push_back(entry);
}

void EngineModel::SetPriority(std::uint64_t id, std::int32_t priority) {
  for (auto* jobs : {&this->running, &this->waiting}) {
    for (Job& entry : *jobs) {
      if (entry.job.id == id) {
        entry.job.priority = priority;
      }
    }
  }
}

void EngineModel::Cancel(std::uint64_t id) {
  for (auto* jobs : {&this->running, &this->waiting}) {
    for (auto it = jobs->begin(); it != jobs->end(); ++it) {
      if (it->job.id == id) {
        this->used_pages -= it->pages;
        jobs->erase(it);
        return;
      }
    }
  }
}

std::uint32_t EngineModel::CachedTokens(const Job& job) {
  const auto it =
      std::find(this->cache.begin(), this->cache.end(), job.job.prefix);
  return job.job.prefix != 0 && it != this->cache.end() ? job.job.prefix_tokens
                                                        : 0;
}

void EngineModel::CachePrefix(std::uint32_t prefix) {
  if (prefix == 0) {
    return;
  }
  const auto it = std::find(this->cache.begin(), this->cache.end(), prefix);
  if (it != this->cache.end()) {
    this->cache.splice(this->cache.begin(), this->cache, it);
    return;
  }
  this->cache.push_front(prefix);
  this->cache_changes.push_back({prefix, true});
  if (this->cache.size() > this->settings.cached_prefixes) {
    this->cache_changes.push_back({this->cache.back(), false});
    this->cache.pop_back();
  }
}

void EngineModel::AdmitWaiting() {
  std::sort(this->waiting.begin(), this->waiting.end(), RunsBefore);
  while (!this->waiting.empty() &&
         this->running.size() < this->settings.max_batch) {
    Job& next = this->waiting.front();
    const std::uint64_t tokens = next.job.prompt_tokens + next.produced + 1;
    const std::uint64_t pages = this->PagesFor(tokens);
    if (pages > this->FreePages()) {
      break;
    }
    next.pages = pages;
    this->used_pages += pages;
    const std::uint32_t total_tokens = next.job.prompt_tokens + next.produced;
    next.prefill_left =
        total_tokens - std::min(total_tokens - 1, this->CachedTokens(next));
    this->running.push_back(next);
    this->waiting.erase(this->waiting.begin());
  }
}

void EngineModel::Preempt() {
  const auto victim =
      std::max_element(this->running.begin(), this->running.end(), RunsBefore);
  Job job = *victim;
  this->running.erase(victim);
  this->used_pages -= job.pages;
  job.pages = 0;
  ++this->preemptions;
  this->waiting.push_back(job);
}

void EngineModel::ReserveDecodePages() {
  std::size_t i = 0;
  while (i < this->running.size()) {
    Job& job = this->running[i];
    const std::uint64_t required_pages =
        this->PagesFor(job.job.prompt_tokens + job.produced + 1);
    if (required_pages <= job.pages) {
      ++i;
      continue;
    }
    if (this->FreePages() == 0) {
      this->Preempt();
      i = 0;
      continue;
    }
    job.pages = required_pages;
    ++this->used_pages;
    ++i;
  }
}

Duration EngineModel::BeginStep() {
  this->ReserveDecodePages();
  this->AdmitWaiting();
  if (this->running.empty()) {
    return Duration{0};
  }
  std::uint32_t budget = this->settings.prefill_chunk;
  double microseconds = 0;
  for (Job& job : this->running) {
    job.prefill_tokens_in_step = std::min(job.prefill_left, budget);
    budget -= job.prefill_tokens_in_step;
    microseconds +=
        job.prefill_left > 0
            ? job.prefill_tokens_in_step * this->settings.prefill_microseconds
            : this->settings.stream_microseconds;
  }
  this->last_step_duration = this->settings.step_base +
                             Duration{static_cast<std::int64_t>(microseconds)};
  return this->last_step_duration;
}

std::vector<EngineToken> EngineModel::FinishStep() {
  std::vector<EngineToken> tokens;
  std::vector<Job> unfinished;
  for (Job& job : this->running) {
    const bool was_prefilling = job.prefill_left > 0;
    job.prefill_left -= job.prefill_tokens_in_step;
    job.prefill_tokens_in_step = 0;
    if (job.prefill_left > 0) {
      unfinished.push_back(job);
      continue;
    }
    if (was_prefilling) {
      this->CachePrefix(job.job.prefix);
    }
    ++job.produced;
    const bool last = job.produced >= job.job.output_tokens;
    tokens.push_back({job.job.id, job.produced, last});
    if (last) {
      this->used_pages -= job.pages;
    } else {
      unfinished.push_back(job);
    }
  }
  this->running = std::move(unfinished);
  return tokens;
}

std::vector<EngineCacheChange> EngineModel::TakeCacheChanges() {
  return std::move(this->cache_changes);
}

EngineStatus EngineModel::Status() const {
  EngineStatus status;
  status.memory_tokens_used = this->used_pages * this->settings.page_tokens;
  status.running = static_cast<std::uint32_t>(this->running.size());
  status.waiting = static_cast<std::uint32_t>(this->waiting.size());
  status.preemptions = this->preemptions;
  status.step_time = this->last_step_duration;
  return status;
}

}  // namespace limpetlink::bench
