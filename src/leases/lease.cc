#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "decoding/decoding.h"
#include "leases/leases.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

}  // namespace

std::string WriteLeaseRecord(const LeaseRecord& record) {
  const Json json = {{"holder", record.holder}, {"epoch", record.epoch}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<LeaseRecord> ReadLeaseRecord(std::string_view json) {
  const Json value = DecodeJsonOrDiscard(json);
  const bool is_valid = value.is_object() && value.contains("holder") &&
                        value["holder"].is_string() &&
                        value.contains("epoch") &&
                        value["epoch"].is_number_unsigned();
  if (!is_valid) {
    return std::nullopt;
  }
  return LeaseRecord{value["holder"].get<std::string>(),
                     value["epoch"].get<std::uint64_t>()};
}

Lease::Lease(LeaseSettings settings, MetadataStoreClient* platform)
    : settings(std::move(settings)),
      platform(platform),
      random(this->settings.seed ^ StableHash(this->settings.holder)) {}

void Lease::Start(Instant now) {
  this->started = true;
  this->Read(now);
}

void Lease::SetCandidate(Instant now, bool candidate) {
  if (this->candidate == candidate) {
    return;
  }
  this->candidate = candidate;
  if (!candidate && this->Held(now)) {
    this->Release(now);
  }
  this->next = std::min(this->next, now);
}

Instant Lease::AfterJittered(Instant now, Duration interval) {
  return now + FromSeconds(ToSeconds(interval) *
                           (0.75 + 0.5 * this->random.Fraction()));
}

void Lease::Read(Instant now) {
  if (this->op != 0) {
    return;
  }
  const ObjectKey key{std::string(kLeaseKind), this->settings.name};
  this->op = this->platform->Get(now, key).value;
  this->op_is_write = false;
}

void Lease::Write(Instant now, const LeaseRecord& record, std::uint64_t base) {
  const ObjectKey key{std::string(kLeaseKind), this->settings.name};
  const WriteCondition condition =
      base == 0 ? WriteCondition::IfAbsent() : WriteCondition::IfVersion(base);
  this->op =
      this->platform->Put(now, key, WriteLeaseRecord(record), condition).value;
  this->op_is_write = true;
  this->written = record;
  this->sent = now;
}

bool Lease::OnStoreResult(Instant now, const StoreResult& result) {
  if (this->op == 0 || result.op.value != this->op) {
    return false;
  }
  this->op = 0;
  if (this->op_is_write) {
    this->HandleWritten(now, result);
  } else {
    this->HandleRead(now, result);
  }
  return true;
}

void Lease::HandleWritten(Instant now, const StoreResult& written) {
  if (written.status == StoreStatus::kOk) {
    this->RecordSeen(now, written.version, this->written);
    this->earliest_unconfirmed = kNever;
    if (!this->written.holder.empty()) {
      this->ExtendHolding(now, this->sent, this->written.epoch);
    }
    this->next = this->AfterJittered(now, this->settings.renew_every);
    return;
  }
  if (written.status == StoreStatus::kUnknown) {
    this->earliest_unconfirmed =
        std::min(this->earliest_unconfirmed, this->sent);
  }
  // Lost, refused or conflicting write: only a read determines the holder.
  this->must_read = true;
  const bool retry_now = written.status == StoreStatus::kConflict ||
                         written.status == StoreStatus::kUnknown;
  const Duration wait =
      std::max(this->settings.poll_every / 3, written.retry_after);
  this->next = retry_now ? now : this->AfterJittered(now, wait);
}

void Lease::HandleRead(Instant now, const StoreResult& read) {
  this->next = this->AfterJittered(now, this->settings.poll_every);
  if (read.status == StoreStatus::kAbsent) {
    this->must_read = false;
    this->EndHolding(now);
    if (this->candidate) {
      this->Write(now, {this->settings.holder, 1}, 0);
    }
    return;
  }
  const auto record = read.status == StoreStatus::kOk
                          ? ReadLeaseRecord(read.bytes)
                          : std::nullopt;
  if (!record) {
    return;
  }
  this->must_read = false;
  const bool own = record->holder == this->settings.holder;
  const bool write_applied = own && read.version > this->seen_version &&
                             this->earliest_unconfirmed != kNever;
  this->RecordSeen(now, read.version, *record);
  if (write_applied) {
    this->ExtendHolding(now, std::exchange(this->earliest_unconfirmed, kNever),
                        record->epoch);
  }
  if (own) {
    this->next = now;
    return;
  }
  this->earliest_unconfirmed = kNever;
  this->releasing = false;
  this->EndHolding(now);
}

void Lease::RecordSeen(Instant now, std::uint64_t version,
                       const LeaseRecord& record) {
  if (version != this->seen_version) {
    this->seen_version = version;
    this->seen_at = now;
  }
  this->seen = record;
}

void Lease::ExtendHolding(Instant now, Instant sent, std::uint64_t epoch) {
  if (this->releasing) {
    return;
  }
  if (epoch != this->epoch || !this->reported_held) {
    this->held_since = now;
  }
  const Instant until = sent + this->settings.duration - this->settings.margin;
  this->epoch = epoch;
  this->held_until = std::max(this->held_until, until);
  if (!this->reported_held && this->Held(now)) {
    this->reported_held = true;
    this->changes.push_back({true, epoch});
  }
}

void Lease::EndHolding(Instant now) {
  this->held_until = std::min(this->held_until, now);
  if (this->reported_held) {
    this->reported_held = false;
    this->changes.push_back({false, this->epoch});
  }
}

void Lease::Release(Instant now) {
  this->releasing = this->Held(now);
  this->candidate = false;
  this->EndHolding(now);
  this->next = now;
}

void Lease::Invalidate(Instant now) {
  this->EndHolding(now);
  this->must_read = true;
  this->next = now;
}

void Lease::Tick(Instant now) {
  if (!this->started) {
    return;
  }
  if (this->reported_held && !this->Held(now)) {
    this->EndHolding(now);
  }
  if (this->op != 0 || now < this->next) {
    return;
  }
  this->next = this->AfterJittered(now, this->settings.poll_every);
  if (this->must_read || this->seen_version == 0) {
    this->Read(now);
    return;
  }
  this->RunNextOperation(now);
}

void Lease::RunNextOperation(Instant now) {
  const bool own = this->seen.holder == this->settings.holder;
  if (this->releasing && own) {
    this->releasing = false;
    this->Write(now, {"", this->seen.epoch}, this->seen_version);
    return;
  }
  if (own && this->Held(now)) {
    this->Write(now, this->seen, this->seen_version);
    return;
  }
  const Duration unchanged = now - this->seen_at;
  const Duration expiry = this->settings.duration + this->settings.margin;
  const bool free = own || this->seen.holder.empty() || unchanged >= expiry;
  if (this->candidate && free) {
    this->Write(now, {this->settings.holder, this->seen.epoch + 1},
                this->seen_version);
    return;
  }
  this->Read(now);
}

Instant Lease::NextWakeup() const {
  Instant wake = this->op == 0 ? this->next : kNever;
  if (this->reported_held) {
    wake = std::min(wake, this->held_until);
  }
  return wake;
}

std::vector<LeaseChange> Lease::TakeChanges() {
  return std::exchange(this->changes, {});
}

}  // namespace limpetlink
