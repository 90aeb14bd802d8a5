#include "streams/detail/engine_frame.h"

#include <nlohmann/json.hpp>

#include "decoding/decoding.h"

namespace limpetlink {
namespace {

absl::Status Malformed(std::string_view detail) {
  return MakeStatus(ErrorCode::kUpstreamMalformed, detail);
}

std::string EventId(const EngineFrame& frame) {
  return frame.generation.value + ":" + std::to_string(frame.offset);
}

absl::Status ReadIdentity(const nlohmann::json& data, EngineFrame& frame) {
  const auto generation = data.find("generation");
  const auto offset = data.find("offset");
  if (generation == data.end() || !generation->is_string() ||
      generation->get_ref<const std::string&>().empty()) {
    return Malformed("frame has no valid generation");
  }
  if (offset == data.end() || !offset->is_number_unsigned()) {
    return Malformed("frame has no valid offset");
  }
  frame.generation = GenerationId{generation->get<std::string>()};
  frame.offset = offset->get<std::uint64_t>();
  return absl::OkStatus();
}

absl::Status ReadContent(const nlohmann::json& data, EngineFrame& frame) {
  const auto text = data.find("text");
  const auto finish = data.find("finish_reason");
  if ((text != data.end()) == (finish != data.end())) {
    return Malformed("frame needs either text or finish_reason");
  }
  if (text != data.end()) {
    if (!text->is_string()) {
      return Malformed("frame text is not a string");
    }
    frame.text = text->get<std::string>();
    return absl::OkStatus();
  }
  if (finish->is_string()) {
    frame.finish =
        ParseEnum<FinishReason>(finish->get_ref<const std::string&>());
  }
  return frame.finish ? absl::OkStatus()
                      : Malformed("frame has an unknown finish_reason");
}

}  // namespace

absl::StatusOr<EngineFrame> ParseEngineFrame(const SseEvent& event) {
  const auto data = DecodeJsonOrDiscard(event.data);
  if (!data.is_object()) {
    return Malformed("frame is not a JSON object");
  }
  EngineFrame frame;
  if (const absl::Status status = ReadIdentity(data, frame); !status.ok()) {
    return status;
  }
  if (const absl::Status status = ReadContent(data, frame); !status.ok()) {
    return status;
  }
  if (!event.id.empty() && event.id != EventId(frame)) {
    return Malformed("frame id does not match its data");
  }
  return frame;
}

SseEvent EncodeEngineFrame(const EngineFrame& frame) {
  nlohmann::json data = {{"generation", frame.generation.value},
                         {"offset", frame.offset}};
  if (frame.finish) {
    data["finish_reason"] = ToText(*frame.finish);
  } else {
    data["text"] = frame.text;
  }
  return {EventId(frame), "",
          data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace limpetlink
