/// @file
/// @brief In-memory platform that answers HttpCall under virtual time, for
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

/// @brief What befalls one call.
enum class CallFate {
  kServed,
  kResponseLost,  ///< runs, then the connection breaks
  kNotConnected,  ///< does not run
  kHangs,         ///< runs, and no answer ever comes
  kOutage,        ///< 503, does not run
  kThrottled,     ///< 429, does not run
};

/// @brief Objects with versions, as the platform's text says.
class FakePlatform {
 public:
  struct Object {
    std::uint64_t version = 0;
    std::string bytes;
  };
  struct Response {
    int status = 0;  ///< 0: the call waits (watch)
    std::uint64_t version = 0;
    std::string body;
  };

  /// @brief Runs a call against the objects.
  Response Serve(const HttpCall& call);

  std::map<std::string, Object> objects;  ///< by encoded "kind/name"
  std::string hosts_body = R"({"hosts":[]})";
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;

 private:
  Response ServeWrite(const HttpCall& call, const std::string& key);
  Response ServeList(const std::string& path, const std::string& query) const;
};

/// @brief Writes an answer as the events an adapter would hand to the core.
std::vector<Event> ToEvents(CallId id, const FakePlatform::Response& answer);

}  // namespace limpetlink::testing
