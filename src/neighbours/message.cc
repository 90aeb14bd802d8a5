#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "neighbours/neighbours.h"
#include "peers/detail/cbor.h"
#include "quarantine/detail/evidence_json.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxBytes = 16U << 10U;
constexpr std::size_t kMaxRows = 256;
constexpr std::size_t kMaxText = 256;
constexpr std::size_t kMaxRecordBytes = kMaxBytes;
constexpr std::uint64_t kMaxTokens = 1ULL << 40U;
constexpr std::uint64_t kMaxAgeMs = 60'000;
// A limit lasts until a response shows its end.
constexpr std::uint64_t kMaxNoticeAgeMs = 365ULL * 24 * 3600 * 1000;
constexpr double kMaxRequestRate = 1e6;  // per second
constexpr std::uint64_t kMaxRunning = 1ULL << 20U;

/// @brief Reads the members of a message. `valid` becomes false with the first
/// malformed member.
class Reader {
 public:
  std::string Text(const Json& value, std::size_t max_size = kMaxText) {
    const bool is_valid =
        value.is_string() &&
        value.get_ref<const std::string&>().size() <= max_size;
    this->valid = this->valid && is_valid;
    return is_valid ? value.get<std::string>() : std::string();
  }

  std::uint64_t Number(const Json& value, std::uint64_t max) {
    const bool is_valid =
        value.is_number_unsigned() && value.get<std::uint64_t>() <= max;
    this->valid = this->valid && is_valid;
    return is_valid ? value.get<std::uint64_t>() : 0;
  }

  std::uint64_t Member(const Json& root, const char* member,
                       std::uint64_t max) {
    const auto found = root.find(member);
    this->valid = this->valid && found != root.end();
    return found == root.end() ? 0 : this->Number(*found, max);
  }

  /// @brief Returns the rows of a list, each of which must have `columns`
  /// columns.
  /// @return an empty list when the list is missing, too long or malformed
  const Json& Rows(const Json& root, const char* member, std::size_t columns) {
    static const Json missing;
    const auto found = root.find(member);
    return this->RowsOf(found == root.end() ? missing : *found, columns);
  }

  const Json& RowsOf(const Json& list, std::size_t columns) {
    static const Json empty = Json::array();
    if (!list.is_array() || list.size() > kMaxRows) {
      this->valid = false;
      return empty;
    }
    for (const Json& row : list) {
      if (!row.is_array() || row.size() != columns) {
        this->valid = false;
        return empty;
      }
    }
    return list;
  }

  bool valid = true;
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

Json EncodeLinearizableReads(const std::vector<AdvertisedRead>& reads) {
  Json rows = Json::array();
  for (const AdvertisedRead& read : reads) {
    // Rounds up: the advertised age must not be less than the real one.
    const std::int64_t age_ms =
        std::chrono::ceil<std::chrono::milliseconds>(read.age).count();
    rows.push_back(
        {read.kind, read.changed_at, read.revision, age_ms, read.era});
  }
  return rows;
}

Json EncodeChanges(const std::vector<KindChanges>& changes) {
  Json rows = Json::array();
  for (const KindChanges& each : changes) {
    Json records = Json::array();
    for (const ObjectRecord& record : each.records) {
      records.push_back(
          {record.name, record.version, record.deleted, record.bytes});
    }
    rows.push_back(
        {each.kind, each.era, each.from, each.to, std::move(records)});
  }
  return rows;
}

std::vector<KindChanges> ReadChanges(const Json& root, Reader* reader) {
  std::vector<KindChanges> changes;
  for (const Json& row : reader->Rows(root, "changes", 5)) {
    KindChanges each;
    each.kind = reader->Text(row[0]);
    each.era = reader->Number(row[1], UINT64_MAX);
    each.from = reader->Number(row[2], UINT64_MAX);
    each.to = reader->Number(row[3], UINT64_MAX);
    for (const Json& columns : reader->RowsOf(row[4], 4)) {
      ObjectRecord record;
      record.name = reader->Text(columns[0]);
      record.version = reader->Number(columns[1], UINT64_MAX);
      reader->valid = reader->valid && columns[2].is_boolean();
      record.deleted = reader->valid && columns[2].get<bool>();
      record.bytes = reader->Text(columns[3], kMaxRecordBytes);
      each.records.push_back(std::move(record));
    }
    changes.push_back(std::move(each));
  }
  return changes;
}

std::vector<AdvertisedRead> ReadLinearizableReads(const Json& root,
                                                  Reader* reader) {
  std::vector<AdvertisedRead> reads;
  for (const Json& row : reader->Rows(root, "proofs", 5)) {
    AdvertisedRead read;
    read.kind = reader->Text(row[0]);
    read.changed_at = reader->Number(row[1], UINT64_MAX);
    read.revision = reader->Number(row[2], UINT64_MAX);
    read.age = std::chrono::milliseconds(reader->Number(row[3], kMaxAgeMs));
    read.era = reader->Number(row[4], UINT64_MAX);
    reads.push_back(std::move(read));
  }
  return reads;
}

MissingChanges ReadMissing(const Json& row, Reader* reader) {
  constexpr std::size_t kColumns = 3;
  MissingChanges missing;
  reader->valid = reader->valid && row.is_array() && row.size() == kColumns;
  if (reader->valid) {
    missing.kind = reader->Text(row[0]);
    missing.era = reader->Number(row[1], UINT64_MAX);
    missing.revision = reader->Number(row[2], UINT64_MAX);
  }
  return missing;
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

std::int64_t InMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Json EncodeLimits(const std::vector<LimitNotice>& limits) {
  constexpr double kMilli = 1000;
  Json rows = Json::array();
  for (const LimitNotice& limit : limits) {
    if (rows.size() == kMaxLimitNotices) {
      break;
    }
    const double per_second =
        std::min(limit.per_second.value_or(0), kMaxRequestRate);
    rows.push_back(
        {limit.worker.value, limit.started_at, limit.per_second.has_value(),
         static_cast<std::uint64_t>(std::llround(per_second * kMilli)),
         InMilliseconds(limit.sent_age), InMilliseconds(limit.heard_age)});
  }
  return rows;
}

std::vector<LimitNotice> ReadLimits(const Json& root, Reader* reader) {
  constexpr double kMilli = 1000;
  std::vector<LimitNotice> limits;
  for (const Json& row : reader->Rows(root, "limits", 6)) {
    reader->valid =
        reader->valid && row[1].is_number_integer() && row[2].is_boolean();
    if (!reader->valid) {
      break;
    }
    LimitNotice limit;
    limit.worker.value = reader->Text(row[0]);
    limit.started_at = row[1].get<std::int64_t>();
    const auto milli = static_cast<double>(reader->Number(
        row[3], static_cast<std::uint64_t>(kMaxRequestRate * kMilli)));
    if (row[2].get<bool>()) {
      limit.per_second = milli / kMilli;
    }
    limit.sent_age =
        std::chrono::milliseconds(reader->Number(row[4], kMaxNoticeAgeMs));
    limit.heard_age =
        std::chrono::milliseconds(reader->Number(row[5], kMaxNoticeAgeMs));
    limits.push_back(std::move(limit));
  }
  return limits;
}

Json EncodeRooms(const std::vector<RoomNotice>& rooms) {
  Json rows = Json::array();
  for (const RoomNotice& room : rooms) {
    if (rows.size() == kMaxLimitNotices) {
      break;
    }
    rows.push_back(
        {room.worker.value, room.started_at,
         static_cast<std::uint64_t>(std::lround(std::max(0.0, room.room))),
         room.refused_age.has_value(),
         InMilliseconds(room.refused_age.value_or(Duration{0})),
         InMilliseconds(room.heard_age)});
  }
  return rows;
}

std::vector<RoomNotice> ReadRooms(const Json& root, Reader* reader) {
  std::vector<RoomNotice> rooms;
  for (const Json& row : reader->Rows(root, "rooms", 6)) {
    reader->valid =
        reader->valid && row[1].is_number_integer() && row[3].is_boolean();
    if (!reader->valid) {
      break;
    }
    RoomNotice room;
    room.worker.value = reader->Text(row[0]);
    room.started_at = row[1].get<std::int64_t>();
    room.room = static_cast<double>(reader->Number(row[2], kMaxRunning));
    const std::chrono::milliseconds refused_age(
        reader->Number(row[4], kMaxNoticeAgeMs));
    if (row[3].get<bool>()) {
      room.refused_age = refused_age;
    }
    room.heard_age =
        std::chrono::milliseconds(reader->Number(row[5], kMaxNoticeAgeMs));
    rooms.push_back(std::move(room));
  }
  return rooms;
}

Json EncodeUnreachable(const RelayOffer& offer) {
  Json unreachable = Json::array();
  for (const UpstreamId& worker : offer.unreachable) {
    if (unreachable.size() < kMaxUnreachableInOffer) {
      unreachable.push_back(worker.value);
    }
  }
  return unreachable;
}

Json EncodeRelays(const std::vector<RelayOffer>& offers) {
  Json rows = Json::array();
  for (const RelayOffer& offer : offers) {
    rows.push_back({offer.host.value, offer.domain.value, offer.address,
                    offer.token, offer.cut_off, offer.in_progress,
                    EncodeUnreachable(offer)});
  }
  return rows;
}

/// @brief Reads the last four columns of an offer.
RelayOffer ReadRelay(const Json& row, std::size_t first, Reader* reader) {
  RelayOffer offer;
  offer.token = reader->Text(row[first]);
  const Json& unreachable = row[first + 3];
  reader->valid = reader->valid && row[first + 1].is_boolean() &&
                  unreachable.is_array() &&
                  unreachable.size() <= kMaxUnreachableInOffer;
  if (!reader->valid) {
    return offer;
  }
  offer.cut_off = row[first + 1].get<bool>();
  offer.in_progress =
      static_cast<std::uint32_t>(reader->Number(row[first + 2], kMaxRunning));
  for (const Json& worker : unreachable) {
    offer.unreachable.push_back(UpstreamId{reader->Text(worker)});
  }
  return offer;
}

std::vector<RelayOffer> ReadRelays(const Json& root, Reader* reader) {
  std::vector<RelayOffer> offers;
  for (const Json& row : reader->Rows(root, "relays", 7)) {
    if (offers.size() == kMaxRelayOffers) {
      break;
    }
    RelayOffer offer = ReadRelay(row, 3, reader);
    offer.host.value = reader->Text(row[0]);
    offer.domain.value = reader->Text(row[1]);
    offer.address = reader->Text(row[2]);
    offers.push_back(std::move(offer));
  }
  return offers;
}

}  // namespace

std::string EncodeNeighbourMessage(const NeighbourMessage& message) {
  Json leaving = Json::array();
  for (const LeavingWorker& worker : message.leaving) {
    leaving.push_back(
        {worker.worker.value, worker.started_at, InMilliseconds(worker.age)});
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
               {"asks", message.requests_neighbours},
               {"shares", EncodeLoads(message.worker_loads)},
               {"leaving", std::move(leaving)},
               {"neighbours", std::move(neighbours)},
               {"contacts", std::move(contacts)},
               {"sent_at_ms", message.sent_at_ms}};
  if (message.echo_ms.has_value()) {
    root["echo_ms"] = *message.echo_ms;
    root["proofs"] = EncodeLinearizableReads(message.linearizable_reads);
  }
  if (!message.changes.empty()) {
    root["changes"] = EncodeChanges(message.changes);
  }
  if (message.store_failed) {
    root["store_failed"] = true;
  }
  if (message.missing.has_value()) {
    root["missing"] = {message.missing->kind, message.missing->era,
                       message.missing->revision};
  }
  if (message.echo_ms.has_value() || !message.changes.empty()) {
    root["removal_delay_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(message.removal_delay)
            .count();
  }
  if (message.domain_loads.has_value()) {
    root["loads_of"] = message.domain_loads->domain.value;
    root["loads"] = EncodeLoads(message.domain_loads->loads);
  }
  if (!message.gossip.evidence.Empty()) {
    root["evidence"] = ToJson(message.gossip.evidence);
  }
  if (!message.gossip.limits.empty()) {
    root["limits"] = EncodeLimits(message.gossip.limits);
  }
  if (!message.gossip.rooms.empty()) {
    root["rooms"] = EncodeRooms(message.gossip.rooms);
  }
  if (const std::optional<RelayOffer>& relay = message.gossip.relay) {
    // The message itself has the host, its domain and its address.
    root["relay"] = {relay->token, relay->cut_off, relay->in_progress,
                     EncodeUnreachable(*relay)};
  }
  if (message.requests_relays) {
    root["asks_relays"] = true;
  }
  if (!message.relays.empty()) {
    root["relays"] = EncodeRelays(message.relays);
  }
  return EncodeCbor(root);
}

absl::StatusOr<NeighbourMessage> DecodeNeighbourMessage(
    std::string_view bytes) {
  const absl::Status malformed =
      MakeStatus(ErrorCode::kPeerRefused, "neighbour message is malformed");
  CborLimits limits;
  limits.max_bytes = kMaxBytes;
  const absl::StatusOr<Json> decoded = DecodeCbor(bytes, limits);
  if (!decoded.ok() || !decoded->is_object()) {
    return malformed;
  }
  const Json& root = *decoded;
  for (const char* member : {"host", "domain", "address", "sequence", "asks"}) {
    if (!root.contains(member)) {
      return malformed;
    }
  }
  Reader reader;
  NeighbourMessage message;
  message.host.value = reader.Text(root["host"]);
  message.domain.value = reader.Text(root["domain"]);
  message.address = reader.Text(root["address"]);
  message.sequence = reader.Number(root["sequence"], UINT64_MAX);
  reader.valid = reader.valid && root["asks"].is_boolean();
  message.requests_neighbours = reader.valid && root["asks"].get<bool>();
  message.worker_loads = ReadLoads(root, "shares", &reader);
  for (const Json& row : reader.Rows(root, "leaving", 3)) {
    reader.valid = reader.valid && row[1].is_number_integer();
    if (reader.valid) {
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
  reader.valid =
      reader.valid && sent_at != root.end() && sent_at->is_number_integer();
  if (reader.valid) {
    message.sent_at_ms = sent_at->get<std::int64_t>();
  }
  if (const auto echo = root.find("echo_ms"); echo != root.end()) {
    reader.valid = reader.valid && echo->is_number_integer();
    message.echo_ms = reader.valid ? echo->get<std::int64_t>() : 0;
    message.linearizable_reads = ReadLinearizableReads(root, &reader);
  }
  if (root.contains("changes")) {
    message.changes = ReadChanges(root, &reader);
  }
  message.store_failed = root.contains("store_failed");
  if (root.contains("missing")) {
    message.missing = ReadMissing(root["missing"], &reader);
  }
  if (root.contains("echo_ms") || root.contains("changes")) {
    message.removal_delay = std::chrono::milliseconds(
        reader.Member(root, "removal_delay_ms", kMaxAgeMs));
  }
  if (root.contains("loads_of")) {
    message.domain_loads =
        DomainLoads{FailureDomainId{reader.Text(root["loads_of"])},
                    ReadLoads(root, "loads", &reader)};
  }
  if (const auto found = root.find("evidence"); found != root.end()) {
    std::optional<CrashEvidence> evidence = CrashEvidenceFromJson(*found);
    reader.valid = reader.valid && evidence.has_value();
    message.gossip.evidence = std::move(evidence).value_or(CrashEvidence{});
  }
  if (root.contains("limits")) {
    message.gossip.limits = ReadLimits(root, &reader);
  }
  if (root.contains("rooms")) {
    message.gossip.rooms = ReadRooms(root, &reader);
  }
  if (const auto found = root.find("relay"); found != root.end()) {
    constexpr std::size_t kColumns = 4;
    reader.valid =
        reader.valid && found->is_array() && found->size() == kColumns;
    if (reader.valid) {
      message.gossip.relay = ReadRelay(*found, 0, &reader);
      message.gossip.relay->host = message.host;
      message.gossip.relay->domain = message.domain;
      message.gossip.relay->address = message.address;
    }
  }
  message.requests_relays = root.contains("asks_relays");
  if (root.contains("relays")) {
    message.relays = ReadRelays(root, &reader);
  }
  if (!reader.valid) {
    return malformed;
  }
  return message;
}

}  // namespace limpetlink
