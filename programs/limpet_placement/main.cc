#include <iostream>
#include <random>

#include "adapters/adapters.h"
#include "placement/placement.h"
#include "programs/common/process_signals.h"
#include "settings/settings.h"

namespace limpetlink {
namespace {

/// @brief Returns hooks that pass the core's HTTP calls to the client and its
/// log lines to the writer.
ActionHooks HooksOf(HttpClient* client, LineWriter* writer) {
  ActionHooks hooks;
  hooks.execute = [client, writer](Action action) {
    if (auto* call = std::get_if<HttpCall>(&action)) {
      client->Execute(std::move(*call));
    } else if (const auto* cancel = std::get_if<HttpCancel>(&action)) {
      client->Execute(*cancel);
    } else if (const auto* line = std::get_if<LogLine>(&action)) {
      writer->Write(*line, SteadyNow());
    }
  };
  hooks.flush = [client] { client->Flush(); };
  hooks.idle = [] { return true; };
  return hooks;
}

int RunPlacementProcess(const PlacementHostSettings& settings, LogLevel level) {
  ProcessSignals signals;
  LineWriter writer(ProcessWriterSettings(settings.self, level), std::cerr);
  PlacementHost host(settings);
  CoreLoop loop(limpetlink::HooksOf(&host));
  HttpClient client(HttpClientSettings{}, loop.Sink());
  client.Start();
  writer.Write(LogLine{LogLevel::kInfo, "started", {}}, SteadyNow());
  signals.ForwardTo(&loop);
  loop.Run(HooksOf(&client, &writer));
  loop.RequestStop();
  client.Stop();
  writer.Write(LogLine{LogLevel::kInfo, "ended", {}}, SteadyNow());
  return signals.StoppedImmediately() ? 1 : 0;
}

}  // namespace
}  // namespace limpetlink

int main(int argc, char** argv) {
  using limpetlink::Requirement;
  limpetlink::PlacementHostSettings settings;
  limpetlink::LogLevel level = limpetlink::LogLevel::kInfo;
  settings.seed =
      (std::uint64_t{std::random_device()()} << 32U) | std::random_device()();
  limpetlink::SettingsParser parser(
      "limpet-placement", "Reconciles engines with the fleet document.");
  parser
      .Text("host-id", "name of this host", &settings.self.value,
            Requirement::kRequired)
      .Text("platform", "URL of the platform, http://ip:port",
            &settings.platform_url, Requirement::kRequired)
      .Text("fleet", "name of the fleet document", &settings.fleet_name,
            Requirement::kRequired)
      .Text("model", "only engines of this model", &settings.model)
      .Choice("log-level", "debug, info, warning or error", &level);
  if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
    return *code;
  }
  return limpetlink::RunPlacementProcess(settings, level);
}
