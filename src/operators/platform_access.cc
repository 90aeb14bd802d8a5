#include "operators/detail/platform_access.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

namespace limpetlink {
namespace {

/// An operator's program asks rarely and in bursts.
constexpr CallBudget kOperatorBudget{50.0, 200.0, 10.0, 20.0};

/// Longest pause between two looks at the client.
constexpr std::chrono::milliseconds kLongestPause{100};

MetadataStoreSettings SettingsFor(const std::string& url) {
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
      client(SettingsFor(url), [this] { return CallId{++this->last_call}; }) {}

StoreResult PlatformAccess::Get(const ObjectKey& key) {
  return this->RunToEnd(this->client.Get(this->hooks.now(), key));
}

StoreResult PlatformAccess::List(const std::string& kind,
                                 const std::string& prefix,
                                 const std::string& after,
                                 std::uint32_t limit) {
  return this->RunToEnd(
      this->client.List(this->hooks.now(), kind, prefix, after, limit));
}

StoreResult PlatformAccess::Hosts() {
  return this->RunToEnd(this->client.Hosts(this->hooks.now()));
}

ApplyResult PlatformAccess::Apply(const FleetChange& change, Duration limit) {
  ApplyFleet apply(&this->client, change, limit);
  apply.Start(this->hooks.now());
  while (!apply.Result()) {
    const bool moved = this->Advance([&](const StoreResult& result) {
      apply.OnPlatform(this->hooks.now(), result);
    });
    if (!moved && !apply.Result()) {
      this->SleepUntil(std::min(apply.NextWakeup(), this->client.NextWakeup()));
      apply.Tick(this->hooks.now());
    }
  }
  return *apply.Result();
}

void PlatformAccess::Carry(const HttpCall& call) {
  const HttpResponse answer = this->exchange(call);
  const Instant now = this->hooks.now();
  if (answer.status != 0) {
    this->client.OnHead(now, {call.id, answer.status, answer.headers});
  }
  if (!answer.body.empty()) {
    this->client.OnChunk(now, {call.id, answer.body});
  }
  this->client.OnDone(now, {call.id, answer.end});
}

/// Carries out what the client ordered and hands over its results.
/// @return whether anything happened
bool PlatformAccess::Advance(const TakeResult& take) {
  const Actions actions = this->client.TakeActions();
  for (const Action& action : actions) {
    if (const auto* call = std::get_if<HttpCall>(&action)) {
      this->Carry(*call);
    }
  }
  const std::vector<StoreResult> results = this->client.TakeResults();
  for (const StoreResult& result : results) {
    take(result);
  }
  return !actions.empty() || !results.empty();
}

void PlatformAccess::SleepUntil(Instant until) {
  const Instant soon = this->hooks.now() + kLongestPause;
  this->hooks.sleep(std::min(until, soon));
  this->client.Tick(this->hooks.now());
}

StoreResult PlatformAccess::RunToEnd(StoreOp op) {
  std::optional<StoreResult> ended;
  while (!ended) {
    const bool moved = this->Advance([&](const StoreResult& result) {
      if (result.op == op) {
        ended = result;
      }
    });
    if (!moved) {
      this->SleepUntil(this->client.NextWakeup());
    }
  }
  return *ended;
}

}  // namespace limpetlink
