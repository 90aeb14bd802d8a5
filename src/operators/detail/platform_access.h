/// @file
/// @brief Blocking access to the platform's object API.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "metadata_store/metadata_store.h"
#include "operators/detail/blocking_http.h"

namespace limpetlink {

/// @brief Clock and sleep, replaceable in tests.
struct WaitHooks {
  std::function<Instant()> now;              ///< monotonic time
  std::function<void(Instant until)> sleep;  ///< returns at or after `until`
};

/// @brief Returns hooks for the process's steady clock and sleep.
WaitHooks SystemWaitHooks();

/// @brief Runs platform operations to completion, one at a time.
/// @note Example:
/// @code
/// PlatformAccess platform("http://127.0.0.1:8500", ExchangeOverCurl,
///                         SystemWaitHooks());
/// const StoreResult fleet = platform.Get({"fleet", "swan-coast"});
/// @endcode
class PlatformAccess {
 public:
  /// @param url "http://ip:port" of the platform
  /// @param exchange executes HTTP calls
  /// @param hooks clock and sleep
  PlatformAccess(const std::string& url, HttpExchange exchange,
                 WaitHooks hooks);

  /// @brief Reads an object.
  StoreResult Get(const ObjectKey& key);

  /// @brief Lists objects of a kind.
  /// @param kind kind of the objects
  /// @param prefix prefix of their names
  /// @param after exclusive lower bound of the names
  /// @param limit maximum number of rows
  StoreResult List(const std::string& kind, const std::string& prefix,
                   const std::string& after, std::uint32_t limit);

  /// @brief Reads the host list.
  StoreResult Hosts();

  /// @brief Applies a change of the fleet document.
  /// @param change the change
  /// @param limit time limit; a result is returned by then
  ApplyResult Apply(const FleetChange& change, Duration limit);

 private:
  using ResultHandler = std::function<void(const StoreResult& result)>;

  void Execute(const HttpCall& call);
  bool RunPendingCalls(const ResultHandler& handler);
  void SleepUntil(Instant until);
  StoreResult RunToCompletion(StoreOp op);

  HttpExchange exchange;
  WaitHooks hooks;
  std::uint64_t last_call = 0;
  MetadataStoreClient client;
};

}  // namespace limpetlink
