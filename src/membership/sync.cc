#include <utility>

#include "membership/membership.h"

namespace limpetlink {
namespace {

constexpr Duration kMinMismatchTime = std::chrono::seconds(3);

}  // namespace

std::size_t Membership::BucketOf(const HostId& host) {
  return StableHash(host.value) % kBuckets;
}

std::uint64_t Membership::DigestOf(const Member& member) {
  const std::uint64_t state =
      StableHash(member.id.value, member.boot * 31 + member.incarnation);
  return IsLive(member.state) ? state : 0;
}

void Membership::ToggleDigest(const Record& record) {
  if (!record.unverified) {
    this->bucket_digests[BucketOf(record.member.id)] ^= DigestOf(record.member);
  }
}

std::uint64_t Membership::TableDigest() const {
  std::uint64_t digest = DigestOf(this->self);
  for (const std::uint64_t bucket : this->bucket_digests) {
    digest ^= bucket;
  }
  return digest;
}

void Membership::RequestSyncOnMismatch(Instant now, const HostId& from,
                                       std::uint64_t digest) {
  if (digest == this->TableDigest()) {
    this->last_match = now;
    return;
  }
  const bool lasting = now - this->last_match >= kMinMismatchTime;
  if (!lasting || now < this->next_sync) {
    return;
  }
  this->next_sync = now + this->settings.sync_interval;
  this->RequestSync(from);
}

void Membership::RequestSync(const HostId& to) {
  ++this->counters.syncs;
  GossipMessage request;
  request.kind = GossipKind::kSyncRequest;
  request.sequence = this->next_sequence++;
  request.buckets = this->bucket_digests;
  request.buckets[BucketOf(this->self.id)] ^= DigestOf(this->self);
  request.members.push_back(this->self);
  this->SendTo(to, std::move(request));
}

void Membership::HandleSyncRequest(const HostId& from,
                                   const GossipMessage& message) {
  if (message.buckets.size() != kBuckets) {
    ++this->counters.rejected_messages;
    return;
  }
  std::vector<std::uint64_t> local_digests = this->bucket_digests;
  local_digests[BucketOf(this->self.id)] ^= DigestOf(this->self);
  GossipMessage reply;
  reply.kind = GossipKind::kSyncReply;
  reply.sequence = message.sequence;
  reply.members.push_back(this->self);
  for (const auto& [id, record] : this->records) {
    const std::size_t bucket = BucketOf(id);
    const bool differs = local_digests[bucket] != message.buckets[bucket];
    if (differs && !record.unverified) {
      reply.members.push_back(record.member);
    }
  }
  this->SendTo(from, std::move(reply));
}

void Membership::HandleSyncReply(Instant now, const GossipMessage& message) {
  if (message.sequence < this->first_valid_sync) {
    return;  // responds to a request from before this host was frozen
  }
  this->current = true;
  this->last_match = now;
}

}  // namespace limpetlink
