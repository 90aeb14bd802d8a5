#include <random>

#include "platform/platform.h"
#include "programs/limpet_entry/gateway_process.h"
#include "programs/limpet_entry/process.h"
#include "settings/settings.h"

namespace {

constexpr std::uint64_t kMaxBodyBytes = 1U << 30U;
constexpr std::size_t kMinSecretLength = 16;

limpetlink::AssignSetting AssignSecret(std::string* target) {
  return [target](const std::string& text) -> std::optional<std::string> {
    if (text.size() < kMinSecretLength) {
      return "is shorter than 16 characters";
    }
    *target = text;
    return std::nullopt;
  };
}

limpetlink::AssignSetting AssignDigest(std::string* target) {
  return [target](const std::string& text) -> std::optional<std::string> {
    constexpr std::size_t kDigits = 64;
    if (text.size() != kDigits ||
        text.find_first_not_of("0123456789abcdef") != std::string::npos) {
      return "is not 64 lower-case hexadecimal digits";
    }
    *target = text;
    return std::nullopt;
  };
}

}  // namespace

int main(int argc, char** argv) {
  using limpetlink::Requirement;
  if (const auto path = limpetlink::platform::SettingsPath()) {
    return limpetlink::RunGatewayProcess(*path);
  }
  limpetlink::EntryProcessSettings settings;
  limpetlink::EntryHostSettings& host = settings.host;
  host.seed =
      (std::uint64_t{std::random_device()()} << 32U) | std::random_device()();
  limpetlink::SettingsParser parser("limpet-entry",
                                    "Serves callers of a fleet.");
  parser
      .Text("host-id", "name of this host", &host.self.value,
            Requirement::kRequired)
      .Text("failure-domain", "failure domain of this host",
            &host.failure_domain.value, Requirement::kRequired)
      .Address("listen", "address for callers, ip:port", &settings.listen,
               Requirement::kRequired)
      .Address("peer-address", "address that peers connect to, ip:port",
               &host.peer_address, Requirement::kRequired)
      .Address("peer-listen",
               "address to bind for peers; default: peer-address",
               &settings.peer_listen)
      .Checked("peer-secret", "secret shared by all hosts",
               AssignSecret(&settings.peer_secret), Requirement::kRequired)
      .Checked("resume-secret",
               "key that signs resume tokens; shared by all hosts",
               AssignSecret(&host.resume_secret), Requirement::kRequired)
      .Text("platform", "URL of the platform, http://ip:port",
            &host.platform_url, Requirement::kRequired)
      .Text("fleet", "name of the fleet document", &host.fleet_name,
            Requirement::kRequired)
      .Checked("operator-key-digest",
               "SHA-256 of the operators' key, hexadecimal",
               AssignDigest(&host.operator_key_digest))
      .Number("max-body-bytes", "maximum size of a request body, in bytes",
              &settings.max_body_bytes, 1, kMaxBodyBytes)
      .Number("seed", "seed of the host's random choices", &host.seed, 1,
              UINT64_MAX)
      .Choice("log-level", "debug, info, warning or error",
              &settings.log_level);
  if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
    return *code;
  }
  return limpetlink::RunEntryProcess(std::move(settings));
}
