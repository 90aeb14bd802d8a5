/// @file
/// @brief Maps open HTTP calls to the component that handles their events.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/base.h"

namespace limpetlink {

/// @brief Purpose of an HTTP call; selects the handler of its events.
enum class CallPurpose {
  kGeneration,    ///< stream of a generation from an engine
  kService,       ///< request to an application service
  kPlatform,      ///< request to the platform's object API
  kWorkerReport,  ///< poll of a worker's load report
  kDetached,      ///< response is ignored, e.g. a cancellation
};

/// @brief Component, request and upstream that a call belongs to.
struct CallOwner {
  CallPurpose purpose = CallPurpose::kDetached;
  RequestId request;  ///< for kGeneration and kService
  UpstreamId worker;  ///< for calls to upstreams
};

/// @brief Allocates call ids and stores the owners of open calls.
class CallTable {
 public:
  /// @brief Registers an open call. Constant time.
  /// @param owner component that handles the events of the call
  /// @return an id that this host has not used before
  CallId Open(CallOwner owner) {
    const CallId id{++this->last_id};
    this->owners.emplace(id, std::move(owner));
    return id;
  }

  /// @brief Finds the owner of an open call. Constant time.
  /// @return the owner, or nullptr if the call is closed or was never open
  const CallOwner* Find(CallId id) const {
    const auto it = this->owners.find(id);
    return it == this->owners.end() ? nullptr : &it->second;
  }

  /// @brief Closes a call; Find() returns nullptr for its later events.
  void Close(CallId id) { this->owners.erase(id); }

 private:
  std::uint64_t last_id = 0;
  std::unordered_map<CallId, CallOwner> owners;
};

}  // namespace limpetlink
