#include <algorithm>
#include <utility>

#include "configuration/configuration.h"
#include "configuration/detail/wire.h"

namespace limpetlink {
namespace {

constexpr double kWholeBurst = 2.0;
/// Added to an age at each hop: the way of a message, estimated high, so that
/// an age passed around never grows younger.
constexpr Duration kHopAllowance = std::chrono::milliseconds(100);

}  // namespace

ConfigurationDigest ConfigurationStore::OwnDigest(Instant now) const {
  ConfigurationDigest digest{this->version, std::nullopt, this->ready};
  if (this->confirmed_at) {
    digest.confirmed_age = this->ConfirmedAge(now);
  }
  return digest;
}

std::string ConfigurationStore::Digest(Instant now) const {
  return EncodeConfiguration(this->OwnDigest(now));
}

void ConfigurationStore::OnDigest(Instant now, const HostId& from,
                                  std::string_view digest) {
  this->OnPeer(now, from, digest);
}

void ConfigurationStore::OnPeer(Instant now, const HostId& from,
                                std::string_view bytes) {
  this->NoticeGap(now);
  const auto message = DecodeConfiguration(bytes);
  if (!message.ok()) {
    ++this->counters.rejected_messages;
    return;
  }
  if (const auto* digest = std::get_if<ConfigurationDigest>(&*message)) {
    this->HandleDigest(now, from, *digest);
  } else if (const auto* pull = std::get_if<ConfigurationPull>(&*message)) {
    this->HandlePull(now, from, pull->have);
  } else {
    this->HandleDeltas(now, from, std::get<ConfigurationDeltas>(*message));
  }
}

void ConfigurationStore::HandleDigest(Instant now, const HostId& from,
                                      const ConfigurationDigest& digest) {
  this->NoteOutageAnswer(now, from, digest);
  if (digest.version == this->version && digest.confirmed_age) {
    this->Confirm(now, *digest.confirmed_age + kHopAllowance);
  }
  if (digest.version < this->version) {
    this->newer_at.erase(from);
    this->Send(from, this->Digest(now));
  }
  if (digest.version > std::max(this->version, this->refused_version)) {
    this->newer_at[from] = digest.version;
    this->StartPull(now);
  }
}

void ConfigurationStore::NoteOutageAnswer(Instant now, const HostId& from,
                                          const ConfigurationDigest& digest) {
  const bool counts =
      !this->ready && digest.ready &&
      now - this->refresh_began >= this->settings.propagation_time &&
      digest.version <= std::max(this->version, this->refused_version);
  if (counts) {
    this->outage_answers.insert(from);
    this->CheckOutageStart(now);
  }
}

void ConfigurationStore::StartPull(Instant now) {
  if (this->pull.version != 0) {
    return;
  }
  const std::uint64_t known = std::max(this->version, this->refused_version);
  const HostId* best = nullptr;
  std::uint64_t newest = known;
  for (const auto& [peer, version] : this->newer_at) {
    if (version > newest) {
      best = &peer;
      newest = version;
    }
  }
  if (best == nullptr) {
    this->newer_at.clear();
    return;
  }
  this->SendPull(now, *best, this->version, newest);
}

void ConfigurationStore::SendPull(Instant now, const HostId& to,
                                  std::uint64_t have, std::uint64_t version) {
  this->pull = {to, version, now + this->settings.pull_timeout};
  this->Send(to, EncodeConfiguration(ConfigurationPull{have}));
}

void ConfigurationStore::CheckPull(Instant now) {
  if (this->pull.version == 0 || now < this->pull.until) {
    return;
  }
  this->newer_at.erase(this->pull.peer);
  this->pull = Pull{};
  this->StartPull(now);
}

std::vector<DocumentDelta> ConfigurationStore::ChainFrom(
    std::uint64_t have) const {
  std::vector<DocumentDelta> chain;
  std::size_t bytes = 0;
  std::uint64_t at = have;
  for (const DocumentDelta& delta : this->deltas) {
    if (delta.from == at) {
      chain.push_back(delta);
      bytes += delta.bytes.size();
      at = delta.to;
    }
  }
  const bool reaches = at == this->version && bytes < this->text.size();
  return reaches ? chain : std::vector<DocumentDelta>{};
}

bool ConfigurationStore::TakeWholeToken(Instant now) {
  const double gained = ToSeconds(now - this->whole_at) *
                        this->settings.full_documents_per_second;
  this->whole_tokens = std::min(kWholeBurst, this->whole_tokens + gained);
  this->whole_at = now;
  if (this->whole_tokens < 1.0) {
    return false;
  }
  this->whole_tokens -= 1.0;
  return true;
}

void ConfigurationStore::HandlePull(Instant now, const HostId& from,
                                    std::uint64_t have) {
  ConfigurationDeltas answer;
  answer.digest = this->OwnDigest(now);
  if (have >= this->version) {
    this->Send(from, this->Digest(now));
    return;
  }
  answer.deltas =
      have == 0 ? std::vector<DocumentDelta>{} : this->ChainFrom(have);
  if (!answer.deltas.empty()) {
    ++this->counters.deltas_sent;
  } else if (this->TakeWholeToken(now)) {
    ++this->counters.full_documents_sent;
    DocumentDelta whole;
    whole.to = this->version;
    whole.bytes = this->text;
    whole.digest = StableHash(this->text);
    answer.deltas.push_back(std::move(whole));
  } else {
    return;  // the peer asks another host, or again
  }
  this->Send(from, EncodeConfiguration(answer));
}

void ConfigurationStore::HandleDeltas(Instant now, const HostId& from,
                                      const ConfigurationDeltas& message) {
  if (from == this->pull.peer) {
    this->pull = Pull{};
  }
  std::uint64_t at = this->version;
  std::string text = this->text;
  std::vector<const DocumentDelta*> used;
  for (const DocumentDelta& delta : message.deltas) {
    const bool whole = delta.form == DeltaForm::kFull;
    if (delta.to <= at || (!whole && delta.from != at)) {
      continue;
    }
    auto next = ApplyDelta(delta, text);
    if (!next.ok()) {
      ++this->counters.mismatched_deltas;
      this->SendPull(now, from, 0, delta.to);
      return;
    }
    text = *std::move(next);
    at = delta.to;
    used.push_back(&delta);
  }
  this->AdoptChain(now, at, text, used);
  this->HandleDigest(now, from, message.digest);
}

void ConfigurationStore::AdoptChain(
    Instant now, std::uint64_t version, const std::string& text,
    const std::vector<const DocumentDelta*>& used) {
  if (used.empty()) {
    return;
  }
  for (std::size_t i = 0; i + 1 < used.size(); ++i) {
    this->Keep(*used[i]);
  }
  this->Offer(now, version, text, used.back());
}

std::vector<HostId> ConfigurationStore::PickNeighbours(std::uint32_t count) {
  std::vector<HostId> pool = this->neighbours;
  std::vector<HostId> picked;
  while (picked.size() < count && !pool.empty()) {
    const std::size_t at = this->random.Below(pool.size());
    picked.push_back(pool[at]);
    pool[at] = pool.back();
    pool.pop_back();
  }
  return picked;
}

void ConfigurationStore::SendDigest(Instant now) {
  for (const HostId& peer : this->PickNeighbours(1)) {
    this->Send(peer, this->Digest(now));
  }
}

void ConfigurationStore::Announce(Instant now) {
  for (const HostId& peer :
       this->PickNeighbours(this->settings.announce_count)) {
    this->Send(peer, this->Digest(now));
  }
}

void ConfigurationStore::Send(const HostId& to, std::string bytes) {
  this->actions.emplace_back(ConfigurationSend{to, std::move(bytes)});
}

}  // namespace limpetlink
