#include "entry/detail/host_context.h"

#include <utility>

namespace limpetlink {
namespace {

DispatcherSettings DispatcherSettingsOf(const EntryHostSettings& settings) {
  DispatcherSettings dispatcher;
  dispatcher.self = settings.self;
  dispatcher.failure_domain = settings.failure_domain;
  dispatcher.seed = settings.seed;
  return dispatcher;
}

}  // namespace

HostContext::HostContext(EntryHostSettings host_settings)
    : settings(std::move(host_settings)),
      random(settings.seed),
      dispatcher(DispatcherSettingsOf(settings)) {}

void HostContext::Dispatch(const DispatchMessage& message) {
  for (DispatchAction& decision : this->dispatcher.Step(this->now, message)) {
    this->decisions.push_back(std::move(decision));
  }
}

CallId HostContext::StartHttp(CallOwner owner, HttpCall call) {
  call.id = this->calls.Open(std::move(owner));
  const CallId id = call.id;
  this->actions.emplace_back(std::move(call));
  return id;
}

void HostContext::CancelHttp(CallId id) {
  if (this->calls.Find(id) != nullptr) {
    this->calls.Close(id);
    this->actions.emplace_back(HttpCancel{id});
  }
}

void HostContext::Log(LogLevel level, std::string message,
                      const TraceContext& trace, std::vector<LogField> fields) {
  fields.push_back({"trace_id", trace.trace_id});
  fields.push_back({"span_id", trace.span_id});
  this->actions.emplace_back(
      LogLine{level, std::move(message), std::move(fields)});
}

void HostContext::FinishSpan(const TraceContext& trace, std::string name,
                             Instant start, std::vector<LogField> attributes) {
  this->actions.emplace_back(
      SpanRecord{trace.trace_id, trace.span_id, trace.parent_span_id,
                 std::move(name), start, this->now, std::move(attributes)});
}

bool HostContext::RecentlyPaused() const {
  constexpr Duration kRecentPauseWindow = std::chrono::seconds(10);
  return this->pause_detected_at != Instant::min() &&
         this->now - this->pause_detected_at < kRecentPauseWindow;
}

const Upstream* HostContext::FindUpstream(const UpstreamId& id) const {
  if (this->document == nullptr) {
    return nullptr;
  }
  for (const Upstream& upstream : this->document->upstreams) {
    if (upstream.id == id) {
      return &upstream;
    }
  }
  return nullptr;
}

}  // namespace limpetlink
