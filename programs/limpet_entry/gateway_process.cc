#include "programs/limpet_entry/gateway_process.h"

#include <iostream>
#include <random>

#include "event_loop/event_loop.h"
#include "gateway/gateway.h"
#include "platform/platform.h"
#include "telemetry/telemetry.h"

namespace limpetlink {
namespace {

using platform::NodeSettings;

// The store usually responds within milliseconds. A call without a response
// within this time counts as lost, so that an unresponsive connection uses up
// only a fraction of the time within which a configuration must be applied.
constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(700);
constexpr Duration kStoreOperationTimeout = std::chrono::milliseconds(1500);
constexpr Duration kStoreInitialBackoff = std::chrono::milliseconds(40);
constexpr Duration kStoreMaxBackoff = std::chrono::milliseconds(400);

MetadataStoreSettings StoreSettings(const NodeSettings& node,
                                    std::uint64_t seed) {
  MetadataStoreSettings store;
  store.url = "http://" + node.store_address;
  store.dialect = platform::PlatformStoreDialect();
  store.call_timeout = kStoreCallTimeout;
  store.operation_timeout = kStoreOperationTimeout;
  store.watch_margin = kStoreCallTimeout;
  store.backoff_base = kStoreInitialBackoff;
  store.backoff_cap = kStoreMaxBackoff;
  store.budget.reads_per_second = 20.0;  // limits a host that fails in a loop
  store.budget.read_burst = 40.0;
  store.seed = seed;
  return store;
}

// Part of the process's memory for requests, which are held about three times
// while they are received and passed on.
constexpr std::uint64_t kRequestMemoryDivisor = 8;

EventLoopSettings LoopSettings(const NodeSettings& node) {
  EventLoopSettings settings{node.callers_address, node.neighbour_address,
                             node.operators_address, node.neighbour_address};
  if (node.memory_bytes > 0) {
    settings.max_request_bytes = node.memory_bytes / kRequestMemoryDivisor;
  }
  return settings;
}

GatewaySettings HostSettings(const NodeSettings& node) {
  GatewaySettings settings;
  settings.self = HostId{node.node_name};
  settings.failure_domain = FailureDomainId{node.failure_domain};
  settings.region_of = node.region_of;
  settings.neighbour_address = node.neighbour_address;
  settings.seeds = node.seeds;
  settings.relays_requests = !node.neighbour_address.empty();
  settings.limits = node.limits;
  settings.seed =
      (std::uint64_t{std::random_device()()} << 32U) | std::random_device()();
  settings.store = StoreSettings(node, settings.seed);
  return settings;
}

LineWriterSettings WriterSettings(const NodeSettings& node) {
  const auto time_of_day = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const WallClock clock{time_of_day - BootNow().time_since_epoch()};
  return {HostId{node.node_name}, LogLevel::kInfo, clock};
}

/// @brief The components of the process, declared in the order in which they
/// must be constructed.
class GatewayProcess {
 public:
  GatewayProcess(std::string path, NodeSettings node)
      : path(std::move(path)),
        node(std::move(node)),
        writer(WriterSettings(this->node), std::cout),
        host(HostSettings(this->node), platform::PlatformCodec()),
        loop(LoopSettings(this->node), HooksOf(&this->host), this->Hooks()) {}

  int Run() {
    const absl::Status status = this->loop.Start();
    if (!status.ok()) {
      this->Log(LogLevel::kError, "cannot start",
                {{"reason", DetailOf(status)}});
      return 1;
    }
    this->Log(LogLevel::kInfo, "listening",
              {{"callers", this->node.callers_address},
               {"operators", this->node.operators_address}});
    const bool in_order = this->loop.Run();
    this->Log(LogLevel::kInfo, "ended",
              {{"in_order", in_order ? "true" : "false"}});
    return in_order ? 0 : 1;
  }

 private:
  EventLoopHooks Hooks() {
    EventLoopHooks hooks;
    hooks.http_limits = [this] { return this->host.CurrentHttpLimits(); };
    hooks.accepts_callers = [this] { return this->host.AcceptsCallers(); };
    hooks.reload = [this] { this->Reload(); };
    hooks.log = [this](const LogLine& line, Instant now) {
      this->writer.Write(line, now);
    };
    hooks.span = [this](const SpanRecord& span) { this->writer.Write(span); };
    return hooks;
  }

  void Log(LogLevel level, std::string message, std::vector<LogField> fields) {
    this->writer.Write(LogLine{level, std::move(message), std::move(fields)},
                       BootNow());
  }

  void Reload() {
    const absl::StatusOr<NodeSettings> read =
        platform::ReadNodeSettings(this->path);
    if (!read.ok()) {
      this->Log(LogLevel::kWarning, "settings not reloaded",
                {{"reason", DetailOf(read.status())}});
      return;
    }
    if (read->limits == this->node.limits) {
      return;
    }
    this->node.limits = read->limits;
    this->host.Reload(read->limits);
    this->Log(LogLevel::kInfo, "settings reloaded", {});
  }

  std::string path;
  NodeSettings node;
  LineWriter writer;
  GatewayHost host;
  EventLoop loop;
};

}  // namespace

int RunGatewayProcess(const std::string& settings_path) {
  absl::StatusOr<NodeSettings> node = platform::ReadNodeSettings(settings_path);
  if (!node.ok()) {
    std::cerr << "limpet-entry: " << node.status().message() << "\n";
    return 1;
  }
  return GatewayProcess(settings_path, *std::move(node)).Run();
}

}  // namespace limpetlink
