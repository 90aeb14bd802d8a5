#include <algorithm>

#include "quarantine/quarantine.h"

namespace limpetlink {
namespace {

// Ages are sent in milliseconds, so the times between crashes that a receiver
// computes differ by up to this from those here.
constexpr Duration kAgeResolution = std::chrono::milliseconds(2);

}  // namespace

bool InputQuarantine::RecordCrash(Instant now, const WorkerCrash& crash) {
  this->Expire(now);
  const bool is_new = this->AddCrash(now, crash, true);
  this->UpdateVerdicts();
  return is_new;
}

bool InputQuarantine::RecordSound(Instant now, const std::string& id) {
  if (this->CountCrashes(id) == 0) {
    return false;
  }
  this->Expire(now);
  this->AddSound(now, id, now);
  this->UpdateVerdicts();
  return true;
}

bool InputQuarantine::Merge(Instant now, const CrashEvidence& evidence) {
  if (evidence.Empty()) {
    return false;
  }
  this->Expire(now);
  bool is_new = false;
  for (const SoundInput& part : evidence.sound) {
    is_new = this->AddSound(now, part.id, now - part.age) || is_new;
  }
  for (const WorkerCrash& crash : evidence.crashes) {
    is_new = this->AddCrash(now, crash, false) || is_new;
  }
  this->UpdateVerdicts();
  return is_new;
}

bool InputQuarantine::AddCrash(Instant now, const WorkerCrash& crash,
                               bool noticed_here) {
  if (crash.age >= this->settings.retention) {
    return false;
  }
  const Incarnation incarnation{crash.worker, crash.started_at};
  const auto known = this->crashes.find(incarnation);
  Crash merged = known == this->crashes.end() ? Crash{now - crash.age, {}, {}}
                                              : known->second;
  merged.at = std::min(merged.at, now - crash.age);
  merged.noticed_here = merged.noticed_here || noticed_here;
  bool is_new = false;
  for (const SuspectInput& input : crash.inputs) {
    const auto cleared = this->sound.find(input.id);
    const bool counts =
        (cleared == this->sound.end() || cleared->second < merged.at) &&
        (merged.inputs.count(input.id) > 0 ||
         merged.inputs.size() < this->settings.max_inputs_per_crash);
    if (!counts) {
      continue;
    }
    const auto [suspicion, inserted] = merged.inputs.try_emplace(
        input.id, Suspicion{input.depth, input.prior});
    is_new = is_new || inserted || suspicion->second.prior < input.prior;
    suspicion->second.prior = std::max(suspicion->second.prior, input.prior);
  }
  if (merged.inputs.empty()) {
    return false;
  }
  for (const auto& [id, suspicion] : merged.inputs) {
    this->AddToIndex(id, incarnation);
  }
  this->crashes[incarnation] = std::move(merged);
  if (this->crashes.size() > this->settings.max_crashes) {
    this->UpdateVerdicts();
    this->EvictCrash();
  }
  return is_new;
}

bool InputQuarantine::AddSound(Instant now, const std::string& id, Instant at) {
  if (now - at >= this->settings.retention) {
    return false;
  }
  const auto [entry, inserted] = this->sound.try_emplace(id, at);
  const bool is_newer = inserted || entry->second < at;
  entry->second = std::max(entry->second, at);
  if (const auto suspected = this->crashes_by_input.find(id);
      suspected != this->crashes_by_input.end()) {
    for (const Incarnation& each : std::set(suspected->second)) {
      const auto crash = this->crashes.find(each);
      if (crash->second.at > entry->second) {
        continue;
      }
      crash->second.inputs.erase(id);
      this->EraseFromIndex(id, each);
      if (crash->second.inputs.empty()) {
        this->crashes.erase(crash);
      }
    }
  }
  if (this->sound.size() > this->settings.max_sound) {
    const auto oldest = std::min_element(
        this->sound.begin(), this->sound.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    this->sound.erase(oldest);
  }
  return is_newer;
}

void InputQuarantine::AddToIndex(const std::string& id,
                                 const Incarnation& incarnation) {
  std::set<Incarnation>& under_input = this->crashes_by_input[id];
  under_input.insert(incarnation);
  if (under_input.size() >= this->settings.min_crashes) {
    this->frequent_inputs.insert(id);
  }
}

void InputQuarantine::EraseFromIndex(const std::string& id,
                                     const Incarnation& incarnation) {
  const auto found = this->crashes_by_input.find(id);
  found->second.erase(incarnation);
  if (found->second.size() < this->settings.min_crashes) {
    this->frequent_inputs.erase(id);
  }
  if (found->second.empty()) {
    this->crashes_by_input.erase(found);
  }
}

InputQuarantine::Crashes::iterator InputQuarantine::EraseCrash(
    Crashes::iterator crash) {
  for (const auto& [id, suspicion] : crash->second.inputs) {
    this->EraseFromIndex(id, crash->first);
  }
  return this->crashes.erase(crash);
}

void InputQuarantine::Expire(Instant now) {
  const Instant oldest = now - this->settings.retention;
  for (auto it = this->crashes.begin(); it != this->crashes.end();) {
    it = it->second.at < oldest ? this->EraseCrash(it) : std::next(it);
  }
  for (auto it = this->sound.begin(); it != this->sound.end();) {
    it = it->second < oldest ? this->sound.erase(it) : std::next(it);
  }
}

void InputQuarantine::EvictCrash() {
  auto victim = this->crashes.end();
  for (auto it = this->crashes.begin(); it != this->crashes.end(); ++it) {
    const auto rank = [this](const Crash& crash) {
      return std::pair(this->Explanation(crash) != nullptr, crash.at);
    };
    if (victim == this->crashes.end() ||
        rank(it->second) < rank(victim->second)) {
      victim = it;
    }
  }
  this->EraseCrash(victim);
}

std::vector<
    std::pair<InputQuarantine::Incarnation, const InputQuarantine::Crash*>>
InputQuarantine::UnexplainedCrashes(
    const std::string& id, const std::set<Incarnation>& explained) const {
  std::vector<std::pair<Incarnation, const Crash*>> unexplained;
  for (const Incarnation& each : this->crashes_by_input.at(id)) {
    if (explained.count(each) == 0) {
      unexplained.emplace_back(each, &this->crashes.at(each));
    }
  }
  std::stable_sort(
      unexplained.begin(), unexplained.end(),
      [](const auto& a, const auto& b) { return a.second->at < b.second->at; });
  return unexplained;
}

InputQuarantine::Candidate InputQuarantine::CountEvidence(
    const std::string& id, const std::set<Incarnation>& explained,
    const std::vector<Instant>& times) const {
  const auto count_together = [this](const std::vector<Instant>& sorted,
                                     Instant at) {
    const Duration span = this->settings.together;
    return std::upper_bound(sorted.begin(), sorted.end(), at + span) -
           std::lower_bound(sorted.begin(), sorted.end(), at - span);
  };
  const auto crashes = this->UnexplainedCrashes(id, explained);
  std::vector<Instant> own_times;
  own_times.reserve(crashes.size());
  for (const auto& [incarnation, crash] : crashes) {
    own_times.push_back(crash->at);
  }
  Candidate candidate;
  for (const auto& [incarnation, crash] : crashes) {
    // Workers that end together without this input have another cause.
    if (count_together(own_times, crash->at) <
        count_together(times, crash->at)) {
      continue;
    }
    const Suspicion& suspicion = crash->inputs.at(id);
    candidate.depth = std::max(candidate.depth, suspicion.depth);
    candidate.prior = std::max(candidate.prior, suspicion.prior);
    ++candidate.all_crashes;
    if (candidate.crashes == 0 ||
        crash->at - candidate.counted_at >= this->settings.simultaneous) {
      ++candidate.crashes;
      candidate.counted_at = crash->at;
    }
  }
  return candidate;
}

void InputQuarantine::UpdateVerdicts() {
  this->verdicts.clear();
  std::set<Incarnation> explained;
  while (!this->frequent_inputs.empty()) {
    std::vector<Instant> times;
    for (const auto& [incarnation, crash] : this->crashes) {
      if (explained.count(incarnation) == 0) {
        times.push_back(crash.at);
      }
    }
    std::sort(times.begin(), times.end());
    const std::string* most_id = nullptr;
    Candidate most;
    for (const std::string& id : this->frequent_inputs) {
      const Candidate candidate = this->CountEvidence(id, explained, times);
      if (std::pair(candidate.Count(), candidate.depth) >
          std::pair(most.Count(), most.depth)) {
        most_id = &id;
        most = candidate;
      }
    }
    if (most_id == nullptr || most.Count() < this->settings.min_crashes) {
      return;
    }
    Verdict& verdict = this->verdicts[*most_id];
    verdict.crashes = most.Count();
    for (const auto& [incarnation, crash] :
         this->UnexplainedCrashes(*most_id, explained)) {
      verdict.workers.push_back(incarnation);
      verdict.last_crash = crash->at;
      explained.insert(incarnation);
    }
  }
}

const std::string* InputQuarantine::Explanation(const Crash& crash) const {
  for (const auto& [id, verdict] : this->verdicts) {
    if (crash.inputs.count(id) > 0) {
      return &id;
    }
  }
  return nullptr;
}

std::optional<std::string> InputQuarantine::Find(
    Instant now, const std::vector<std::string>& ids) const {
  if (this->verdicts.empty()) {
    return std::nullopt;
  }
  for (const std::string& id : ids) {
    const auto verdict = this->verdicts.find(id);
    if (verdict != this->verdicts.end() &&
        now - verdict->second.last_crash < this->settings.hold) {
      return id;
    }
  }
  return std::nullopt;
}

WorkerCrash InputQuarantine::MakeExport(Instant now,
                                        const Incarnation& incarnation,
                                        const Crash& crash) const {
  WorkerCrash exported{
      incarnation.first, incarnation.second, now - crash.at, {}};
  if (const std::string* explanation = this->Explanation(crash)) {
    const Suspicion& suspicion = crash.inputs.at(*explanation);
    exported.inputs = {{*explanation, suspicion.depth, suspicion.prior}};
    return exported;
  }
  std::vector<std::pair<std::uint32_t, SuspectInput>> parts;
  std::vector<std::pair<std::uint32_t, SuspectInput>> requests;
  for (const auto& [id, suspicion] : crash.inputs) {
    auto& kind = suspicion.depth < kRequestDepth ? parts : requests;
    kind.emplace_back(this->CountCrashes(id),
                      SuspectInput{id, suspicion.depth, suspicion.prior});
  }
  // Inputs of several crashes come first: one that ended a worker only by
  // coincidence is seldom among them.
  const auto export_first = [&exported](auto* counted, std::size_t limit) {
    std::sort(counted->begin(), counted->end(),
              [](const auto& a, const auto& b) {
                return std::tie(b.first, b.second.depth, a.second.id) <
                       std::tie(a.first, a.second.depth, b.second.id);
              });
    for (std::size_t i = 0; i < std::min(counted->size(), limit); ++i) {
      exported.inputs.push_back((*counted)[i].second);
    }
  };
  export_first(&parts, this->settings.max_exported_parts);
  export_first(&requests, this->settings.max_exported_requests);
  return exported;
}

CrashEvidence InputQuarantine::Export(Instant now, bool include_received) {
  CrashEvidence evidence;
  if (this->crashes.empty() && this->sound.empty()) {
    return evidence;
  }
  this->Expire(now);
  this->UpdateVerdicts();
  for (const auto& [id, at] : this->sound) {
    if (now - at < this->settings.sound_export) {
      evidence.sound.push_back({id, now - at});
    }
  }
  std::sort(
      evidence.sound.begin(), evidence.sound.end(),
      [](const SoundInput& a, const SoundInput& b) { return a.age < b.age; });
  evidence.sound.resize(
      std::min(evidence.sound.size(), this->settings.max_exported_sound));
  std::vector<std::pair<Incarnation, const Crash*>> order;
  for (const auto& [incarnation, crash] : this->crashes) {
    if (include_received || crash.noticed_here) {
      order.emplace_back(incarnation, &crash);
    }
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.second->at > b.second->at;
  });
  std::map<std::string, std::vector<Incarnation>> explained;
  std::vector<std::pair<Incarnation, const Crash*>> others;
  for (const auto& [incarnation, crash] : order) {
    if (const std::string* explanation = this->Explanation(*crash)) {
      explained[*explanation].push_back(incarnation);
    } else {
      others.emplace_back(incarnation, crash);
    }
  }
  for (const auto& [id, incarnations] : explained) {
    for (const Incarnation& incarnation :
         this->SelectSufficient(id, incarnations)) {
      evidence.crashes.push_back(
          this->MakeExport(now, incarnation, this->crashes.at(incarnation)));
    }
  }
  std::sort(
      evidence.crashes.begin(), evidence.crashes.end(),
      [](const WorkerCrash& a, const WorkerCrash& b) { return a.age < b.age; });
  evidence.crashes.resize(
      std::min(evidence.crashes.size(), this->settings.max_exported_crashes));
  // Inputs of several crashes are the ones whose sound runs matter elsewhere.
  std::map<Incarnation, std::uint32_t> most;
  for (const auto& [incarnation, crash] : others) {
    for (const auto& [id, suspicion] : crash->inputs) {
      most[incarnation] = std::max(most[incarnation], this->CountCrashes(id));
    }
  }
  std::stable_sort(others.begin(), others.end(),
                   [&most](const auto& a, const auto& b) {
                     return most[a.first] > most[b.first];
                   });
  others.resize(std::min(others.size(), this->settings.max_exported_suspects));
  for (const auto& [incarnation, crash] : others) {
    evidence.crashes.push_back(this->MakeExport(now, incarnation, *crash));
  }
  return evidence;
}

std::vector<InputQuarantine::Incarnation> InputQuarantine::SelectSufficient(
    const std::string& id, const std::vector<Incarnation>& ids) const {
  std::vector<Incarnation> selected;
  std::optional<Instant> last;
  for (const Incarnation& each : ids) {
    const Instant at = this->crashes.at(each).at;
    const bool simultaneous =
        last.has_value() && std::max(at - *last, *last - at) <
                                this->settings.simultaneous + kAgeResolution;
    if (!simultaneous && selected.size() < this->settings.min_crashes) {
      selected.push_back(each);
      last = at;
    }
  }
  if (selected.size() == this->settings.min_crashes) {
    return selected;
  }
  // Simultaneous ones count by the crashes that were known before them.
  selected = ids;
  std::stable_sort(selected.begin(), selected.end(),
                   [&](const Incarnation& a, const Incarnation& b) {
                     return this->crashes.at(a).inputs.at(id).prior >
                            this->crashes.at(b).inputs.at(id).prior;
                   });
  selected.resize(std::min(selected.size(), this->settings.min_crashes));
  return selected;
}

CrashEvidence InputQuarantine::ExportInput(Instant now,
                                           const std::string& id) const {
  CrashEvidence evidence;
  const auto verdict = this->verdicts.find(id);
  if (verdict == this->verdicts.end()) {
    return evidence;
  }
  for (const Incarnation& incarnation :
       this->SelectSufficient(id, verdict->second.workers)) {
    evidence.crashes.push_back(
        this->MakeExport(now, incarnation, this->crashes.at(incarnation)));
  }
  return evidence;
}

std::uint32_t InputQuarantine::CountCrashes(const std::string& id) const {
  const auto found = this->crashes_by_input.find(id);
  return found == this->crashes_by_input.end()
             ? 0
             : static_cast<std::uint32_t>(found->second.size());
}

bool InputQuarantine::HasCrash(const UpstreamId& worker,
                               std::int64_t started_at,
                               const std::string& id) const {
  const auto found = this->crashes.find({worker, started_at});
  return found != this->crashes.end() && found->second.inputs.count(id) > 0;
}

std::vector<QuarantinedInput> InputQuarantine::Quarantined(Instant now) const {
  std::vector<QuarantinedInput> inputs;
  for (const auto& [id, verdict] : this->verdicts) {
    const Duration age = now - verdict.last_crash;
    if (age >= this->settings.hold) {
      continue;
    }
    QuarantinedInput input{id, verdict.crashes, age, {}};
    for (const Incarnation& incarnation : verdict.workers) {
      input.workers.push_back(incarnation.first);
    }
    inputs.push_back(std::move(input));
  }
  return inputs;
}

}  // namespace limpetlink
