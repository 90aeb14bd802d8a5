#include "fakes/fake_platform.h"
#include "settings/settings.h"

int main(int argc, char** argv) {
  std::string listen;
  limpetlink::SettingsParser parser("limpet-fake-platform",
                                    "Fake of the platform for tests.");
  parser.Address("listen", "address to serve on, ip:port", &listen,
                 limpetlink::Requirement::kRequired);
  if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
    return *code;
  }
  limpetlink::FakeHost host;
  const limpetlink::FakePlatform platform(&host);
  return limpetlink::RunFake(&host, listen);
}
