#include "tests/core/engine_fake.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "streams/streams.h"

namespace limpetlink::testing {
namespace {

using nlohmann::json;

constexpr Duration kTokenInterval = std::chrono::milliseconds(10);
constexpr std::string_view kGenerationsPath = "/v1/generations/";
constexpr std::uint64_t kTotalMemoryTokens = 60000;

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
  ++this->incarnation;
  this->generations.clear();
  this->network.SetLink(this->name, LinkState::kRefused);
}

void EngineFake::Drain() { this->draining = true; }

void EngineFake::OnRequest(ExchangeId id, const HttpCall& call) {
  const std::string path = PathAndQuery(call.url);
  if (path == "/v1/load") {
    this->SendLoadReport(id);
  } else if (path == "/v1/completions") {
    this->StartGeneration(id, call);
  } else if (path.compare(0, kGenerationsPath.size(), kGenerationsPath) == 0) {
    const std::string rest = path.substr(kGenerationsPath.size());
    const std::string generation = rest.substr(0, rest.find_first_of("?/"));
    if (call.method == "GET") {
      this->ResumeGeneration(id, generation,
                             std::stoull(rest.substr(rest.find('=') + 1)));
    } else {
      if (call.method == "DELETE" && this->generations.count(generation) != 0) {
        this->generations.at(generation).cancelled = true;
      }
      this->network.Respond(id, 204, {}, "");
    }
  } else {
    this->network.Respond(id, 404, {}, "");
  }
}

void EngineFake::StartGeneration(ExchangeId id, const HttpCall& call) {
  if (this->draining) {
    this->network.Respond(id, 503, {}, R"({"outcome":"not_run"})");
    return;
  }
  const std::string generation = json::parse(call.body).at("generation");
  if (this->generations.count(generation) != 0) {
    this->network.Respond(id, 409, {}, "");
    return;
  }
  ++this->accepted;
  this->last_accepted = this->timeline.Now();
  this->generations[generation].readers[id] = 0;
  this->network.SendHead(id, 200, {{"Content-Type", "text/event-stream"}});
  this->timeline.Schedule(kTokenInterval,
                          [this, generation, incarnation = this->incarnation] {
                            if (incarnation == this->incarnation) {
                              this->ProduceToken(generation);
                            }
                          });
}

void EngineFake::ResumeGeneration(ExchangeId id, const std::string& generation,
                                  std::uint64_t offset) {
  const auto found = this->generations.find(generation);
  if (found == this->generations.end() || found->second.cancelled) {
    this->network.Respond(id, 404, {}, "");
    return;
  }
  found->second.readers[id] = offset;
  this->network.SendHead(id, 200, {{"Content-Type", "text/event-stream"}});
  this->SendTokens(generation);
}

void EngineFake::ProduceToken(const std::string& generation) {
  Generation& state = this->generations.at(generation);
  if (state.cancelled) {
    return;
  }
  ++state.produced;
  this->SendTokens(generation);
  if (state.produced <= this->tokens) {
    this->timeline.Schedule(
        kTokenInterval, [this, generation, incarnation = this->incarnation] {
          if (incarnation == this->incarnation) {
            this->ProduceToken(generation);
          }
        });
  }
}

void EngineFake::SendTokens(const std::string& generation) {
  Generation& state = this->generations.at(generation);
  std::vector<ExchangeId> finished;
  for (auto& [id, next_offset] : state.readers) {
    for (; next_offset < state.produced && next_offset <= this->tokens;
         ++next_offset) {
      EngineFrame frame{{generation},
                        next_offset,
                        TokenText(generation, next_offset),
                        std::nullopt};
      if (next_offset == this->tokens) {
        frame.text.clear();
        frame.finish = FinishReason::kStop;
        finished.push_back(id);
      }
      this->network.SendChunk(id, EncodeSse(EncodeEngineFrame(frame)));
    }
  }
  for (const ExchangeId id : finished) {
    state.readers.erase(id);
    this->network.SendEnd(id);
  }
}

void EngineFake::SendLoadReport(ExchangeId id) {
  std::uint64_t used = 0;
  std::uint64_t running = 0;
  for (const auto& [generation, state] : this->generations) {
    const bool is_running = !state.cancelled && state.produced <= this->tokens;
    used += is_running ? state.produced : 0;
    running += is_running ? 1 : 0;
  }
  const json report = {{"memory_tokens", kTotalMemoryTokens},
                       {"memory_tokens_used", used},
                       {"running", running},
                       {"waiting", 0},
                       {"preemptions", 0},
                       {"step_ms", 10},
                       {"draining", this->draining || this->reports_draining}};
  this->network.Respond(id, 200, {}, report.dump());
}

}  // namespace limpetlink::testing
