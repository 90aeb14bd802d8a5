#include "fakes/fake_engine_events.h"

#include "fakes/fake_host.h"

namespace limpetlink {
namespace {

std::string EventText(const std::string& generation, std::uint64_t offset,
                      const OrderedJson& data) {
  return "id: " + generation + ":" + std::to_string(offset) +
         "\ndata: " + data.dump() + "\n\n";
}

}  // namespace

std::string TokenText(const std::string& generation, std::uint64_t offset) {
  const std::string text = std::to_string(offset);
  return " t" + text + "-" + Sha256Hex(generation + ":" + text).substr(0, 4);
}

std::string TokenEvent(const std::string& generation, std::uint64_t offset) {
  return EventText(generation, offset,
                   {{"generation", generation},
                    {"offset", offset},
                    {"text", TokenText(generation, offset)}});
}

std::string EndEvent(const std::string& generation, std::uint64_t tokens,
                     const std::string& finish_reason) {
  return EventText(generation, tokens,
                   {{"generation", generation},
                    {"offset", tokens},
                    {"finish_reason", finish_reason}});
}

}  // namespace limpetlink
