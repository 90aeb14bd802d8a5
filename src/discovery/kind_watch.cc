#include <algorithm>
#include <iterator>
#include <utility>

#include "discovery/discovery.h"

namespace limpetlink {
namespace {

// Between a failed call and the next; the client's own backoff comes on top.
constexpr Duration kAfterFailure = std::chrono::milliseconds(50);
// Of a call that is to be answered at once.
constexpr Duration kNoWait = std::chrono::milliseconds(1);
// Parts of the time between proofs: a leading host's next proof reaches the
// others, with the age that it has there, before they ask themselves.
constexpr double kLeadingPart = 0.6;
constexpr double kEarliestPart = 0.85;

}  // namespace

KindWatch::KindWatch(KindWatchSettings settings, KindWatchHooks hooks,
                     MetadataStoreClient* client)
    : settings(std::move(settings)), hooks(std::move(hooks)), client(client) {}

void KindWatch::Start(Instant now) { this->Call(now); }

void KindWatch::Call(Instant now) {
  this->next_call = kNever;
  if (this->listing) {
    this->proving = true;
    this->op = this->client->ListRecords(now, this->settings.kind, this->after);
    return;
  }
  const Duration left = this->ProofDue() - now;
  this->proving = left <= kNoWait;
  this->op =
      this->client->WatchKind(now, this->settings.kind, this->revision,
                              this->proving ? kNoWait : left, !this->proving);
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
    this->next_call = now + std::max(kAfterFailure, result->retry_after);
    return true;
  }
  if (this->listing) {
    this->TakePage(now, result);
  } else {
    this->TakeChanges(now, result);
  }
  return true;
}

void KindWatch::TakePage(Instant now, StoreResult* result) {
  if (this->after.empty()) {
    this->list_began = result->asked_at;
    this->revision = result->revision;  // changes during later pages come again
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
  this->known = true;
  this->after.clear();
  this->fresh_at = this->list_began;
  this->hooks.on_snapshot(now, std::exchange(this->pages, {}));
  this->Prove(now, this->list_began, this->revision);
  this->Call(now);
}

void KindWatch::TakeChanges(Instant now, StoreResult* result) {
  this->revision = std::max(this->revision, result->revision);
  if (!result->records.empty()) {
    this->changed_at = std::max(this->changed_at, result->revision);
  }
  for (const ObjectRecord& record : result->records) {
    this->hooks.on_change(now, record);
  }
  if (this->proving) {
    this->Prove(now, result->asked_at, result->revision);
  }
  if (this->unmatched.has_value()) {
    this->ApplyLinearizableRead(*std::exchange(this->unmatched, std::nullopt));
  }
  if (result->records.empty() || this->settings.batch_delay <= Duration{0}) {
    this->Call(now);
  } else {
    this->next_call = now + this->settings.batch_delay;
  }
}

void KindWatch::Prove(Instant now, Instant asked_at, std::uint64_t at) {
  this->fresh_at = std::max(this->fresh_at, asked_at);
  this->proof = {this->settings.kind, this->changed_at, at, asked_at};
  this->hooks.on_linearizable_read(now);
}

Instant KindWatch::ProofDue() const {
  const double part = this->leads ? kLeadingPart
                                  : kEarliestPart + (1.0 - kEarliestPart) *
                                                        this->settings.phase;
  return this->fresh_at +
         FromSeconds(part * ToSeconds(this->settings.read_interval));
}

void KindWatch::ApplyLinearizableRead(const LinearizableRead& proof) {
  const bool news =
      this->known && !this->listing && proof.asked_at > this->fresh_at;
  if (!news) {
    return;
  }
  if (this->revision < proof.changed_at) {
    const bool newer = !this->unmatched.has_value() ||
                       this->unmatched->asked_at < proof.asked_at;
    if (newer) {
      this->unmatched = proof;
    }
    return;
  }
  this->fresh_at = proof.asked_at;
  this->revision = std::max(this->revision, proof.revision);
}

void KindWatch::Tick(Instant now) {
  if (this->next_call <= now) {
    this->Call(now);
  }
}

}  // namespace limpetlink
