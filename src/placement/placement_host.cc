#include "placement/detail/placement_host.h"

#include <algorithm>
#include <utility>

namespace limpetlink {
namespace {

/// Time limit for releasing the lease; after it the lease expires by itself.
constexpr Duration kReleaseLimit = std::chrono::seconds(2);

MetadataStoreSettings PlatformSettingsOf(
    const PlacementHostSettings& settings) {
  MetadataStoreSettings platform;
  platform.url = settings.platform_url;
  platform.seed = StableHash("platform", settings.seed);
  return platform;
}

ConfigurationSettings ConfigurationSettingsOf(
    const PlacementHostSettings& settings) {
  ConfigurationSettings configuration;
  configuration.self = settings.self;
  configuration.fleet_name = settings.fleet_name;
  configuration.seed = StableHash("configuration", settings.seed);
  return configuration;
}

LeaseSettings LeaseSettingsOf(const PlacementHostSettings& settings) {
  LeaseSettings lease;
  lease.name =
      settings.model.empty() ? "placement" : "placement/" + settings.model;
  lease.holder = settings.self.value + "/" + std::to_string(settings.seed);
  lease.seed = StableHash("lease", settings.seed);
  return lease;
}

PlacementSettings ControllerSettingsOf(const PlacementHostSettings& settings) {
  PlacementSettings controller;
  controller.platform_url = settings.platform_url;
  controller.model = settings.model;
  controller.seed = StableHash("placement", settings.seed);
  return controller;
}

}  // namespace

PlacementHost::PlacementHost(PlacementHostSettings host_settings)
    : settings(std::move(host_settings)),
      platform(PlatformSettingsOf(settings),
               [this] { return CallId{++this->last_call}; }),
      configuration(
          ConfigurationSettingsOf(settings), &platform,
          [](std::string_view text) { return StatusOf(ParseFleet(text)); }),
      lease(LeaseSettingsOf(settings), &platform),
      controller(ControllerSettingsOf(settings), DesiredStateForModel, &lease,
                 [this] { return CallId{++this->last_call}; }) {}

Actions PlacementHost::Start(Instant at) {
  this->now = at;
  this->configuration.Start(at);
  this->configuration.OnHosts(at, {this->settings.self}, {});
  this->lease.Start(at);
  return this->ProcessResults();
}

Actions PlacementHost::Step(Instant at, const Event& event) {
  this->now = at;
  std::visit([this](const auto& content) { this->On(content); }, event);
  return this->ProcessResults();
}

Actions PlacementHost::Tick(Instant at) {
  this->now = at;
  this->lease.Tick(at);
  this->configuration.Tick(at);
  this->controller.Tick(at);
  this->platform.Tick(at);
  return this->ProcessResults();
}

Actions PlacementHost::Drain(Instant at) {
  this->now = at;
  if (this->drain_until == kNever) {
    this->drain_until = at + kReleaseLimit;
    this->lease.Release(at);
  }
  return this->ProcessResults();
}

Instant PlacementHost::NextWakeup() const {
  return std::min({this->lease.NextWakeup(), this->configuration.NextWakeup(),
                   this->controller.NextWakeup(), this->platform.NextWakeup(),
                   this->drain_until > this->now ? this->drain_until : kNever});
}

bool PlacementHost::Drained() const {
  return this->drain_until != kNever && this->now >= this->drain_until;
}

void PlacementHost::On(const HttpHead& head) {
  if (!this->platform.OnHead(this->now, head)) {
    this->controller.OnHead(this->now, head);
  }
}

void PlacementHost::On(const HttpChunk& chunk) {
  if (!this->platform.OnChunk(this->now, chunk)) {
    this->controller.OnChunk(this->now, chunk);
  }
}

void PlacementHost::On(const HttpDone& done) {
  if (!this->platform.OnDone(this->now, done)) {
    this->controller.OnDone(this->now, done);
  }
}

void PlacementHost::ApplyConfiguration(const ConfigurationApplied& applied) {
  FleetParseResult parsed = ParseFleet(applied.text);
  if (!parsed.Ok()) {
    return;
  }
  this->controller.Configure(this->now, std::make_shared<const FleetDocument>(
                                            std::move(parsed.document)));
  this->actions.emplace_back(
      LogLine{LogLevel::kInfo,
              "fleet document adopted",
              {{"version", std::to_string(applied.version)}}});
}

Actions PlacementHost::ProcessResults() {
  for (const StoreResult& result : this->platform.TakeResults()) {
    if (!this->lease.OnStoreResult(this->now, result)) {
      this->configuration.OnStoreResult(this->now, result);
    }
  }
  for (const ConfigurationAction& action : this->configuration.TakeActions()) {
    if (const auto* applied = std::get_if<ConfigurationApplied>(&action)) {
      this->ApplyConfiguration(*applied);
    }
  }
  for (const LeaseChange& change : this->lease.TakeChanges()) {
    this->actions.emplace_back(
        LogLine{LogLevel::kInfo,
                change.held ? "lease taken" : "lease lost",
                {{"epoch", std::to_string(change.epoch)}}});
  }
  for (Action& action : this->controller.TakeActions()) {
    this->actions.push_back(std::move(action));
  }
  for (Action& action : this->platform.TakeActions()) {
    this->actions.push_back(std::move(action));
  }
  return std::exchange(this->actions, {});
}

}  // namespace limpetlink
