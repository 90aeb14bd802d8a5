/// @file
/// @brief Fake of the platform: versioned object API, host list, weight store
/// and fault injection.
#pragma once

#include <list>
#include <map>
#include <string>

#include "fakes/fake_host.h"

namespace limpetlink {

/// @brief Faults injected into the platform.
struct PlatformFaults {
  std::string outage = "none";  ///< "none", "refuse" (503) or "hang"
  std::uint64_t delay_ms = 0;   ///< delay before each request is handled
  /// Number of writes to apply without a response.
  std::uint64_t lose_responses = 0;
  std::uint64_t lose_requests = 0;       ///< number of writes to drop
  std::uint64_t calls_per_second = 0;    ///< 429 above this rate; 0: no limit
  std::uint64_t weights_per_second = 4;  ///< 429 above this rate; 0: no limit
};

/// @brief Implements the platform protocol described in docs/fakes.md.
class FakePlatform {
 public:
  /// @param host HTTP host, which must outlive the platform
  explicit FakePlatform(FakeHost* host);

 private:
  struct Object {
    std::string value;
    std::uint64_t version = 0;
  };
  struct Watch {
    RequestId request;
    std::string key;
    std::uint64_t version = 0;
  };
  struct RateWindow {
    Instant start{};
    std::uint64_t calls = 0;
  };

  void Handle(const CallerRequest& request);
  void Control(const CallerRequest& request);
  void SetFaults(const OrderedJson& update);
  void Serve(const CallerRequest& request);
  void ServeObject(const CallerRequest& request, const std::string& kind,
                   const std::string& name);
  void Get(const CallerRequest& request, const std::string& key);
  void Put(const CallerRequest& request, const std::string& key);
  void Delete(const CallerRequest& request, const std::string& key);
  void List(const CallerRequest& request, const std::string& kind);
  void WatchObject(const CallerRequest& request, const std::string& key,
                   std::uint64_t version);
  void TimeOutWatch(RequestId id);
  void NotifyWatches(const std::string& key);
  bool ConditionFails(const CallerRequest& request, const Object* object);
  bool DropResponse(const CallerRequest& request);
  bool ExceedsRate(RateWindow* window, std::uint64_t limit) const;
  void ReplyRateLimited(RequestId id);

  FakeHost* host;
  PlatformFaults faults;
  std::map<std::string, Object> objects;  ///< by "kind/name"
  /// Includes deleted objects.
  std::map<std::string, std::uint64_t> last_versions;
  std::list<Watch> watches;
  std::map<std::string, std::uint64_t> counts;
  RateWindow calls_window;
  RateWindow weights_window;
  OrderedJson hosts = OrderedJson::array();
};

}  // namespace limpetlink
