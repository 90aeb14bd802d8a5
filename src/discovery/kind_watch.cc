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
// Store responses take milliseconds, and some 200 ms while the store is slow.
constexpr Duration kSuspicionDelay = std::chrono::milliseconds(400);
// After its start a host waits this long for the read of a neighbour; hosts
// that start together find each other within this time.
constexpr Duration kMinFirstReadDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxFirstReadDelay = std::chrono::milliseconds(300);
// Changes that were lost on the way arrive with the next relayed changes, or
// from the standby; after this time, spread over the hosts, the store is read.
constexpr Duration kMinMissingDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxMissingDelay = std::chrono::milliseconds(300);
// Changes are sent with those of the previous message, which may have been
// lost; the repetitions below go further back.
constexpr Duration kRelaySpan = std::chrono::milliseconds(450);
constexpr Duration kHistoryLength = std::chrono::milliseconds(2500);
// The last changes before a quiet time are relayed again: the hosts that lost
// them may not reach the store. Longer than the intervals between changes that
// are relayed anyway.
constexpr Duration kFirstRepeat = std::chrono::milliseconds(1000);
constexpr Duration kNextRepeat = std::chrono::milliseconds(1000);
constexpr int kRepeats = 2;

Duration Spread(Duration from, Duration to, double phase) {
  return from + FromSeconds(ToSeconds(to - from) * phase);
}

std::size_t SizeOf(const std::vector<ObjectRecord>& records) {
  std::size_t size = 0;
  for (const ObjectRecord& record : records) {
    size += record.name.size() + record.bytes.size();
  }
  return size;
}

}  // namespace

KindWatch::KindWatch(KindWatchSettings settings, KindWatchHooks hooks,
                     MetadataStoreClient* client)
    : settings(std::move(settings)), hooks(std::move(hooks)), client(client) {}

void KindWatch::Start(Instant now) {
  this->started_at = now;
  this->StartList(now, /*allow_stale=*/true);
}

void KindWatch::StartList(Instant now, bool allow_stale) {
  this->listing = true;
  this->list_allows_stale = allow_stale;
  this->after.clear();
  this->pages.clear();
  this->Call(now);
}

void KindWatch::Call(Instant now) {
  this->next_call = kNever;
  if (this->listing) {
    this->linearizable = !this->list_allows_stale;
    this->op = this->client->ListRecords(now, this->settings.kind, this->after,
                                         this->list_allows_stale);
    return;
  }
  const Duration left = this->NextReadDue(now) - now;
  this->linearizable = left <= kMinWait;
  this->suspect_at = this->linearizable ? now + kSuspicionDelay : kNever;
  this->op = this->client->WatchKind(now, this->settings.kind, this->revision,
                                     this->linearizable ? kMinWait : left,
                                     !this->linearizable);
}

bool KindWatch::OnResult(Instant now, StoreResult* result) {
  if (result->op != this->op) {
    return false;
  }
  this->op = StoreOp{};
  this->suspect_at = kNever;
  const bool responded = result->status == StoreStatus::kOk ||
                         result->status == StoreStatus::kHistoryGone;
  if (!responded) {
    this->retry_at = now + this->RetryDelay(*result);
    this->next_call = this->retry_at;
    this->call_failed = true;
    this->AskOtherHosts(now);
    this->ReportFailure(now);
    return true;
  }
  this->call_failed = false;
  this->outage_since.reset();
  if (!this->CheckEra(now, result->era)) {
    return true;
  }
  if (result->status == StoreStatus::kHistoryGone) {
    // The watch of a list that is older than the history would end the same.
    this->StartList(now, /*allow_stale=*/false);
  } else if (this->listing) {
    this->HandlePage(now, result);
  } else {
    this->HandleChanges(now, result);
  }
  return true;
}

void KindWatch::ReportFailure(Instant now) {
  if (this->hooks.on_store_failure != nullptr) {
    this->hooks.on_store_failure(now);
  }
}

Duration KindWatch::RetryDelay(const StoreResult& result) const {
  Duration delay = std::max(kRetryDelay, result.retry_after);
  if (this->role == WatchRole::kFollower) {
    // The leader, the standby and one follower after the other keep trying, and
    // relay what they read once the store answers.
    delay = std::max(delay, Spread(this->failure_spread / 2,
                                   this->failure_spread, this->settings.phase));
  }
  return delay;
}

void KindWatch::OnNeighbourFailure(Instant now) {
  if (!this->outage_since.has_value()) {
    this->outage_since = now;
  }
}

void KindWatch::OnStoreAnswers(Instant now) {
  this->outage_since.reset();
  const bool waits = this->call_failed && this->op.value == 0;
  if (waits) {
    const Duration spread =
        Spread(Duration{0}, kMaxMissingDelay, this->settings.phase);
    this->retry_at = std::min(this->retry_at, now + spread);
    this->next_call = std::min(this->next_call, this->retry_at);
  }
}

bool KindWatch::CheckEra(Instant now, std::uint64_t era) {
  if (!this->era.has_value()) {
    this->era = era;
  }
  if (era == *this->era) {
    return true;
  }
  if (era < *this->era) {
    // A stale response from before the store was restored.
    this->retry_at = now + kRetryDelay;
    this->next_call = this->retry_at;
    return false;
  }
  this->era = era;
  // Revisions of the previous era mean nothing in this one.
  this->history.clear();
  this->pending_read.reset();
  this->last_read.reset();
  this->missing_due = kNever;
  this->missing_revision = 0;
  this->revision = 0;
  this->changed_at = 0;
  this->objects.clear();
  if (this->hooks.on_store_restored != nullptr) {
    this->hooks.on_store_restored(now);
  }
  this->StartList(now, /*allow_stale=*/false);
  return false;
}

void KindWatch::HandlePage(Instant now, StoreResult* result) {
  // Pages may come from copies of different age. The watch continues from the
  // oldest one and delivers the changes made during later pages again.
  const bool first = this->after.empty();
  this->list_sent_at = first ? result->sent_at : this->list_sent_at;
  this->pages_revision = first
                             ? result->revision
                             : std::min(this->pages_revision, result->revision);
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
  this->revision = this->pages_revision;
  this->changed_at = this->revision;
  this->deleted_at = this->revision;
  this->objects.clear();
  for (const ObjectRecord& record : this->pages) {
    this->objects[record.name] = record;
  }
  this->hooks.on_snapshot(now, std::exchange(this->pages, {}));
  if (this->linearizable) {
    this->RecordRead(now, this->list_sent_at, this->revision);
  }
  this->ApplyPendingRead(now);
  this->ScheduleNext(now);
}

bool KindWatch::IsNews(const ObjectRecord& record) const {
  if (record.version == 0) {
    return true;  // its metadata was unreadable
  }
  const auto found = this->objects.find(record.name);
  const bool exists = found != this->objects.end();
  if (record.deleted) {
    // A deletion bears the version of the deleted object or a later one.
    return exists && record.version >= found->second.version;
  }
  return record.version > (exists ? found->second.version : this->revision);
}

bool KindWatch::ApplyRecords(Instant now, std::vector<ObjectRecord> records,
                             std::uint64_t to) {
  bool applied = false;
  const std::uint64_t from = this->revision;
  for (const ObjectRecord& record : records) {
    if (!this->IsNews(record)) {
      continue;
    }
    if (record.deleted) {
      this->objects.erase(record.name);
      this->deleted_at = std::max(this->deleted_at, to);
    } else {
      this->objects[record.name] = record;
    }
    this->hooks.on_change(now, record);
    applied = true;
  }
  this->revision = std::max(this->revision, to);
  if (applied) {
    for (ObjectRecord& record : records) {
      if (record.deleted) {
        record.bytes.clear();
      }
    }
    this->changed_at = std::max(this->changed_at, to);
    this->history.push_back({now, from, this->revision, std::move(records)});
    while (now - this->history.front().read_at > kHistoryLength) {
      this->history.pop_front();
    }
  }
  if (this->revision >= this->missing_revision) {
    this->missing_due = kNever;
  }
  return applied;
}

void KindWatch::HandleChanges(Instant now, StoreResult* result) {
  // A follower reads what was announced to all; only the others, and a follower
  // that finds what nobody announced, tell their neighbours. Otherwise each
  // large change would be sent by each host to each other one.
  const std::uint64_t announced = this->missing_revision;
  const bool applied =
      this->ApplyRecords(now, std::move(result->records), result->revision);
  const bool relays =
      this->role != WatchRole::kFollower || this->changed_at > announced;
  if (applied && relays) {
    this->repeats_left = kRepeats;
    this->repeat_at = now + kFirstRepeat;
    this->relay_span = kRelaySpan;
    this->Relay(now);
  }
  if (this->linearizable) {
    this->RecordRead(now, result->sent_at, result->revision);
  }
  this->ApplyPendingRead(now);
  if (applied && this->settings.batch_delay > Duration{0} &&
      this->role != WatchRole::kFollower) {
    // The standby leaves most changes to the leader.
    const int factor = this->role == WatchRole::kStandby ? 2 : 1;
    const Instant batched = now + factor * this->settings.batch_delay;
    this->next_call = std::min(batched, std::max(now, this->NextReadDue(now)));
  } else {
    this->ScheduleNext(now);
  }
}

void KindWatch::Relay(Instant now) {
  if (this->hooks.on_relay != nullptr) {
    this->hooks.on_relay(now);
  }
}

void KindWatch::RecordRead(Instant now, Instant sent_at, std::uint64_t at) {
  this->fresh_at = std::max(this->fresh_at.value_or(sent_at), sent_at);
  this->last_read = {this->settings.kind, this->changed_at,
                     std::max(at, this->changed_at), sent_at,
                     this->era.value_or(0)};
  this->hooks.on_linearizable_read(now);
}

Instant KindWatch::NextReadDue(Instant now) const {
  if (!this->fresh_at.has_value()) {
    const bool waits_for_others = this->role != WatchRole::kLeader;
    return waits_for_others ? this->started_at + Spread(kMinFirstReadDelay,
                                                        kMaxFirstReadDelay,
                                                        this->settings.phase)
                            : now;
  }
  const double fraction =
      this->role == WatchRole::kLeader
          ? kLeaderReadFraction
          : kMinReadFraction + (1.0 - kMinReadFraction) * this->settings.phase;
  return *this->fresh_at +
         FromSeconds(fraction * ToSeconds(this->settings.read_interval));
}

void KindWatch::ApplyLinearizableRead(Instant now,
                                      const LinearizableRead& read) {
  this->OnStoreAnswers(now);
  if (this->listing) {
    this->pending_read = read;
    return;
  }
  if (read.era > this->era) {
    // Another host found the store restored; this host lists it as well.
    this->RequestMissing(now, this->revision);
    return;
  }
  const bool usable = read.era == this->era && (!this->fresh_at.has_value() ||
                                                read.sent_at > *this->fresh_at);
  if (!usable) {
    return;
  }
  if (this->revision < read.changed_at) {
    const bool newer = !this->pending_read.has_value() ||
                       this->pending_read->sent_at < read.sent_at;
    if (newer) {
      this->pending_read = read;
    }
    this->RequestMissing(now, read.changed_at);
    return;
  }
  this->fresh_at = read.sent_at;
  this->revision = std::max(this->revision, read.revision);
}

void KindWatch::ApplyPendingRead(Instant now) {
  if (this->pending_read.has_value()) {
    this->ApplyLinearizableRead(
        now, *std::exchange(this->pending_read, std::nullopt));
  }
}

void KindWatch::ApplyChanges(Instant now, const KindChanges& changes) {
  const bool usable =
      changes.era == this->era && !this->listing && changes.to > this->revision;
  if (!usable) {
    return;
  }
  if (this->revision < changes.from) {
    this->RequestMissing(now, changes.to);
    return;
  }
  this->ApplyRecords(now, changes.records, changes.to);
  this->ApplyPendingRead(now);
}

void KindWatch::RequestMissing(Instant now, std::uint64_t revision) {
  this->missing_revision = std::max(this->missing_revision, revision);
  const Instant due =
      now + Spread(kMinMissingDelay, kMaxMissingDelay, this->settings.phase);
  this->missing_due = std::min(this->missing_due, due);
  if (this->op.value == 0) {
    this->next_call = std::min(this->next_call, this->missing_due);
  }
  if (this->call_failed) {
    this->AskOtherHosts(now);
  }
}

void KindWatch::AskOtherHosts(Instant now) {
  const bool can_apply = this->has_snapshot && !this->listing;
  if (can_apply && this->revision < this->missing_revision &&
      this->hooks.on_missing != nullptr) {
    this->hooks.on_missing(
        now, {this->settings.kind, this->era.value_or(0), this->revision});
  }
}

std::optional<KindChanges> KindWatch::ChangesSince(
    const MissingChanges& missing, std::size_t max_bytes) const {
  const bool known =
      this->has_snapshot && !this->listing && missing.era == this->era &&
      missing.revision < this->revision && this->deleted_at <= missing.revision;
  if (!known) {
    return std::nullopt;
  }
  KindChanges changes;
  changes.kind = this->settings.kind;
  changes.era = missing.era;
  changes.from = missing.revision;
  changes.to = this->revision;
  for (const auto& [name, record] : this->objects) {
    if (record.version > missing.revision) {
      changes.records.push_back(record);
    }
  }
  if (SizeOf(changes.records) > max_bytes) {
    return std::nullopt;
  }
  return changes;
}

KindChanges KindWatch::RecentChanges(Instant now, std::size_t max_bytes) const {
  KindChanges changes;
  changes.kind = this->settings.kind;
  changes.era = this->era.value_or(0);
  if (this->history.empty()) {
    return changes;
  }
  changes.to = this->history.back().to;
  changes.from = changes.to;
  std::size_t size = 0;
  auto first = this->history.end();
  while (first != this->history.begin()) {
    const HistoryPart& part = *std::prev(first);
    size += SizeOf(part.records);
    const bool fits =
        size <= max_bytes && now - part.read_at <= this->relay_span;
    // The parts form one span, so they must follow on each other.
    if (!fits || part.to != changes.from) {
      break;
    }
    changes.from = part.from;
    --first;
  }
  for (; first != this->history.end(); ++first) {
    changes.records.insert(changes.records.end(), first->records.begin(),
                           first->records.end());
  }
  return changes;
}

void KindWatch::SetRole(Instant now, WatchRole role) {
  if (role == this->role) {
    return;
  }
  this->role = role;
  if (this->op.value == 0 && this->has_snapshot) {
    this->next_call = std::max(now, this->retry_at);
  }
}

void KindWatch::ScheduleNext(Instant now) {
  if (this->role != WatchRole::kFollower) {
    this->Call(now);
    return;
  }
  Instant due = std::min(this->NextReadDue(now), this->missing_due);
  if (this->outage_since.has_value()) {
    due = std::max(
        due, *this->outage_since + Spread(Duration{0}, this->failure_spread,
                                          this->settings.phase));
  }
  this->next_call = std::max(this->retry_at, due);
  if (this->next_call <= now) {
    this->missing_due = kNever;
    this->Call(now);
  }
}

void KindWatch::Tick(Instant now) {
  if (this->suspect_at <= now) {
    this->suspect_at = kNever;
    this->ReportFailure(now);
  }
  if (this->repeat_at <= now) {
    --this->repeats_left;
    this->repeat_at = this->repeats_left > 0 ? now + kNextRepeat : kNever;
    this->relay_span = kHistoryLength;
    this->Relay(now);
  }
  if (this->next_call > now) {
    return;
  }
  if (this->listing) {
    this->Call(now);
  } else {
    this->ScheduleNext(now);
  }
}

}  // namespace limpetlink
