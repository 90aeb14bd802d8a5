#include <nlohmann/json.hpp>

#include "neighbours/neighbours.h"
#include "peers/detail/cbor.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxBytes = 16U << 10U;
constexpr std::size_t kMaxRows = 256;
constexpr std::size_t kMaxText = 256;
constexpr std::uint64_t kMaxTokens = 1ULL << 40U;
constexpr std::uint64_t kMaxAgeMs = 60'000;
constexpr std::uint64_t kMaxRunning = 1ULL << 20U;

/// @brief Reads a message's members; one fault spoils it.
class Reader {
 public:
  std::string Text(const Json& value) {
    const bool readable =
        value.is_string() &&
        value.get_ref<const std::string&>().size() <= kMaxText;
    this->sound = this->sound && readable;
    return readable ? value.get<std::string>() : std::string();
  }

  std::uint64_t Number(const Json& value, std::uint64_t most) {
    const bool readable =
        value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
    this->sound = this->sound && readable;
    return readable ? value.get<std::uint64_t>() : 0;
  }

  /// @brief Gives the rows of a list whose rows have so many columns.
  const Json& Rows(const Json& root, const char* member, std::size_t columns) {
    static const Json none = Json::array();
    const auto found = root.find(member);
    if (found == root.end() || !found->is_array() || found->size() > kMaxRows) {
      this->sound = false;
      return none;
    }
    for (const Json& row : *found) {
      if (!row.is_array() || row.size() != columns) {
        this->sound = false;
        return none;
      }
    }
    return *found;
  }

  bool sound = true;
};

Json EncodeLoads(const std::vector<WorkerLoad>& loads) {
  Json rows = Json::array();
  for (const WorkerLoad& load : loads) {
    if (rows.size() == kMaxRows) {
      break;
    }
    rows.push_back({load.worker.value, load.running, load.waiting,
                    load.waiting_tokens, load.tokens});
  }
  return rows;
}

Json EncodeProofs(const std::vector<ToldProof>& proofs) {
  Json rows = Json::array();
  for (const ToldProof& proof : proofs) {
    // Rounded up: a proof must not look younger than it is.
    const std::int64_t age_ms =
        std::chrono::ceil<std::chrono::milliseconds>(proof.age).count();
    rows.push_back({proof.kind, proof.changed_at, proof.revision, age_ms});
  }
  return rows;
}

std::vector<ToldProof> ReadProofs(const Json& root, Reader* reader) {
  std::vector<ToldProof> proofs;
  for (const Json& row : reader->Rows(root, "proofs", 4)) {
    ToldProof proof;
    proof.kind = reader->Text(row[0]);
    proof.changed_at = reader->Number(row[1], UINT64_MAX);
    proof.revision = reader->Number(row[2], UINT64_MAX);
    proof.age = std::chrono::milliseconds(reader->Number(row[3], kMaxAgeMs));
    proofs.push_back(std::move(proof));
  }
  return proofs;
}

std::vector<WorkerLoad> ReadLoads(const Json& root, const char* member,
                                  Reader* reader) {
  std::vector<WorkerLoad> loads;
  for (const Json& row : reader->Rows(root, member, 5)) {
    WorkerLoad load;
    load.worker.value = reader->Text(row[0]);
    load.running =
        static_cast<std::uint32_t>(reader->Number(row[1], kMaxRunning));
    load.waiting =
        static_cast<std::uint32_t>(reader->Number(row[2], kMaxRunning));
    load.waiting_tokens = reader->Number(row[3], kMaxTokens);
    load.tokens = reader->Number(row[4], kMaxTokens);
    loads.push_back(std::move(load));
  }
  return loads;
}

}  // namespace

std::string EncodeNeighbourMessage(const NeighbourMessage& message) {
  Json leaving = Json::array();
  for (const LeavingWorker& worker : message.leaving) {
    const std::int64_t age_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(worker.age)
            .count();
    leaving.push_back({worker.worker.value, worker.started_at, age_ms});
  }
  Json neighbours = Json::array();
  for (const NeighbourAddress& neighbour : message.neighbours) {
    neighbours.push_back({neighbour.host.value, neighbour.address});
  }
  Json contacts = Json::array();
  for (const DomainContact& contact : message.contacts) {
    contacts.push_back(
        {contact.domain.value, contact.host.host.value, contact.host.address});
  }
  Json root = {{"host", message.host.value},
               {"domain", message.domain.value},
               {"address", message.address},
               {"sequence", message.sequence},
               {"asks", message.asks},
               {"shares", EncodeLoads(message.shares)},
               {"leaving", std::move(leaving)},
               {"neighbours", std::move(neighbours)},
               {"contacts", std::move(contacts)},
               {"sent_at_ms", message.sent_at_ms}};
  if (message.echo_ms.has_value()) {
    root["echo_ms"] = *message.echo_ms;
    root["proofs"] = EncodeProofs(message.proofs);
  }
  if (message.domain_loads.has_value()) {
    root["loads_of"] = message.domain_loads->domain.value;
    root["loads"] = EncodeLoads(message.domain_loads->loads);
  }
  return EncodeCbor(root);
}

absl::StatusOr<NeighbourMessage> DecodeNeighbourMessage(
    std::string_view bytes) {
  const absl::Status unreadable =
      MakeStatus(ErrorCode::kPeerRefused, "a neighbour's message is malformed");
  CborBounds bounds;
  bounds.max_bytes = kMaxBytes;
  const absl::StatusOr<Json> decoded = DecodeCbor(bytes, bounds);
  if (!decoded.ok() || !decoded->is_object()) {
    return unreadable;
  }
  const Json& root = *decoded;
  for (const char* member : {"host", "domain", "address", "sequence", "asks"}) {
    if (!root.contains(member)) {
      return unreadable;
    }
  }
  Reader reader;
  NeighbourMessage message;
  message.host.value = reader.Text(root["host"]);
  message.domain.value = reader.Text(root["domain"]);
  message.address = reader.Text(root["address"]);
  message.sequence = reader.Number(root["sequence"], UINT64_MAX);
  reader.sound = reader.sound && root["asks"].is_boolean();
  message.asks = reader.sound && root["asks"].get<bool>();
  message.shares = ReadLoads(root, "shares", &reader);
  for (const Json& row : reader.Rows(root, "leaving", 3)) {
    reader.sound = reader.sound && row[1].is_number_integer();
    if (reader.sound) {
      const std::chrono::milliseconds age(reader.Number(row[2], kMaxAgeMs));
      message.leaving.push_back(
          {UpstreamId{reader.Text(row[0])}, row[1].get<std::int64_t>(), age});
    }
  }
  for (const Json& row : reader.Rows(root, "neighbours", 2)) {
    message.neighbours.push_back(
        {HostId{reader.Text(row[0])}, reader.Text(row[1])});
  }
  for (const Json& row : reader.Rows(root, "contacts", 3)) {
    message.contacts.push_back(
        {FailureDomainId{reader.Text(row[0])},
         {HostId{reader.Text(row[1])}, reader.Text(row[2])}});
  }
  const auto sent_at = root.find("sent_at_ms");
  reader.sound =
      reader.sound && sent_at != root.end() && sent_at->is_number_integer();
  if (reader.sound) {
    message.sent_at_ms = sent_at->get<std::int64_t>();
  }
  if (const auto echo = root.find("echo_ms"); echo != root.end()) {
    reader.sound = reader.sound && echo->is_number_integer();
    message.echo_ms = reader.sound ? echo->get<std::int64_t>() : 0;
    message.proofs = ReadProofs(root, &reader);
  }
  if (root.contains("loads_of")) {
    message.domain_loads =
        DomainLoads{FailureDomainId{reader.Text(root["loads_of"])},
                    ReadLoads(root, "loads", &reader)};
  }
  if (!reader.sound) {
    return unreadable;
  }
  return message;
}

}  // namespace limpetlink
