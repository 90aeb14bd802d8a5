/// @file
/// @brief Which part of the host an HTTP call belongs to.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/base.h"

namespace limpetlink {

/// @brief Why a call was made; decides who handles its events.
enum class CallPurpose {
  kGeneration,    ///< a generation's frames from an engine
  kService,       ///< a request to an application service
  kPlatform,      ///< the platform's object API
  kWorkerReport,  ///< a worker's load
  kDetached,      ///< the answer does not matter, as of a cancel
};

/// @brief Whose call it is.
struct CallOwner {
  CallPurpose purpose = CallPurpose::kDetached;
  RequestId request;  ///< for kGeneration and kService
  UpstreamId worker;  ///< for calls to upstreams
};

/// @brief Allocates call ids and remembers the owners of open calls.
class CallTable {
 public:
  /// @brief Opens a call. Constant time.
  /// @param owner whose call it is
  /// @return an id never used before by this host
  CallId Open(CallOwner owner) {
    const CallId id{++this->last_id};
    this->owners.emplace(id, std::move(owner));
    return id;
  }

  /// @brief Finds the owner of an open call. Constant time.
  /// @return the owner, or nullptr when the call is closed or was never open
  const CallOwner* Find(CallId id) const {
    const auto it = this->owners.find(id);
    return it == this->owners.end() ? nullptr : &it->second;
  }

  /// @brief Closes a call: later events of it find no owner.
  void Close(CallId id) { this->owners.erase(id); }

 private:
  std::uint64_t last_id = 0;
  std::unordered_map<CallId, CallOwner> owners;
};

}  // namespace limpetlink
