#include "fakes/fake_engine.h"

#include <algorithm>
#include <charconv>

namespace limpetlink {
namespace {

constexpr std::string_view kGenerations = "/v1/generations/";
constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::uint64_t kDefaultMaxTokens = 256;

// Returns N if the prompt contains "tokens=N", otherwise the default.
std::uint64_t RequestedLength(const std::string& prompt,
                              std::uint64_t default_value) {
  constexpr std::string_view kMarker = "tokens=";
  const std::size_t at = prompt.find(kMarker);
  if (at == std::string::npos) {
    return default_value;
  }
  std::uint64_t length = default_value;
  std::from_chars(prompt.data() + at + kMarker.size(),
                  prompt.data() + prompt.size(), length);
  return length;
}

}  // namespace

FakeEngine::FakeEngine(FakeHost* host, EngineSettings settings)
    : host(host), settings(std::move(settings)) {
  host->on_request = [this](const CallerRequest& request) {
    this->Handle(request);
  };
  host->on_disconnect = [this](RequestId id) { this->RemoveReader(id); };
}

void FakeEngine::Handle(const CallerRequest& request) {
  if (request.path.rfind("/control/", 0) == 0) {
    this->Control(request);
  } else if (request.path == "/v1/completions" && request.method == "POST") {
    this->StartGeneration(request);
  } else if (request.path.rfind(kGenerations, 0) == 0) {
    this->HandleGeneration(request, request.path.substr(kGenerations.size()));
  } else if (request.path == "/v1/load") {
    this->ReportLoad(request.id);
  } else if (request.path == "/v1/orders" && request.method == "POST") {
    this->HandleCommand(request);
  } else if (request.path == "/v1/cache/events") {
    this->ReportCacheEvents(request);
  } else {
    this->host->ReplyJson(request.id, 404, {{"title", "unknown path"}});
  }
}

void FakeEngine::Control(const CallerRequest& request) {
  if (request.path == "/control/faults" && request.method == "POST") {
    this->SetFaults(ParseObject(request.body));
    this->host->ReplyJson(request.id, 200, OrderedJson::object());
  } else if (request.path == "/control/cut" && request.method == "POST") {
    this->AbortStreams();
    this->host->ReplyJson(request.id, 200, OrderedJson::object());
  } else if (request.path == "/control/record") {
    this->ReportRecord(request.id);
  } else {
    this->host->ReplyJson(request.id, 404, {{"title", "no such control"}});
  }
}

void FakeEngine::SetFaults(const OrderedJson& update) {
  EngineFaults& current = this->faults;
  current.stall = update.value("stall", current.stall);
  current.refuse = update.value("refuse", current.refuse);
  current.draining = update.value("draining", current.draining);
  current.die_after = update.value("die_after", current.die_after);
  current.cut_after = update.value("cut_after", current.cut_after);
  current.command_ms = update.value("order_ms", current.command_ms);
  this->settings.step_ms = update.value("step_ms", this->settings.step_ms);
  this->ScheduleStep();
}

void FakeEngine::StartGeneration(const CallerRequest& request) {
  const OrderedJson body = ParseObject(request.body);
  const std::string id = body.value("generation", "");
  if (this->faults.refuse || this->faults.draining) {
    this->host->ReplyJson(request.id, 503, {{"outcome", "not_run"}});
    return;
  }
  if (id.empty() || body.value("model", "") != this->settings.model) {
    this->host->ReplyJson(request.id, 400, {{"outcome", "not_run"}});
    return;
  }
  if (this->generations.count(id) > 0) {
    this->host->ReplyJson(request.id, 409,
                          {{"title", "generation was already started"}});
    return;
  }
  const std::string prompt = body.value("prompt", "");
  const std::uint64_t limit = body.value("max_tokens", kDefaultMaxTokens);
  const std::uint64_t natural_length =
      RequestedLength(prompt, this->settings.natural_tokens);
  Generation generation;
  generation.id = id;
  generation.prompt_tokens = prompt.size() / kBytesPerToken;
  generation.target_tokens = std::min(limit, natural_length);
  generation.finish_reason = natural_length <= limit ? "stop" : "length";
  generation.priority = body.value("priority", std::int64_t{0});
  generation.arrival = ++this->arrivals;
  generation.readers.push_back({request.id, 0});
  this->started.push_back(
      {{"generation", id}, {"tokens", generation.target_tokens}});
  this->generations.emplace(id, std::move(generation));
  this->RecordCacheEvent(prompt);
  this->host->BeginStream(request.id);
  this->ScheduleStep();
}

void FakeEngine::HandleGeneration(const CallerRequest& request,
                                  const std::string& rest) {
  const std::size_t slash = rest.find('/');
  const auto found =
      this->generations.find(PercentDecode(rest.substr(0, slash)));
  if (found == this->generations.end()) {
    this->host->ReplyJson(request.id, 404, {{"title", "no such generation"}});
  } else if (request.method == "GET") {
    this->Resume(request, &found->second);
  } else if (request.method == "DELETE") {
    this->Cancel(&found->second);
    this->host->Reply(request.id, 204, "");
  } else {
    this->SetPriority(request, &found->second);
  }
}

void FakeEngine::Resume(const CallerRequest& request, Generation* generation) {
  const std::uint64_t offset = QueryNumber(request.query, "offset", 0);
  if (generation->state == State::kCancelled || offset > generation->produced) {
    this->host->ReplyJson(request.id, 404, {{"title", "offset is not there"}});
    return;
  }
  this->host->BeginStream(request.id);
  generation->readers.push_back({request.id, offset});
  this->SendTokens(generation);
}

void FakeEngine::SetPriority(const CallerRequest& request,
                             Generation* generation) {
  generation->priority =
      ParseObject(request.body).value("priority", generation->priority);
  this->host->Reply(request.id, 204, "");
}

void FakeEngine::Cancel(Generation* generation) {
  if (generation->state == State::kDone) {
    return;
  }
  generation->state = State::kCancelled;
  for (const Reader& reader : generation->readers) {
    this->host->Abort(reader.request);
  }
  generation->readers.clear();
}

void FakeEngine::RemoveReader(RequestId id) {
  for (auto& [name, generation] : this->generations) {
    std::vector<Reader>& readers = generation.readers;
    const auto is_disconnected = [id](const Reader& reader) {
      return reader.request == id;
    };
    readers.erase(
        std::remove_if(readers.begin(), readers.end(), is_disconnected),
        readers.end());
  }
}

void FakeEngine::ReportLoad(RequestId id) {
  this->host->ReplyJson(
      id, 200,
      {{"model", this->settings.model},
       {"version", this->settings.version},
       {"adapters", this->adapters},
       {"role", this->role},
       {"memory_tokens", this->settings.memory_tokens},
       {"memory_tokens_used", this->UsedTokens()},
       {"running", this->GenerationsIn(State::kRunning).size()},
       {"waiting", this->GenerationsIn(State::kWaiting).size()},
       {"preemptions", this->preemptions},
       {"step_ms", this->settings.step_ms},
       {"draining", this->faults.draining},
       {"fence", this->fence},
       {"order_id", this->command_id},
       {"order_state", this->command_state}});
}

void FakeEngine::ReportRecord(RequestId id) {
  OrderedJson all = OrderedJson::array();
  for (const auto& [name, generation] : this->generations) {
    all.push_back({{"generation", name},
                   {"produced", generation.produced},
                   {"priority", generation.priority},
                   {"done", generation.state == State::kDone},
                   {"cancelled", generation.state == State::kCancelled}});
  }
  this->host->ReplyJson(id, 200,
                        {{"started", this->started},
                         {"generations", all},
                         {"orders", this->commands}});
}

void FakeEngine::HandleCommand(const CallerRequest& request) {
  const OrderedJson body = ParseObject(request.body);
  const std::uint64_t number = body.value("fence", std::uint64_t{0});
  const bool outdated = number < this->fence;
  const bool rejected = outdated && this->settings.check_fencing;
  this->commands.push_back(
      {{"order_id", body.value("order_id", "")},
       {"fence", number},
       {"refused", rejected},
       {"wanted", body.value("wanted", OrderedJson::object())}});
  if (rejected) {
    this->host->ReplyJson(request.id, 409, {{"fence", this->fence}});
    return;
  }
  this->fence = std::max(this->fence, number);
  this->command_id = body.value("order_id", "");
  this->command_state = "running";
  const OrderedJson desired = body.value("wanted", OrderedJson::object());
  const std::string id = this->command_id;
  this->host->RunAfter(std::chrono::milliseconds(this->faults.command_ms),
                       [this, id, desired] {
                         if (this->command_id == id) {
                           this->ExecuteCommand(desired);
                         }
                       });
  this->host->ReplyJson(request.id, 202, {{"fence", this->fence}});
}

void FakeEngine::ExecuteCommand(const OrderedJson& desired) {
  this->settings.model = desired.value("model", this->settings.model);
  this->settings.version = desired.value("version", this->settings.version);
  this->adapters = desired.value("adapters", this->adapters);
  this->role = desired.value("role", this->role);
  this->command_state = "done";
}

void FakeEngine::RecordCacheEvent(std::string_view prompt) {
  constexpr std::size_t kMaxCacheEvents = 256;
  constexpr std::size_t kBlockBytes = 64;
  if (prompt.size() < kBlockBytes) {
    return;
  }
  this->cache_events.push_back(
      {{"sequence", ++this->cache_sequence},
       {"block", StableHash(prompt.substr(0, kBlockBytes))},
       {"present", true}});
  if (this->cache_events.size() > kMaxCacheEvents) {
    // Slow readers observe a gap in the sequence.
    this->cache_events.pop_front();
  }
}

void FakeEngine::ReportCacheEvents(const CallerRequest& request) {
  const std::uint64_t after = QueryNumber(request.query, "after", 0);
  OrderedJson events = OrderedJson::array();
  for (const OrderedJson& event : this->cache_events) {
    if (event["sequence"].get<std::uint64_t>() > after) {
      events.push_back(event);
    }
  }
  this->host->ReplyJson(request.id, 200, {{"events", events}});
}

}  // namespace limpetlink
