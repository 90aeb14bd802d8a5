#include "fakes/fake_service.h"
#include "settings/settings.h"

int main(int argc, char** argv) {
  std::string listen;
  limpetlink::SettingsParser parser(
      "limpet-fake-service", "Fake of an application service for tests.");
  parser.Address("listen", "address to serve on, ip:port", &listen,
                 limpetlink::Requirement::kRequired);
  if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
    return *code;
  }
  limpetlink::FakeHost host;
  const limpetlink::FakeService service(&host);
  return limpetlink::RunFake(&host, listen);
}
