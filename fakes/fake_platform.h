/// @file
/// @brief Stand-in for the platform: object API with versions, host list,
/// weight store, faults.
#pragma once

#include <list>
#include <map>
#include <string>

#include "fakes/fake_host.h"

namespace limpetlink {

/// @brief What the platform does wrong now.
struct PlatformFaults {
  std::string outage = "none";  ///< "none", "refuse" (503) or "hang"
  std::uint64_t delay_ms = 0;   ///< before each answer
  std::uint64_t lose_answers =
      0;  ///< of the next writes: applied, then the connection is cut
  std::uint64_t lose_requests = 0;  ///< of the next writes: cut without effect
  std::uint64_t calls_per_second = 0;    ///< above it 429; 0: no limit
  std::uint64_t weights_per_second = 4;  ///< above it 429
};

/// @brief Serves the platform's protocol (docs/fakes.md).
class FakePlatform {
 public:
  /// @param host carries requests and answers; outlives the platform
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
  struct Window {
    Instant start{};
    std::uint64_t calls = 0;
  };

  void Handle(const CallerRequest& request);
  void Control(const CallerRequest& request);
  void SetFaults(const OrderedJson& wanted);
  void Serve(const CallerRequest& request);
  void ServeObject(const CallerRequest& request, const std::string& kind,
                   const std::string& name);
  void Get(const CallerRequest& request, const std::string& key);
  void Put(const CallerRequest& request, const std::string& key);
  void Delete(const CallerRequest& request, const std::string& key);
  void List(const CallerRequest& request, const std::string& kind);
  void WatchObject(const CallerRequest& request, const std::string& key,
                   std::uint64_t version);
  void EndWatch(RequestId id);
  void TellWatches(const std::string& key);
  bool ConditionFails(const CallerRequest& request, const Object* object);
  bool LoseAnswer(const CallerRequest& request);
  bool OverLimit(Window* window, std::uint64_t limit) const;
  void ReplyLimited(RequestId id);

  FakeHost* host;
  PlatformFaults faults;
  std::map<std::string, Object> objects;  ///< by "kind/name"
  std::map<std::string, std::uint64_t>
      last_versions;  ///< also of deleted objects
  std::list<Watch> watches;
  std::map<std::string, std::uint64_t> counts;
  Window calls_window;
  Window weights_window;
  OrderedJson hosts = OrderedJson::array();
};

}  // namespace limpetlink
