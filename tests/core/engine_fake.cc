#include "tests/core/engine_fake.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "streams/streams.h"

namespace limpetlink::testing {
namespace {

using nlohmann::json;

constexpr Duration kTokenPace = std::chrono::milliseconds(10);
constexpr std::string_view kGenerations = "/v1/generations/";
constexpr std::uint64_t kMemoryTokens = 60000;

}  // namespace

std::string TokenText(const std::string& generation, std::uint64_t offset) {
  return generation + "#" + std::to_string(offset) + ";";
}

EngineFake::EngineFake(Network& network, Timeline& timeline, std::string name,
                       std::uint64_t tokens)
    : network(network),
      timeline(timeline),
      name(std::move(name)),
      tokens(tokens) {
  network.AddServer(this->name,
                    {[this](ExchangeId id, const HttpCall& call) {
                       this->OnRequest(id, call);
                     },
                     [this](ExchangeId id) {
                       for (auto& [generation, state] : this->generations) {
                         state.readers.erase(id);
                       }
                     }});
}

void EngineFake::Kill() {
  ++this->life;
  this->generations.clear();
  this->network.SetLink(this->name, LinkState::kRefused);
}

void EngineFake::Drain() { this->draining = true; }

void EngineFake::OnRequest(ExchangeId id, const HttpCall& call) {
  const std::string path = PathOf(call.url);
  if (path == "/v1/load") {
    this->Report(id);
  } else if (path == "/v1/completions") {
    this->Start(id, call);
  } else if (path.compare(0, kGenerations.size(), kGenerations) == 0) {
    const std::string rest = path.substr(kGenerations.size());
    const std::string generation = rest.substr(0, rest.find_first_of("?/"));
    if (call.method == "GET") {
      this->Resume(id, generation,
                   std::stoull(rest.substr(rest.find('=') + 1)));
    } else {
      if (call.method == "DELETE" && this->generations.count(generation) != 0) {
        this->generations.at(generation).cancelled = true;
      }
      this->network.Answer(id, 204, {}, "");
    }
  } else {
    this->network.Answer(id, 404, {}, "");
  }
}

void EngineFake::Start(ExchangeId id, const HttpCall& call) {
  if (this->draining) {
    this->network.Answer(id, 503, {}, R"({"outcome":"not_run"})");
    return;
  }
  const std::string generation = json::parse(call.body).at("generation");
  if (this->generations.count(generation) != 0) {
    this->network.Answer(id, 409, {}, "");
    return;
  }
  ++this->accepted;
  this->last_accepted = this->timeline.Now();
  this->generations[generation].readers[id] = 0;
  this->network.Head(id, 200, {{"Content-Type", "text/event-stream"}});
  this->timeline.After(kTokenPace, [this, generation, life = this->life] {
    if (life == this->life) {
      this->Produce(generation);
    }
  });
}

void EngineFake::Resume(ExchangeId id, const std::string& generation,
                        std::uint64_t offset) {
  const auto found = this->generations.find(generation);
  if (found == this->generations.end() || found->second.cancelled) {
    this->network.Answer(id, 404, {}, "");
    return;
  }
  found->second.readers[id] = offset;
  this->network.Head(id, 200, {{"Content-Type", "text/event-stream"}});
  this->Feed(generation);
}

void EngineFake::Produce(const std::string& generation) {
  Generation& state = this->generations.at(generation);
  if (state.cancelled) {
    return;
  }
  ++state.produced;
  this->Feed(generation);
  if (state.produced <= this->tokens) {
    this->timeline.After(kTokenPace, [this, generation, life = this->life] {
      if (life == this->life) {
        this->Produce(generation);
      }
    });
  }
}

void EngineFake::Feed(const std::string& generation) {
  Generation& state = this->generations.at(generation);
  std::vector<ExchangeId> finished;
  for (auto& [id, next] : state.readers) {
    for (; next < state.produced && next <= this->tokens; ++next) {
      EngineFrame frame{
          {generation}, next, TokenText(generation, next), std::nullopt};
      if (next == this->tokens) {
        frame.text.clear();
        frame.finish = FinishReason::kStop;
        finished.push_back(id);
      }
      this->network.Chunk(id, EncodeSse(EncodeEngineFrame(frame)));
    }
  }
  for (const ExchangeId id : finished) {
    state.readers.erase(id);
    this->network.Done(id);
  }
}

void EngineFake::Report(ExchangeId id) {
  std::uint64_t used = 0;
  std::uint64_t running = 0;
  for (const auto& [generation, state] : this->generations) {
    const bool runs = !state.cancelled && state.produced <= this->tokens;
    used += runs ? state.produced : 0;
    running += runs ? 1 : 0;
  }
  const json report = {{"memory_tokens", kMemoryTokens},
                       {"memory_tokens_used", used},
                       {"running", running},
                       {"waiting", 0},
                       {"preemptions", 0},
                       {"step_ms", 10},
                       {"draining", this->draining || this->reports_draining}};
  this->network.Answer(id, 200, {}, report.dump());
}

}  // namespace limpetlink::testing
