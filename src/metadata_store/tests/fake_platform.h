/// @file
/// @brief In-memory platform that serves HttpCall under virtual time, for
/// tests and benchmarks.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ports/ports.h"

namespace limpetlink::testing {

/// @brief Simulated outcome of one call.
enum class CallOutcome {
  kServed,
  kResponseLost,  ///< runs, then the connection is lost
  kNotConnected,  ///< does not run
  kHangs,         ///< runs, and no response ever arrives
  kOutage,        ///< 503, does not run
  kThrottled,     ///< 429, does not run
};

/// @brief Versioned objects with the semantics of the platform's object API.
class FakePlatform {
 public:
  struct Object {
    std::uint64_t version = 0;
    std::string bytes;
  };
  struct Response {
    int status = 0;  ///< 0: the call is held open (watch)
    std::uint64_t version = 0;
    std::string body;
  };

  /// @brief Executes a call against the objects.
  Response Serve(const HttpCall& call);

  std::map<std::string, Object> objects;  ///< keyed by encoded "kind/name"
  std::string hosts_body = R"({"hosts":[]})";
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;

 private:
  Response ServeWrite(const HttpCall& call, const std::string& key);
  Response ServeList(const std::string& path, const std::string& query) const;
};

/// @brief Converts a response to the events that an adapter would deliver.
std::vector<Event> ToEvents(CallId id, const FakePlatform::Response& response);

}  // namespace limpetlink::testing
