#include "tests/scenario/applier.h"

#include <utility>

namespace limpetlink::scenario {
namespace {

constexpr std::chrono::seconds kApplyTimeout{30};

}  // namespace

Applier::Applier(std::string platform_url, FleetChange change)
    : base_version(change.base_version) {
  this->thread = std::thread(
      [this, url = std::move(platform_url), change = std::move(change)] {
        PlatformAccess platform(url, ExchangeOverCurl, SystemWaitHooks());
        const ApplyResult applied = platform.Apply(change, kApplyTimeout);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->result = applied;
      });
}

Applier::~Applier() { this->thread.join(); }

std::optional<ApplyResult> Applier::Result() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->result;
}

nlohmann::json Applier::Observe() const {
  const std::optional<ApplyResult> ended = this->Result();
  if (!ended) {
    return {{"ended", false}};
  }
  return {{"ended", true},
          {"outcome", ToText(ended->outcome)},
          {"version", ended->version},
          {"current_version", ended->current_version}};
}

FleetChange MakeChange(FleetDocument document, const std::string& author,
                       std::uint64_t base_version) {
  document.change_id = MakeChangeId(base_version, author, document);
  document.author = author;
  FleetChange change;
  change.fleet_name = document.name;
  change.change_id = document.change_id;
  change.base_version = base_version;
  const auto stamped =
      StampChange(WriteFleet(document), document.change_id, author);
  change.text = stamped.ok() ? *stamped : std::string();
  change.base_text = change.text;
  return change;
}

}  // namespace limpetlink::scenario
