#include <algorithm>
#include <utility>

#include "configuration/configuration.h"
#include "configuration/detail/wire.h"

namespace limpetlink {
namespace {

constexpr double kFullDocumentBurst = 2.0;
/// Upper estimate of a message's transit time. It is added at each hop so that
/// a forwarded age never understates the real one.
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
  this->DetectFreeze(now);
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
  this->RecordOutageResponse(now, from, digest);
  if (digest.version == this->version && digest.confirmed_age) {
    this->Confirm(now, *digest.confirmed_age + kHopAllowance);
  }
  if (digest.version < this->version) {
    this->newer_versions.erase(from);
    this->Send(from, this->Digest(now));
  }
  if (digest.version > std::max(this->version, this->rejected_version)) {
    this->newer_versions[from] = digest.version;
    this->StartPull(now);
  }
}

void ConfigurationStore::RecordOutageResponse(
    Instant now, const HostId& from, const ConfigurationDigest& digest) {
  const bool is_relevant =
      !this->ready && digest.ready &&
      now - this->refresh_started >= this->settings.propagation_time &&
      digest.version <= std::max(this->version, this->rejected_version);
  if (is_relevant) {
    this->outage_responders.insert(from);
    this->CheckOutageQuorum(now);
  }
}

void ConfigurationStore::StartPull(Instant now) {
  if (this->pull.version != 0) {
    return;
  }
  const std::uint64_t known = std::max(this->version, this->rejected_version);
  const HostId* best = nullptr;
  std::uint64_t newest = known;
  for (const auto& [peer, version] : this->newer_versions) {
    if (version > newest) {
      best = &peer;
      newest = version;
    }
  }
  if (best == nullptr) {
    this->newer_versions.clear();
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
  if (this->pull.version == 0 || now < this->pull.deadline) {
    return;
  }
  this->newer_versions.erase(this->pull.peer);
  this->pull = Pull{};
  this->StartPull(now);
}

std::vector<DocumentDelta> ConfigurationStore::DeltasSince(
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
  const bool complete = at == this->version && bytes < this->text.size();
  return complete ? chain : std::vector<DocumentDelta>{};
}

bool ConfigurationStore::ConsumeFullDocumentToken(Instant now) {
  const double gained = ToSeconds(now - this->tokens_updated_at) *
                        this->settings.full_documents_per_second;
  this->full_document_tokens =
      std::min(kFullDocumentBurst, this->full_document_tokens + gained);
  this->tokens_updated_at = now;
  if (this->full_document_tokens < 1.0) {
    return false;
  }
  this->full_document_tokens -= 1.0;
  return true;
}

void ConfigurationStore::HandlePull(Instant now, const HostId& from,
                                    std::uint64_t have) {
  ConfigurationDeltas response;
  response.digest = this->OwnDigest(now);
  if (have >= this->version) {
    this->Send(from, this->Digest(now));
    return;
  }
  response.deltas =
      have == 0 ? std::vector<DocumentDelta>{} : this->DeltasSince(have);
  if (!response.deltas.empty()) {
    ++this->counters.deltas_sent;
  } else if (this->ConsumeFullDocumentToken(now)) {
    ++this->counters.full_documents_sent;
    DocumentDelta full;
    full.to = this->version;
    full.bytes = this->text;
    full.digest = StableHash(this->text);
    response.deltas.push_back(std::move(full));
  } else {
    return;  // the peer pulls from another host or retries
  }
  this->Send(from, EncodeConfiguration(response));
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
    const bool full = delta.form == DeltaForm::kFull;
    if (delta.to <= at || (!full && delta.from != at)) {
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
  this->ApplyChain(now, at, text, used);
  this->HandleDigest(now, from, message.digest);
}

void ConfigurationStore::ApplyChain(
    Instant now, std::uint64_t version, const std::string& text,
    const std::vector<const DocumentDelta*>& used) {
  if (used.empty()) {
    return;
  }
  for (std::size_t i = 0; i + 1 < used.size(); ++i) {
    this->StoreDelta(*used[i]);
  }
  this->TryApply(now, version, text, used.back());
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
