#include <utility>
#include <vector>

#include "peers/peers.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

/// @brief Parses a message without building it and stops at the first exceeded
/// limit, which also ends the parser's recursion.
class LimitChecker : public nlohmann::json_sax<Json> {
 public:
  explicit LimitChecker(const CborLimits& limits) : limits(limits) {}

  bool null() override { return this->Count(); }
  bool boolean(bool /*value*/) override { return this->Count(); }
  bool number_integer(number_integer_t /*value*/) override {
    return this->Count();
  }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return this->Count();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return this->Count();
  }
  bool string(string_t& /*value*/) override { return this->Count(); }
  bool binary(binary_t& /*value*/) override { return this->Count(); }
  bool start_object(std::size_t elements) override {
    return this->Open(elements);
  }
  bool key(string_t& /*value*/) override { return this->Count(); }
  bool end_object() override { return this->Close(); }
  bool start_array(std::size_t elements) override {
    return this->Open(elements);
  }
  bool end_array() override { return this->Close(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool Count() { return ++this->values <= this->limits.max_values; }

  bool Open(std::size_t elements) {
    ++this->depth;
    const bool unknown_size = elements == static_cast<std::size_t>(-1);
    const bool fits = unknown_size || elements <= this->limits.max_values;
    return fits && this->depth <= this->limits.max_depth && this->Count();
  }

  bool Close() {
    --this->depth;
    return true;
  }

  CborLimits limits;
  std::size_t depth = 0;
  std::size_t values = 0;
};

}  // namespace

absl::StatusOr<Json> DecodeCbor(std::string_view bytes,
                                const CborLimits& limits) {
  if (bytes.size() > limits.max_bytes) {
    return MakeStatus(ErrorCode::kPeerRefused, "message is too large");
  }
  LimitChecker checker(limits);
  const bool accepted = Json::sax_parse(bytes.begin(), bytes.end(), &checker,
                                        Json::input_format_t::cbor);
  if (!accepted) {
    return MakeStatus(ErrorCode::kPeerRefused, "message is malformed");
  }
  Json value = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (value.is_discarded()) {
    return MakeStatus(ErrorCode::kPeerRefused, "message is malformed");
  }
  return value;
}

std::string EncodeCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

Json CborBinary(std::string_view bytes) {
  return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

bool ReadCborBinary(const Json& value, std::string* bytes) {
  if (!value.is_binary()) {
    return false;
  }
  const auto& binary = value.get_binary();
  bytes->assign(binary.begin(), binary.end());
  return true;
}

}  // namespace limpetlink
