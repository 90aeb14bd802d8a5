#include "membership/detail/messages.h"

#include <utility>

#include "peers/peers.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr CborLimits kLimits{256UL * 1024UL, 3, 32768};
constexpr std::size_t kMembers = 8;
constexpr std::size_t kMaxText = 128;       ///< bytes of an id, key or address
constexpr std::size_t kMaxBroadcast = 256;  ///< bytes
constexpr std::size_t kMaxPayload = 64;     ///< bytes

bool ReadNumber(const Json& value, std::uint64_t* number) {
  if (!value.is_number_unsigned()) {
    return false;
  }
  *number = value.get<std::uint64_t>();
  return true;
}

bool ReadText(const Json& value, std::string* text) {
  if (!value.is_string()) {
    return false;
  }
  *text = value.get<std::string>();
  return text->size() <= kMaxText;
}

bool ReadMember(const Json& row, Member* member) {
  std::uint64_t state = 0;
  const bool shape =
      row.is_array() && row.size() == 6 &&
      ReadText(row[0], &member->id.value) &&
      ReadText(row[1], &member->address) && ReadNumber(row[2], &member->boot) &&
      ReadNumber(row[3], &member->incarnation) && ReadNumber(row[4], &state) &&
      ReadText(row[5], &member->failure_domain.value);
  if (!shape || member->id.value.empty() ||
      state > static_cast<std::uint64_t>(MemberState::kLeft)) {
    return false;
  }
  member->state = static_cast<MemberState>(state);
  return true;
}

bool ReadBroadcast(const Json& row, Broadcast* item) {
  std::uint64_t topic = 0;
  const bool shape =
      row.is_array() && row.size() == 4 && ReadNumber(row[0], &topic) &&
      ReadText(row[1], &item->key) && ReadNumber(row[2], &item->version) &&
      ReadCborBinary(row[3], &item->bytes);
  if (!shape || topic > UINT32_MAX || item->bytes.size() > kMaxBroadcast) {
    return false;
  }
  item->topic = static_cast<std::uint32_t>(topic);
  return true;
}

template <typename Row, typename Read>
bool ReadRows(const Json& rows, std::vector<Row>* values, const Read& read) {
  if (!rows.is_array()) {
    return false;
  }
  for (const Json& row : rows) {
    Row value{};
    if (!read(row, &value)) {
      return false;
    }
    values->push_back(std::move(value));
  }
  return true;
}

bool ReadMessage(const Json& root, GossipMessage* message) {
  std::uint64_t kind = 0;
  const bool shape = root.is_array() && root.size() == kMembers &&
                     ReadNumber(root[0], &kind) &&
                     ReadNumber(root[1], &message->sequence) &&
                     ReadText(root[2], &message->target.value) &&
                     ReadNumber(root[3], &message->table_digest);
  if (!shape || kind > static_cast<std::uint64_t>(GossipKind::kSyncReply)) {
    return false;
  }
  message->kind = static_cast<GossipKind>(kind);
  return ReadRows(root[4], &message->members, ReadMember) &&
         ReadRows(root[5], &message->broadcasts, ReadBroadcast) &&
         ReadRows(root[6], &message->buckets, ReadNumber) &&
         ReadCborBinary(root[7], &message->payload) &&
         message->payload.size() <= kMaxPayload;
}

}  // namespace

bool Overrides(const Member& a, const Member& b) {
  if (a.incarnation != b.incarnation) {
    return a.incarnation > b.incarnation;
  }
  if (a.state != b.state) {
    return static_cast<int>(a.state) > static_cast<int>(b.state);
  }
  return a.boot > b.boot;
}

std::string EncodeGossip(const GossipMessage& message) {
  Json members = Json::array();
  for (const Member& member : message.members) {
    members.push_back(Json::array({member.id.value, member.address, member.boot,
                                   member.incarnation,
                                   static_cast<std::uint64_t>(member.state),
                                   member.failure_domain.value}));
  }
  Json broadcasts = Json::array();
  for (const Broadcast& item : message.broadcasts) {
    broadcasts.push_back(Json::array(
        {item.topic, item.key, item.version, CborBinary(item.bytes)}));
  }
  return EncodeCbor(
      Json::array({static_cast<std::uint64_t>(message.kind), message.sequence,
                   message.target.value, message.table_digest,
                   std::move(members), std::move(broadcasts),
                   Json(message.buckets), CborBinary(message.payload)}));
}

absl::StatusOr<GossipMessage> DecodeGossip(std::string_view bytes) {
  const auto root = DecodeCbor(bytes, kLimits);
  if (!root.ok()) {
    return root.status();
  }
  GossipMessage message;
  if (!ReadMessage(*root, &message)) {
    return MakeStatus(ErrorCode::kPeerRefused,
                      "membership message is malformed");
  }
  return message;
}

}  // namespace limpetlink
