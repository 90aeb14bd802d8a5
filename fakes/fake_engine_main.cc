#include "fakes/fake_engine.h"
#include "settings/settings.h"

int main(int argc, char** argv) {
  constexpr std::uint64_t kMaxValue = 1U << 30U;
  std::string listen;
  bool ignore_fencing = false;
  limpetlink::EngineSettings settings;
  limpetlink::SettingsParser parser("limpet-fake-engine",
                                    "Fake of a model engine for tests.");
  parser
      .Address("listen", "address to serve on, ip:port", &listen,
               limpetlink::Requirement::kRequired)
      .Text("model", "name of the served model", &settings.model)
      .Text("model-version", "version of the model", &settings.version)
      .Number("memory-tokens", "memory, in tokens", &settings.memory_tokens, 1,
              kMaxValue)
      .Number("max-running", "generations in a batch", &settings.max_running, 1,
              kMaxValue)
      .Number("step-ms", "duration of a decode step, in milliseconds",
              &settings.step_ms, 0, kMaxValue)
      .Number("natural-tokens", "output length if the prompt does not set one",
              &settings.natural_tokens, 0, kMaxValue)
      .Switch("check-fencing",
              "rejects commands with an outdated fencing number",
              &settings.check_fencing)
      .Switch("ignore-fencing",
              "accepts commands with an outdated fencing number",
              &ignore_fencing);
  if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
    return *code;
  }
  settings.check_fencing = settings.check_fencing && !ignore_fencing;
  limpetlink::FakeHost host;
  const limpetlink::FakeEngine engine(&host, settings);
  return limpetlink::RunFake(&host, listen);
}
