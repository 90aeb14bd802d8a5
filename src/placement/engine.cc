#include "placement/detail/engine.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "decoding/decoding.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

std::string ReadText(const Json& value, const char* member) {
  const auto found = value.find(member);
  const bool is_text = found != value.end() && found->is_string();
  return is_text ? found->get<std::string>() : std::string();
}

}  // namespace

std::optional<EngineStateReport> ParseEngineStateReport(std::string_view json) {
  const Json value = DecodeJsonOrDiscard(json);
  const bool well_formed = value.is_object() && value.contains("model") &&
                           value["model"].is_string() &&
                           value.contains("version") &&
                           value["version"].is_string();
  if (!well_formed) {
    return std::nullopt;
  }
  EngineStateReport report;
  report.state.model = ReadText(value, "model");
  report.state.version = ReadText(value, "version");
  report.state.role = ReadText(value, "role");
  report.command_id = ReadText(value, "order_id");
  report.command_state = ReadText(value, "order_state");
  if (value.contains("draining") && value["draining"].is_boolean()) {
    report.draining = value["draining"].get<bool>();
  }
  if (value.contains("fence") && value["fence"].is_number_unsigned()) {
    report.fence = value["fence"].get<std::uint64_t>();
  }
  if (value.contains("adapters") && value["adapters"].is_array()) {
    for (const Json& adapter : value["adapters"]) {
      if (adapter.is_string()) {
        report.state.adapters.push_back(adapter.get<std::string>());
      }
    }
  }
  std::sort(report.state.adapters.begin(), report.state.adapters.end());
  return report;
}

std::string SerializeCommand(std::uint64_t fence, const std::string& command_id,
                             const EngineState& desired) {
  const Json command = {{"fence", fence},
                        {"order_id", command_id},
                        {"wanted",
                         {{"model", desired.model},
                          {"version", desired.version},
                          {"adapters", desired.adapters},
                          {"role", desired.role}}}};
  return command.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace limpetlink
