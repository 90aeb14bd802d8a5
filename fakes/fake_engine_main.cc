#include "fakes/fake_engine.h"
#include "settings/settings.h"

int main(int argc, char** argv) {
  constexpr std::uint64_t kLargest = 1U << 30U;
  std::string listen;
  bool ignore_fencing = false;
  limpetlink::EngineSettings settings;
  limpetlink::SettingsParser parser("limpet-fake-engine",
                                    "Stands in for a model engine in tests.");
  parser
      .Address("listen", "address to serve on, ip:port", &listen,
               limpetlink::Requirement::kRequired)
      .Text("model", "the model it serves", &settings.model)
      .Text("model-version", "the model's version", &settings.version)
      .Number("memory-tokens", "its memory, in tokens", &settings.memory_tokens,
              1, kLargest)
      .Number("max-running", "generations in a batch", &settings.max_running, 1,
              kLargest)
      .Number("step-ms", "time of a decode step, in milliseconds",
              &settings.step_ms, 0, kLargest)
      .Number("natural-tokens", "length of an answer", &settings.natural_tokens,
              0, kLargest)
      .Switch("check-fencing", "refuses orders with an old fencing number",
              &settings.check_fencing)
      .Switch("ignore-fencing", "takes orders with an old fencing number",
              &ignore_fencing);
  if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
    return *code;
  }
  settings.check_fencing = settings.check_fencing && !ignore_fencing;
  limpetlink::FakeHost host;
  const limpetlink::FakeEngine engine(&host, settings);
  return limpetlink::RunFake(&host, listen);
}
