/// @file
/// @brief The platform client driven by blocking calls.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "metadata_store/metadata_store.h"
#include "operators/detail/blocking_http.h"

namespace limpetlink {

/// @brief Time and waiting, so that tests need neither.
struct WaitHooks {
  std::function<Instant()> now;              ///< monotonic time
  std::function<void(Instant until)> sleep;  ///< returns at or after `until`
};

/// @brief The process's steady clock and sleep.
WaitHooks SystemWaitHooks();

/// @brief Runs platform operations to their end, one after another.
/// @note Example:
/// @code
/// PlatformAccess platform("http://127.0.0.1:8500", ExchangeOverCurl,
///                         SystemWaitHooks());
/// const StoreResult fleet = platform.Get({"fleet", "swan-coast"});
/// @endcode
class PlatformAccess {
 public:
  /// @param url "http://ip:port" of the platform
  /// @param exchange carries HTTP calls out
  /// @param hooks time and waiting
  PlatformAccess(const std::string& url, HttpExchange exchange,
                 WaitHooks hooks);

  /// @brief Reads an object.
  StoreResult Get(const ObjectKey& key);

  /// @brief Lists objects of a kind.
  /// @param after only names above this one
  StoreResult List(const std::string& kind, const std::string& prefix,
                   const std::string& after, std::uint32_t limit);

  /// @brief Reads the host list.
  StoreResult Hosts();

  /// @brief Applies a change of the fleet document.
  /// @param change what is wanted
  /// @param limit an answer is given by then
  ApplyResult Apply(const FleetChange& change, Duration limit);

 private:
  using TakeResult = std::function<void(const StoreResult& result)>;

  void Carry(const HttpCall& call);
  bool Advance(const TakeResult& take);
  void SleepUntil(Instant until);
  StoreResult RunToEnd(StoreOp op);

  HttpExchange exchange;
  WaitHooks hooks;
  std::uint64_t last_call = 0;
  MetadataStoreClient client;
};

}  // namespace limpetlink
