#include "event_loop/event_loop.h"

#include <time.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <deque>

#include "event_loop/detail/call_client.h"
#include "event_loop/detail/caller_server.h"
#include "event_loop/detail/datagrams.h"

namespace limpetlink {
namespace {

namespace asio = boost::asio;

// Interval of the checks for idle connections and slow request heads.
constexpr Duration kSweepInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxSleep = std::chrono::seconds(60);
// Interval of the checks whether the last replies of a drained core have been
// written.
constexpr Duration kIdleCheck = std::chrono::milliseconds(5);
// Headers that a host adds to a request which another host relays.
constexpr std::uint64_t kRelayHeaderBytes = 4U << 10U;
// Longer than the time for which a host keeps idle connections.
constexpr Duration kRelayIdleTimeout = std::chrono::seconds(15);

}  // namespace

Instant BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

class EventLoop::Impl {
 public:
  Impl(EventLoopSettings settings, CoreHooks core, EventLoopHooks hooks)
      : settings(std::move(settings)),
        core(std::move(core)),
        hooks(std::move(hooks)),
        callers(&this->context, RequestSource::kCaller, this->ServerHooks()),
        operators(&this->context, RequestSource::kOperator,
                  this->ServerHooks()),
        relays(&this->context, RequestSource::kHost, this->RelayHooks()),
        client(&this->context,
               [this](Event event) { this->Post(std::move(event)); }),
        datagrams(&this->context,
                  [this](Event event) { this->Post(std::move(event)); }),
        wakeup(this->context),
        sweep(this->context),
        reload(this->context),
        signals(this->context, SIGTERM, SIGINT, SIGHUP) {}

  absl::Status Start() {
    std::signal(SIGPIPE, SIG_IGN);
    absl::Status status = this->callers.Listen(this->settings.callers);
    if (status.ok()) {
      status = this->operators.Listen(this->settings.operators);
    }
    if (status.ok() && !this->settings.relays.empty()) {
      status = this->relays.Listen(this->settings.relays);
    }
    if (status.ok() && !this->settings.neighbours.empty()) {
      status = this->datagrams.Bind(this->settings.neighbours);
    }
    return status;
  }

  bool Run() {
    this->WaitForSignal();
    this->WaitForSweep();
    this->WaitForReload();
    this->Execute(this->core.start(BootNow()));
    this->RunCore();
    this->context.run();
    return !this->stopped_early;
  }

  void RequestDrain() {
    asio::post(this->context, [this] { this->Drain(); });
  }

  std::uint16_t CallersPort() const { return this->callers.Port(); }
  std::uint16_t OperatorsPort() const { return this->operators.Port(); }
  std::uint16_t RelaysPort() const { return this->relays.Port(); }

 private:
  event_loop::CallerServerHooks ServerHooks() {
    return {[this](Event event) { this->Post(std::move(event)); },
            this->hooks.http_limits,
            [this] { return RequestId{++this->last_request}; },
            &this->request_memory,
            [this](int status, const char* reason) {
              this->hooks.log(LogLine{LogLevel::kWarning,
                                      "request rejected",
                                      {{"status", std::to_string(status)},
                                       {"reason", reason}}},
                              BootNow());
            }};
  }

  /// @brief Requests of other hosts have the headers of the caller's and some
  /// more, and their connections stay open between requests.
  event_loop::CallerServerHooks RelayHooks() {
    event_loop::CallerServerHooks relay_hooks = this->ServerHooks();
    relay_hooks.http_limits = [this] {
      HttpLimits limits = this->hooks.http_limits();
      limits.header_bytes += kRelayHeaderBytes;
      limits.idle_timeout = kRelayIdleTimeout;
      return limits;
    };
    return relay_hooks;
  }

  /// @brief Queues an event; the first event of a batch schedules the core.
  void Post(Event event) {
    this->queue.push_back(std::move(event));
    if (!this->scheduled) {
      this->scheduled = true;
      asio::post(this->context, [this] { this->RunCore(); });
    }
  }

  /// @brief Runs the core until no event is queued, flushing its replies, then
  /// sets the timer for its next wakeup.
  void RunCore() {
    this->scheduled = true;  // events queued meanwhile are handled below
    do {
      while (!this->queue.empty()) {
        const Event event = std::move(this->queue.front());
        this->queue.pop_front();
        this->Execute(this->core.step(BootNow(), event));
      }
      if (this->core.next_wakeup() <= BootNow()) {
        this->Execute(this->core.tick(BootNow()));
      }
      this->callers.Flush();
      this->operators.Flush();
      this->relays.Flush();
    } while (!this->queue.empty());
    this->scheduled = false;
    this->StopIfDrained();
    this->ScheduleWakeup();
  }

  void ScheduleWakeup() {
    const Instant now = BootNow();
    Instant due = this->core.next_wakeup();
    if (this->draining) {
      due = std::min(
          due, now + (this->core.drained() ? kIdleCheck : kSweepInterval));
    }
    due = std::min(due, now + kMaxSleep);
    if (due == this->wakeup_at) {
      return;
    }
    this->wakeup_at = due;
    this->wakeup.expires_after(
        std::max(std::chrono::microseconds(0), due - now));
    this->wakeup.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        this->wakeup_at = Instant{};
        this->RunCore();
      }
    });
  }

  void StopIfDrained() {
    if (!this->draining) {
      return;
    }
    if (this->accepting && !this->hooks.accepts_callers()) {
      this->accepting = false;
      this->callers.StopAccepting();
      this->relays.StopAccepting();
    }
    if (this->core.drained() && this->callers.Idle() && this->relays.Idle()) {
      this->context.stop();
    }
  }

  void Drain() {
    if (!this->draining) {
      this->draining = true;
      this->Execute(this->core.drain(BootNow()));
      this->RunCore();
    }
  }

  void Execute(Actions actions) {
    for (Action& action : actions) {
      std::visit(
          [this](auto&& single) {
            this->ExecuteOne(std::forward<decltype(single)>(single));
          },
          std::move(action));
    }
  }

  void ExecuteOne(const ReplyHead& head) {
    this->callers.Execute(head) || this->operators.Execute(head) ||
        this->relays.Execute(head);
  }
  void ExecuteOne(ReplyBody body) {
    this->callers.Execute(&body) || this->operators.Execute(&body) ||
        this->relays.Execute(&body);
  }
  void ExecuteOne(const ReplyEnd& end) {
    this->callers.Execute(end) || this->operators.Execute(end) ||
        this->relays.Execute(end);
  }
  void ExecuteOne(HttpCall call) { this->client.Execute(std::move(call)); }
  void ExecuteOne(const HttpCancel& cancel) { this->client.Execute(cancel); }
  void ExecuteOne(const HttpPause& pause) { this->client.Execute(pause); }
  void ExecuteOne(const HttpPreconnect& open) { this->client.Execute(open); }
  void ExecuteOne(const PeerSend& send) { this->datagrams.Send(send); }
  void ExecuteOne(const LogLine& line) { this->hooks.log(line, BootNow()); }
  void ExecuteOne(const SpanRecord& span) { this->hooks.span(span); }

  void WaitForSignal() {
    this->signals.async_wait(
        [this](const boost::system::error_code& error, int number) {
          if (error) {
            return;
          }
          if (number == SIGHUP) {
            this->hooks.reload();
          } else if (this->draining && number == SIGTERM) {
            // The requests in progress keep their grace period.
            this->hooks.log(LogLine{LogLevel::kInfo,
                                    "signal ignored",
                                    {{"reason", "already shutting down"}}},
                            BootNow());
          } else if (this->draining) {
            this->stopped_early = true;
            this->context.stop();
          } else {
            this->Drain();
          }
          this->WaitForSignal();
        });
  }

  void WaitForSweep() {
    this->sweep.expires_after(kSweepInterval);
    this->sweep.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      const Instant now = BootNow();
      this->callers.Sweep(now);
      this->operators.Sweep(now);
      this->relays.Sweep(now);
      this->client.Sweep(now);
      this->WaitForSweep();
    });
  }

  void WaitForReload() {
    this->reload.expires_after(kReloadInterval);
    this->reload.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        this->hooks.reload();
        this->WaitForReload();
      }
    });
  }

  EventLoopSettings settings;
  CoreHooks core;
  EventLoopHooks hooks;
  asio::io_context context{1};
  std::uint64_t last_request = 0;
  event_loop::RequestMemory request_memory{this->settings.max_request_bytes, 0};
  std::deque<Event> queue;
  event_loop::CallerServer callers;
  event_loop::CallerServer operators;
  event_loop::CallerServer relays;
  event_loop::CallClient client;
  event_loop::Datagrams datagrams;
  asio::steady_timer wakeup;
  asio::steady_timer sweep;
  asio::steady_timer reload;
  asio::signal_set signals;
  Instant wakeup_at{};
  bool scheduled = false;
  bool draining = false;
  bool accepting = true;
  bool stopped_early = false;
};

EventLoop::EventLoop(EventLoopSettings settings, CoreHooks core,
                     EventLoopHooks hooks)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(core),
                                  std::move(hooks))) {}
EventLoop::~EventLoop() = default;
absl::Status EventLoop::Start() { return this->impl->Start(); }
bool EventLoop::Run() { return this->impl->Run(); }
void EventLoop::RequestDrain() { this->impl->RequestDrain(); }
std::uint16_t EventLoop::CallersPort() const {
  return this->impl->CallersPort();
}
std::uint16_t EventLoop::OperatorsPort() const {
  return this->impl->OperatorsPort();
}

std::uint16_t EventLoop::RelaysPort() const { return this->impl->RelaysPort(); }

}  // namespace limpetlink
