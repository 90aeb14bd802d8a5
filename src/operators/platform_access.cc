#include "operators/detail/platform_access.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

namespace limpetlink {
namespace {

/// An operator's program makes few calls, in bursts.
constexpr CallBudget kOperatorBudget{50.0, 200.0, 10.0, 20.0};

/// Maximum time between two polls of the client.
constexpr std::chrono::milliseconds kMaxPollInterval{100};

MetadataStoreSettings MakeSettings(const std::string& url) {
  MetadataStoreSettings settings;
  settings.url = url;
  settings.budget = kOperatorBudget;
  return settings;
}

}  // namespace

WaitHooks SystemWaitHooks() {
  using Clock = std::chrono::steady_clock;
  const auto now = [] {
    return Instant(
        std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch()));
  };
  const auto sleep = [now](Instant until) {
    std::this_thread::sleep_for(std::max(Duration(0), until - now()));
  };
  return {now, sleep};
}

PlatformAccess::PlatformAccess(const std::string& url, HttpExchange exchange,
                               WaitHooks hooks)
    : exchange(std::move(exchange)),
      hooks(std::move(hooks)),
      client(MakeSettings(url), [this] { return CallId{++this->last_call}; }) {}

StoreResult PlatformAccess::Get(const ObjectKey& key) {
  return this->RunToCompletion(this->client.Get(this->hooks.now(), key));
}

StoreResult PlatformAccess::List(const std::string& kind,
                                 const std::string& prefix,
                                 const std::string& after,
                                 std::uint32_t limit) {
  return this->RunToCompletion(
      this->client.List(this->hooks.now(), kind, prefix, after, limit));
}

StoreResult PlatformAccess::Hosts() {
  return this->RunToCompletion(this->client.Hosts(this->hooks.now()));
}

ApplyResult PlatformAccess::Apply(const FleetChange& change, Duration limit) {
  FleetChangeOperation operation(&this->client, change, limit);
  operation.Start(this->hooks.now());
  while (!operation.Result()) {
    const bool progressed =
        this->RunPendingCalls([&](const StoreResult& result) {
          operation.OnStoreResult(this->hooks.now(), result);
        });
    if (!progressed && !operation.Result()) {
      this->SleepUntil(
          std::min(operation.NextWakeup(), this->client.NextWakeup()));
      operation.Tick(this->hooks.now());
    }
  }
  return *operation.Result();
}

void PlatformAccess::Execute(const HttpCall& call) {
  const HttpResponse response = this->exchange(call);
  const Instant now = this->hooks.now();
  if (response.status != 0) {
    this->client.OnHead(now, {call.id, response.status, response.headers});
  }
  if (!response.body.empty()) {
    this->client.OnChunk(now, {call.id, response.body});
  }
  this->client.OnDone(now, {call.id, response.end});
}

/// Executes the client's pending calls and passes its results to the handler.
/// @return whether there were any calls or results
bool PlatformAccess::RunPendingCalls(const ResultHandler& handler) {
  const Actions actions = this->client.TakeActions();
  for (const Action& action : actions) {
    if (const auto* call = std::get_if<HttpCall>(&action)) {
      this->Execute(*call);
    }
  }
  const std::vector<StoreResult> results = this->client.TakeResults();
  for (const StoreResult& result : results) {
    handler(result);
  }
  return !actions.empty() || !results.empty();
}

void PlatformAccess::SleepUntil(Instant until) {
  const Instant latest = this->hooks.now() + kMaxPollInterval;
  this->hooks.sleep(std::min(until, latest));
  this->client.Tick(this->hooks.now());
}

StoreResult PlatformAccess::RunToCompletion(StoreOp op) {
  std::optional<StoreResult> completed;
  while (!completed) {
    const bool progressed =
        this->RunPendingCalls([&](const StoreResult& result) {
          if (result.op == op) {
            completed = result;
          }
        });
    if (!progressed) {
      this->SleepUntil(this->client.NextWakeup());
    }
  }
  return *completed;
}

}  // namespace limpetlink
