#include "dispatch/detail/wire.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace limpetlink {
namespace {

// A message's kind is its index in PeerMessage: append only.
constexpr double kRateScale = 10.0;  // tenths of a request per second
constexpr std::uint64_t kMaxNumber = 1ULL << 53U;

/// Appends the numbers of a message to a CBOR array.
class Writer {
 public:
  explicit Writer(std::size_t kind, std::uint32_t epoch)
      : array(nlohmann::json::array()) {
    this->Put(kind);
    this->Put(epoch);
  }

  void Put(std::uint64_t number) { this->array.push_back(number); }

  void Put(Duration wait) {
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    this->Put(
        static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0)));
  }

  void Put(const PeerDemand& demand) {
    this->Put(demand.target);
    this->Put(demand.route);
    this->Put(demand.organisation);
    this->Put(static_cast<std::uint64_t>(demand.request_class));
    this->Put(demand.prompt_tokens);
    this->Put(demand.max_output_tokens);
  }

  std::string Bytes() const {
    std::string bytes;
    nlohmann::json::to_cbor(this->array, bytes);
    return bytes;
  }

 private:
  nlohmann::json array;
};

/// Reads the numbers of a message; stays failed after the first error.
class Reader {
 public:
  explicit Reader(const nlohmann::json& array) : array(array) {}

  std::uint64_t Next() {
    const bool good = this->position < this->array.size() &&
                      this->array[this->position].is_number_unsigned();
    if (!good) {
      this->failed = true;
      return 0;
    }
    const auto number = this->array[this->position++].get<std::uint64_t>();
    this->failed = this->failed || number > kMaxNumber;
    return number;
  }

  std::uint32_t NextUint32() {
    const std::uint64_t number = this->Next();
    this->failed = this->failed || number > UINT32_MAX;
    return static_cast<std::uint32_t>(number);
  }

  Duration NextDuration() {
    return std::chrono::milliseconds(this->NextUint32());
  }

  PeerDemand NextDemand() {
    PeerDemand demand;
    demand.target = this->NextUint32();
    demand.route = this->NextUint32();
    demand.organisation = this->NextUint32();
    demand.request_class =
        this->Next() == 0 ? RequestClass::kVerdict : RequestClass::kDraft;
    demand.prompt_tokens = this->NextUint32();
    demand.max_output_tokens = this->NextUint32();
    return demand;
  }

  bool HasMore() const {
    return !this->failed && this->position < this->array.size();
  }
  bool IsComplete() const {
    return !this->failed && this->position == this->array.size();
  }

 private:
  const nlohmann::json& array;
  std::size_t position = 0;
  bool failed = false;
};

void Write(Writer& out, const PeerReserve& message) {
  out.Put(message.ticket.value);
  out.Put(message.demand);
  for (const ShortName worker : message.excluded) {
    out.Put(worker);
  }
}

void Write(Writer& out, const PeerGrant& message) {
  out.Put(message.ticket.value);
  out.Put(message.worker);
}

void Write(Writer& out, const PeerQueued& message) {
  out.Put(message.ticket.value);
  out.Put(message.expected_wait);
}

void Write(Writer& out, const PeerDeny& message) {
  out.Put(message.ticket.value);
  out.Put(message.expected_wait);
}

void Write(Writer& out, const PeerRelease& message) {
  out.Put(message.ticket.value);
  out.Put(static_cast<std::uint64_t>(message.end));
  out.Put(message.tokens);
}

// Tickets ascend, so each is encoded as the difference to the previous one.
void Write(Writer& out, const PeerSnapshot& message) {
  std::uint64_t previous = 0;
  for (const PeerProgress& stream : message.streams) {
    out.Put(stream.ticket.value - previous);
    out.Put(stream.tokens);
    previous = stream.ticket.value;
  }
}

void Write(Writer& out, const PeerMissing& message) {
  for (const Ticket ticket : message.tickets) {
    out.Put(ticket.value);
  }
}

void Write(Writer& out, const PeerAnnounce& message) {
  for (const PeerStream& stream : message.streams) {
    out.Put(stream.progress.ticket.value);
    out.Put(stream.progress.tokens);
    out.Put(stream.worker);
    out.Put(stream.demand);
  }
}

void WriteLimits(Writer& out, const std::vector<PeerLimit>& limits) {
  for (const PeerLimit& limit : limits) {
    out.Put(limit.organisation);
    out.Put(static_cast<std::uint64_t>(std::llround(limit.concurrent)));
    out.Put(static_cast<std::uint64_t>(
        std::llround(limit.per_second * kRateScale)));
  }
}

void Write(Writer& out, const PeerLimitRequest& message) {
  WriteLimits(out, message.limits);
}

void Write(Writer& out, const PeerLimitShares& message) {
  WriteLimits(out, message.limits);
}

PeerReserve ReadReserve(Reader& in) {
  PeerReserve message;
  message.ticket.value = in.Next();
  message.demand = in.NextDemand();
  while (in.HasMore()) {
    message.excluded.push_back(in.NextUint32());
  }
  return message;
}

PeerRelease ReadRelease(Reader& in) {
  PeerRelease message;
  message.ticket.value = in.Next();
  const std::uint64_t end = in.Next();
  const auto last = static_cast<std::uint64_t>(PlacementEnd::kLost);
  message.end = static_cast<PlacementEnd>(std::min(end, last));
  message.tokens = in.NextUint32();
  return message;
}

PeerSnapshot ReadSnapshot(Reader& in) {
  PeerSnapshot message;
  std::uint64_t ticket = 0;
  while (in.HasMore()) {
    ticket += in.Next();
    message.streams.push_back({Ticket{ticket}, in.NextUint32()});
  }
  return message;
}

PeerAnnounce ReadAnnounce(Reader& in) {
  PeerAnnounce message;
  while (in.HasMore()) {
    PeerStream stream;
    stream.progress.ticket.value = in.Next();
    stream.progress.tokens = in.NextUint32();
    stream.worker = in.NextUint32();
    stream.demand = in.NextDemand();
    message.streams.push_back(stream);
  }
  return message;
}

std::vector<PeerLimit> ReadLimits(Reader& in) {
  std::vector<PeerLimit> limits;
  while (in.HasMore()) {
    PeerLimit limit;
    limit.organisation = in.NextUint32();
    limit.concurrent = in.NextUint32();
    limit.per_second = in.NextUint32() / kRateScale;
    limits.push_back(limit);
  }
  return limits;
}

PeerMissing ReadMissing(Reader& in) {
  PeerMissing message;
  while (in.HasMore()) {
    message.tickets.push_back(Ticket{in.Next()});
  }
  return message;
}

std::optional<PeerMessage> ReadMessage(Reader& in, std::uint64_t kind) {
  switch (kind) {
    case 0:
      return ReadReserve(in);
    case 1: {
      const Ticket ticket{in.Next()};
      return PeerGrant{ticket, in.NextUint32()};
    }
    case 2: {
      const Ticket ticket{in.Next()};
      return PeerQueued{ticket, in.NextDuration()};
    }
    case 3: {
      const Ticket ticket{in.Next()};
      return PeerDeny{ticket, in.NextDuration()};
    }
    case 4:
      return ReadRelease(in);
    case 5:
      return ReadSnapshot(in);
    case 6:
      return ReadMissing(in);
    case 7:
      return ReadAnnounce(in);
    case 8:
      return PeerLimitRequest{ReadLimits(in)};
    case 9:
      return PeerLimitShares{ReadLimits(in)};
    default:
      return std::nullopt;
  }
}

// The parser throws on an array longer than memory even with exceptions
// disabled.
nlohmann::json ParseArray(std::string_view bytes) {
  try {
    return nlohmann::json::from_cbor(bytes, true, false);
  } catch (const nlohmann::json::exception&) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

}  // namespace

ShortName MakeShortName(std::string_view name) {
  return static_cast<ShortName>(StableHash(name));
}

std::string EncodePeer(const PeerEnvelope& envelope) {
  Writer out(envelope.message.index(), envelope.epoch);
  std::visit([&](const auto& message) { Write(out, message); },
             envelope.message);
  return out.Bytes();
}

std::optional<PeerEnvelope> DecodePeer(std::string_view bytes) {
  const nlohmann::json array = ParseArray(bytes);
  if (!array.is_array()) {
    return std::nullopt;
  }
  Reader in(array);
  const std::uint64_t kind = in.Next();
  PeerEnvelope envelope;
  envelope.epoch = in.NextUint32();
  const auto message = ReadMessage(in, kind);
  if (!message || !in.IsComplete()) {
    return std::nullopt;
  }
  envelope.message = *message;
  return envelope;
}

}  // namespace limpetlink
