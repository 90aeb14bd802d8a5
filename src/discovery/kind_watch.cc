#include <algorithm>
#include <iterator>
#include <utility>

#include "discovery/discovery.h"

namespace limpetlink {
namespace {

// Delay before a failed call is repeated, on top of the client's own backoff.
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
// Wait of a call that the store is to answer immediately.
constexpr Duration kMinWait = std::chrono::milliseconds(1);
// Fractions of the read interval after which a host reads: the leader reads
// early enough that its result reaches the other hosts, with the age that it
// has on arrival, before they issue their own reads.
constexpr double kLeaderReadFraction = 0.6;
constexpr double kMinReadFraction = 0.85;

}  // namespace

KindWatch::KindWatch(KindWatchSettings settings, KindWatchHooks hooks,
                     MetadataStoreClient* client)
    : settings(std::move(settings)), hooks(std::move(hooks)), client(client) {}

void KindWatch::Start(Instant now) { this->Call(now); }

void KindWatch::Call(Instant now) {
  this->next_call = kNever;
  if (this->listing) {
    this->linearizable = true;
    this->op = this->client->ListRecords(now, this->settings.kind, this->after);
    return;
  }
  const Duration left = this->NextReadDue() - now;
  this->linearizable = left <= kMinWait;
  this->op = this->client->WatchKind(now, this->settings.kind, this->revision,
                                     this->linearizable ? kMinWait : left,
                                     !this->linearizable);
}

bool KindWatch::OnResult(Instant now, StoreResult* result) {
  if (result->op != this->op) {
    return false;
  }
  this->op = StoreOp{};
  if (result->status == StoreStatus::kHistoryGone) {
    this->listing = true;
    this->after.clear();
    this->pages.clear();
    this->Call(now);
    return true;
  }
  if (result->status != StoreStatus::kOk) {
    this->next_call = now + std::max(kRetryDelay, result->retry_after);
    return true;
  }
  if (this->listing) {
    this->HandlePage(now, result);
  } else {
    this->HandleChanges(now, result);
  }
  return true;
}

void KindWatch::HandlePage(Instant now, StoreResult* result) {
  if (this->after.empty()) {
    this->list_started_at = result->sent_at;
    // The watch delivers changes made during later pages again.
    this->revision = result->revision;
    this->changed_at = result->revision;
  }
  std::move(result->records.begin(), result->records.end(),
            std::back_inserter(this->pages));
  if (result->truncated && !this->pages.empty()) {
    this->after = this->pages.back().name;
    this->Call(now);
    return;
  }
  this->listing = false;
  this->has_snapshot = true;
  this->after.clear();
  this->fresh_at = this->list_started_at;
  this->hooks.on_snapshot(now, std::exchange(this->pages, {}));
  this->RecordRead(now, this->list_started_at, this->revision);
  this->Call(now);
}

void KindWatch::HandleChanges(Instant now, StoreResult* result) {
  this->revision = std::max(this->revision, result->revision);
  if (!result->records.empty()) {
    this->changed_at = std::max(this->changed_at, result->revision);
  }
  for (const ObjectRecord& record : result->records) {
    this->hooks.on_change(now, record);
  }
  if (this->linearizable) {
    this->RecordRead(now, result->sent_at, result->revision);
  }
  if (this->pending_read.has_value()) {
    this->ApplyLinearizableRead(
        *std::exchange(this->pending_read, std::nullopt));
  }
  if (result->records.empty() || this->settings.batch_delay <= Duration{0}) {
    this->Call(now);
  } else {
    this->next_call = now + this->settings.batch_delay;
  }
}

void KindWatch::RecordRead(Instant now, Instant sent_at, std::uint64_t at) {
  this->fresh_at = std::max(this->fresh_at, sent_at);
  this->last_read = {this->settings.kind, this->changed_at, at, sent_at};
  this->hooks.on_linearizable_read(now);
}

Instant KindWatch::NextReadDue() const {
  const double fraction =
      this->is_leader
          ? kLeaderReadFraction
          : kMinReadFraction + (1.0 - kMinReadFraction) * this->settings.phase;
  return this->fresh_at +
         FromSeconds(fraction * ToSeconds(this->settings.read_interval));
}

void KindWatch::ApplyLinearizableRead(const LinearizableRead& read) {
  const bool usable =
      this->has_snapshot && !this->listing && read.sent_at > this->fresh_at;
  if (!usable) {
    return;
  }
  if (this->revision < read.changed_at) {
    const bool newer = !this->pending_read.has_value() ||
                       this->pending_read->sent_at < read.sent_at;
    if (newer) {
      this->pending_read = read;
    }
    return;
  }
  this->fresh_at = read.sent_at;
  this->revision = std::max(this->revision, read.revision);
}

void KindWatch::Tick(Instant now) {
  if (this->next_call <= now) {
    this->Call(now);
  }
}

}  // namespace limpetlink
