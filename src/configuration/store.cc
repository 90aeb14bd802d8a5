#include <algorithm>
#include <utility>

#include "configuration/configuration.h"
#include "configuration/detail/wire.h"

namespace limpetlink {
namespace {

constexpr Duration kWatchInterval = std::chrono::milliseconds(200);
constexpr Duration kPlatformRetryDelay = std::chrono::milliseconds(800);
constexpr Duration kOutagePullInterval = std::chrono::seconds(1);
constexpr std::uint32_t kExtraOutagePeers = 2;

}  // namespace

ConfigurationStore::ConfigurationStore(ConfigurationSettings settings,
                                       MetadataStoreClient* platform,
                                       ValidateDocument validate)
    : settings(std::move(settings)),
      platform(platform),
      validate(std::move(validate)),
      random(this->settings.seed ^ StableHash(this->settings.self.value)),
      live{this->settings.self} {}

void ConfigurationStore::Start(Instant now) {
  this->started = true;
  this->last_event_at = now;
  this->next_digest = now + this->settings.digest_interval;
  this->Refresh(now);
}

void ConfigurationStore::Refresh(Instant now) {
  this->ready = false;
  this->refresh_started = now;
  this->platform_unavailable = false;
  this->outage_responders.clear();
  this->pull = Pull{};
  if (this->pending_op != 0) {
    this->platform->Cancel(StoreOp{this->pending_op});
    this->pending_op = 0;
  }
  this->QueryPlatform(now, Duration{0});
}

void ConfigurationStore::DetectFreeze(Instant now) {
  const bool was_frozen = this->started && now - this->last_event_at >
                                               this->settings.freeze_threshold;
  this->last_event_at = std::max(this->last_event_at, now);
  if (was_frozen) {
    this->Refresh(now);
  }
}

void ConfigurationStore::OnHosts(Instant now, const std::vector<HostId>& live,
                                 const std::vector<HostId>& neighbours) {
  this->live = live;
  this->neighbours = neighbours;
  const std::vector<HostId> chosen = RendezvousOwners(
      "watch/" + this->settings.fleet_name, live, this->settings.watchers);
  const bool is_watcher = std::find(chosen.begin(), chosen.end(),
                                    this->settings.self) != chosen.end();
  if (is_watcher && !this->watching) {
    this->next_platform_query = now;
  }
  this->watching = is_watcher;
}

void ConfigurationStore::QueryPlatform(Instant now, Duration wait) {
  if (this->pending_op != 0) {
    return;
  }
  const ObjectKey key{std::string(kFleetKind), this->settings.fleet_name};
  const std::uint64_t known = std::max(this->version, this->rejected_version);
  const StoreOp op = known == 0 ? this->platform->Get(now, key)
                                : this->platform->Watch(now, key, known, wait);
  this->pending_op = op.value;
  this->pending_since = now;
  this->pending_wait = known == 0 ? Duration{0} : wait;
  ++this->counters.platform_calls;
}

bool ConfigurationStore::OnStoreResult(Instant now, const StoreResult& result) {
  this->DetectFreeze(now);
  if (result.op.value != this->pending_op || this->pending_op == 0) {
    return false;
  }
  this->pending_op = 0;
  const Duration age = now - this->pending_since;
  switch (result.status) {
    case StoreStatus::kOk:
      this->TryApply(now, result.version, result.bytes, nullptr);
      this->next_platform_query = now + kWatchInterval;
      if (result.version == this->version) {
        this->Confirm(now, age);
        this->ready = true;
      } else if (result.version > this->version) {
        // The new version was rejected; only an older one is available.
        this->platform_unavailable = true;
      }
      break;
    case StoreStatus::kUnchanged:
      this->HandleUnchanged(now, age);
      break;
    case StoreStatus::kAbsent:
      this->next_platform_query = now + this->Jitter(kPlatformRetryDelay);
      break;
    default:
      this->platform_unavailable = true;
      this->next_platform_query =
          now + this->Jitter(std::max(kPlatformRetryDelay, result.retry_after));
      break;
  }
  return true;
}

void ConfigurationStore::HandleUnchanged(Instant now, Duration age) {
  this->next_platform_query = now + kWatchInterval;
  if (this->rejected_version > this->version) {
    this->platform_unavailable = true;
    return;
  }
  this->Confirm(now, std::max(Duration{0}, age - this->pending_wait));
  this->ready = this->version != 0;
}

Duration ConfigurationStore::Jitter(Duration full) {
  return FromSeconds(ToSeconds(full) * (0.5 + this->random.Fraction()));
}

void ConfigurationStore::Confirm(Instant now, Duration age) {
  const Instant at = now - age;
  if (!this->confirmed_at || *this->confirmed_at < at) {
    this->confirmed_at = at;
  }
}

Duration ConfigurationStore::ConfirmedAge(Instant now) const {
  return this->confirmed_at ? now - *this->confirmed_at : Duration::max();
}

bool ConfigurationStore::TryApply(Instant now, std::uint64_t version,
                                  std::string_view text,
                                  const DocumentDelta* delta) {
  if (version <= this->version || version == this->rejected_version) {
    return false;
  }
  const auto canonical = CanonicalText(text);
  const bool valid = canonical.ok() && this->validate(*canonical).ok();
  if (!valid) {
    ++this->counters.rejected_documents;
    this->rejected_version = std::max(this->rejected_version, version);
    return false;
  }
  if (delta != nullptr) {
    this->StoreDelta(*delta);
  } else if (this->version != 0) {
    this->StoreDelta(MakeDelta(this->version, this->text, version, *canonical));
  }
  this->version = version;
  this->text = *canonical;
  this->confirmed_at.reset();
  ++this->counters.applied;
  this->actions.emplace_back(ConfigurationApplied{version, this->text});
  this->Announce(now);
  return true;
}

void ConfigurationStore::StoreDelta(DocumentDelta delta) {
  if (delta.form == DeltaForm::kFull) {
    this->deltas.clear();
    this->delta_bytes = 0;
    return;
  }
  this->delta_bytes += delta.bytes.size();
  this->deltas.push_back(std::move(delta));
  while (this->delta_bytes > this->settings.max_delta_bytes) {
    this->delta_bytes -= this->deltas.front().bytes.size();
    this->deltas.erase(this->deltas.begin());
  }
}

bool ConfigurationStore::SharedPollDue(Instant now) {
  const bool stale = this->version != 0 &&
                     this->ConfirmedAge(now) > this->settings.stale_after;
  if (!stale) {
    this->next_shared_poll = kNever;
    return false;
  }
  const double period = static_cast<double>(this->live.size()) /
                        this->settings.shared_polls_per_second;
  if (this->next_shared_poll == kNever) {
    const Duration first = FromSeconds(period * this->random.Fraction());
    this->next_shared_poll = now + first;
  }
  if (now < this->next_shared_poll) {
    return false;
  }
  this->next_shared_poll = now + this->Jitter(FromSeconds(period));
  return true;
}

void ConfigurationStore::Tick(Instant now) {
  this->DetectFreeze(now);
  this->CheckPull(now);
  if (this->next_platform_query <= now && (this->watching || !this->ready)) {
    const bool wait = this->ready && this->watching;
    this->QueryPlatform(now, wait ? this->settings.watch_wait : Duration{0});
  }
  if (this->SharedPollDue(now)) {
    this->QueryPlatform(now, Duration{0});
  }
  if (this->next_digest <= now) {
    this->next_digest = now + this->Jitter(this->settings.digest_interval);
    this->SendDigest(now);
  }
  if (!this->ready && this->platform_unavailable) {
    this->PullFromPeersInOutage(now);
    this->CheckOutageQuorum(now);
  }
}

void ConfigurationStore::PullFromPeersInOutage(Instant now) {
  if (now < this->next_outage_pull) {
    return;
  }
  this->next_outage_pull = now + kOutagePullInterval;
  const std::uint32_t count = this->settings.outage_quorum + kExtraOutagePeers;
  for (const HostId& peer : this->PickNeighbours(count)) {
    this->Send(peer, EncodeConfiguration(ConfigurationPull{this->version}));
  }
}

void ConfigurationStore::CheckOutageQuorum(Instant now) {
  const std::size_t others = this->live.size() - 1;
  const std::size_t needed =
      std::min<std::size_t>(this->settings.outage_quorum, others);
  const bool waited =
      now - this->refresh_started >= this->settings.propagation_time;
  const bool enough = needed > 0 && this->outage_responders.size() >= needed;
  if (waited && enough && this->version != 0 && this->pull.version == 0) {
    this->ready = true;
  }
}

Instant ConfigurationStore::NextWakeup() const {
  Instant next = this->next_digest;
  if (this->pending_op == 0 && (this->watching || !this->ready)) {
    next = std::min(next, this->next_platform_query);
  }
  if (this->pull.version != 0) {
    next = std::min(next, this->pull.deadline);
  }
  if (!this->ready && this->platform_unavailable) {
    next = std::min(next, this->next_outage_pull);
  }
  return std::min(next, this->next_shared_poll);
}

std::vector<ConfigurationAction> ConfigurationStore::TakeActions() {
  return std::exchange(this->actions, {});
}

}  // namespace limpetlink
