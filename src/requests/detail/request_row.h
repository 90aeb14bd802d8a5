/// @file
/// @brief Description of a request in progress, and its JSON form.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief State of a request in progress.
enum class RequestState {
  kReceived,   ///< admitted to the table, not yet processed
  kWaiting,    ///< waiting for a worker or for a share of a limit
  kRecording,  ///< its intent or outcome is being persisted
  kRunning,    ///< running at an upstream
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
  std::string summary;  ///< method, path and target, for display
  RequestState state = RequestState::kReceived;
  std::string reason;          ///< reason for the state, for display
  std::uint32_t position = 0;  ///< in its queue, from 1; 0: none
  Duration expected_wait{0};
  Instant since;        ///< time of arrival
  Instant state_since;  ///< time of the last change of state
  Instant deadline;
  std::string trace_id;
  bool streaming = false;    ///< its caller receives comments while it waits
  bool caller_left = false;  ///< the work continues without a caller
  bool overdue = false;      ///< reported as expired, no response yet
};

/// @brief Encodes rows as the response body of /v1/requests.
/// @param rows the rows, in output order
/// @param now the time to which ages and remaining times, in seconds, refer
/// @return a JSON object {"requests": [...]}
/// @note Complexity: linear in the rows.
std::string ToRequestsJson(const std::vector<RequestRow>& rows, Instant now);

}  // namespace limpetlink
