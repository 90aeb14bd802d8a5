#include "tests/process/fleet_fixture.h"

#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

#include "tests/ports/free_ports.h"

namespace limpetlink::testing {
namespace {

constexpr char kSecret[] = "a secret of the tests";

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

nlohmann::json ReadDocument() {
  std::ifstream file(std::string(LIMPETLINK_EXAMPLES) + "/demo.json");
  return nlohmann::json::parse(file);
}

}  // namespace

FleetFixture::FleetFixture() : document(ReadDocument()) {
  mkdir(LIMPETLINK_LOGS, 0755);
  this->StartPlatform();
  this->StartService();
  for (int number = 1; number <= kEngines; ++number) {
    this->StartEngine(number);
    const auto index = static_cast<std::size_t>(number - 1);
    this->document["upstreams"][index]["url"] = this->EngineUrl(number, "");
  }
  this->document["upstreams"][kEngines]["url"] = this->ServiceUrl("");
  nlohmann::json hosts = nlohmann::json::array();
  for (const int number : {1, 2}) {
    const std::string name = "entry-" + std::to_string(number);
    hosts.push_back({{"id", name},
                     {"address", Loopback(this->PortOf(name + "-peer"))},
                     {"role", "entry"},
                     {"state", "live"}});
  }
  this->caller.Call("POST", this->PlatformUrl("/control/hosts"),
                    nlohmann::json({{"hosts", hosts}}).dump());
  this->WriteFleet();
}

std::uint16_t FleetFixture::PortOf(const std::string& name) const {
  const auto found = this->ports.find(name);
  if (found != this->ports.end()) {
    return found->second;
  }
  return this->ports[name] = FreePorts(1).front();
}

std::unique_ptr<ChildProcess> FleetFixture::Start(
    const std::string& program, const std::string& name,
    std::vector<std::string> arguments) const {
  const std::string log = std::string(LIMPETLINK_LOGS) + "/" +
                          std::to_string(getpid()) + "-" + name + ".log";
  return std::make_unique<ChildProcess>(
      std::string(LIMPETLINK_BIN) + "/" + program, std::move(arguments), log);
}

void FleetFixture::WaitForOk(const std::string& url) {
  REQUIRE(
      WaitUntil([&] { return this->caller.Call("GET", url).status == 200; }));
}

void FleetFixture::StartPlacement(int number) {
  const std::string name = "placement-" + std::to_string(number);
  this->placements[number] =
      this->Start("limpet-placement", name,
                  {"--host-id", name, "--platform", this->PlatformUrl(""),
                   "--fleet", this->document["name"].get<std::string>()});
}

void FleetFixture::StartPlatform() {
  this->platform =
      this->Start("limpet-fake-platform", "platform",
                  {"--listen", Loopback(this->PortOf("platform"))});
  this->WaitForOk(this->PlatformUrl("/v1/hosts"));
}

void FleetFixture::StartEngine(int number) {
  const std::string name = "engine-" + std::to_string(number);
  this->engines[number] =
      this->Start("limpet-fake-engine", name,
                  {"--listen", Loopback(this->PortOf(name)), "--step-ms", "5"});
  this->WaitForOk(this->EngineUrl(number, "/v1/load"));
}

void FleetFixture::StartService() {
  this->service = this->Start("limpet-fake-service", "service",
                              {"--listen", Loopback(this->PortOf("service"))});
  this->WaitForOk(this->ServiceUrl("/v1/load"));
}

void FleetFixture::StartEntry(int number) {
  const std::string name = "entry-" + std::to_string(number);
  this->entries[number] = this->Start(
      "limpet-entry", name,
      {"--host-id", name, "--failure-domain", "perth-a", "--listen",
       Loopback(this->PortOf(name)), "--peer-address",
       Loopback(this->PortOf(name + "-peer")), "--peer-secret", kSecret,
       "--resume-secret", kSecret, "--platform", this->PlatformUrl(""),
       "--fleet", "demo", "--seed", std::to_string(number)});
  this->WaitForOk(this->EntryUrl(number, "/readyz"));
}

void FleetFixture::WriteFleet() {
  const TestResponse put =
      this->caller.Call("PUT", this->PlatformUrl("/v1/objects/fleet/demo"),
                        this->document.dump());
  REQUIRE((put.status == 200 || put.status == 201));
}

std::string FleetFixture::EntryUrl(int number, const std::string& path) const {
  return "http://" + Loopback(this->PortOf("entry-" + std::to_string(number))) +
         path;
}
std::string FleetFixture::EngineUrl(int number, const std::string& path) const {
  return "http://" +
         Loopback(this->PortOf("engine-" + std::to_string(number))) + path;
}
std::string FleetFixture::ServiceUrl(const std::string& path) const {
  return "http://" + Loopback(this->PortOf("service")) + path;
}
std::string FleetFixture::PlatformUrl(const std::string& path) const {
  return "http://" + Loopback(this->PortOf("platform")) + path;
}

CallId FleetFixture::StartStream(int entry, int tokens, Headers extra) {
  const nlohmann::json body = {{"model", "tasting-model"},
                               {"prompt", "tokens=" + std::to_string(tokens)},
                               {"max_tokens", tokens},
                               {"stream", true}};
  return this->caller.StartCall("POST",
                                this->EntryUrl(entry, "/v1/completions"),
                                body.dump(), WithApiKey(std::move(extra)));
}

Headers FleetFixture::WithApiKey(Headers extra) {
  extra.push_back({"Authorization", "Bearer demo-key"});
  return extra;
}

bool FleetFixture::WaitUntil(const std::function<bool()>& condition) {
  constexpr std::chrono::milliseconds kPause{10};
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

std::map<std::string, nlohmann::json> FleetFixture::CollectGenerations() {
  std::map<std::string, nlohmann::json> all;
  for (int number = 1; number <= kEngines; ++number) {
    const TestResponse record =
        this->caller.Call("GET", this->EngineUrl(number, "/control/record"));
    for (const nlohmann::json& generation :
         record.Json().value("generations", nlohmann::json::array())) {
      all[generation.value("generation", "")] = generation;
    }
  }
  return all;
}

}  // namespace limpetlink::testing
