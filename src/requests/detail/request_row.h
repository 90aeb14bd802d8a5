/// @file
/// @brief What is known of a request in progress.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Where a request stands.
enum class RequestState {
  kReceived,   ///< taken in, nothing decided yet
  kWaiting,    ///< waits for a worker or a share
  kRecording,  ///< its intent or outcome is being made durable
  kRunning,    ///< at an upstream
};

template <>
struct EnumTable<RequestState> {
  static constexpr EnumName<RequestState> kRows[] = {
      {RequestState::kReceived, "received"},
      {RequestState::kWaiting, "waiting"},
      {RequestState::kRecording, "recording"},
      {RequestState::kRunning, "running"}};
};

/// @brief One request in progress.
struct RequestRow {
  RequestId id;
  OrganisationId organisation;
  std::string summary;  ///< method, path and target, for a person
  RequestState state = RequestState::kReceived;
  std::string reason;          ///< why it stands there, for a person
  std::uint32_t position = 0;  ///< in its queue, 1 is next; 0: none
  Duration expected_wait{0};
  Instant since;        ///< when it was received
  Instant state_since;  ///< when it came into its state
  Instant deadline;
  std::string trace_id;
  bool streaming = false;    ///< its caller takes comments while it waits
  bool caller_left = false;  ///< works on without a caller
  bool overdue = false;      ///< told as expired, not answered yet
};

/// @brief Renders rows as the body of /v1/requests.
/// @param rows in the order wanted
/// @param now ages and remaining times are given relative to it, in seconds
/// @return a JSON object {"requests": [...]}
/// @note Complexity: linear.
std::string ToRequestsJson(const std::vector<RequestRow>& rows, Instant now);

}  // namespace limpetlink
