#include "programs/limpet_entry/adapter_metrics.h"

#include <string_view>

#include "absl/strings/str_cat.h"

namespace limpetlink {
namespace {

void AddMetric(std::string* text, absl::string_view name,
               absl::string_view kind, absl::string_view help, double value) {
  absl::StrAppend(text, "# HELP ", name, " ", help, "\n# TYPE ", name, " ",
                  kind, "\n", name, " ", value, "\n");
}

void AddCounter(std::string* text, absl::string_view name,
                absl::string_view help, std::uint64_t value) {
  AddMetric(text, name, "counter", help, static_cast<double>(value));
}

void AddGauge(std::string* text, absl::string_view name, absl::string_view help,
              std::uint64_t value) {
  AddMetric(text, name, "gauge", help, static_cast<double>(value));
}

void AddServer(std::string* text, const HttpServerCounts& counts) {
  AddCounter(text, "limpet_callers_requests_total",
             "Requests read from callers.", counts.requests);
  AddGauge(text, "limpet_callers_open", "Requests without their final answer.",
           counts.open);
  AddCounter(text, "limpet_callers_gone_total",
             "Callers that left before their final answer.",
             counts.disconnected);
  AddCounter(text, "limpet_callers_too_large_total", "Bodies over the bound.",
             counts.too_large);
  AddCounter(text, "limpet_callers_overflowed_total",
             "Callers cut since they did not read.", counts.overflowed);
}

void AddClient(std::string* text, const HttpClientCounts& counts) {
  AddCounter(text, "limpet_calls_total", "HTTP calls made.", counts.calls);
  AddGauge(text, "limpet_calls_open", "HTTP calls in progress.", counts.open);
  AddCounter(text, "limpet_calls_not_connected_total",
             "HTTP calls that sent nothing.", counts.not_connected);
  AddCounter(text, "limpet_calls_cut_total", "HTTP calls cut after a send.",
             counts.cut);
  AddCounter(text, "limpet_calls_timeout_total",
             "HTTP calls that reached their time limit.", counts.timeout);
  AddCounter(text, "limpet_calls_repeats_refused_total",
             "Second sends that were stopped.", counts.resends_blocked);
}

void AddLinks(std::string* text, const PeerLinksCounts& counts) {
  AddGauge(text, "limpet_peer_links_open", "Authenticated links to peers.",
           counts.open);
  AddCounter(text, "limpet_peer_sent_bytes_total",
             "Bytes of frames sent to peers.", counts.bytes_sent);
  AddCounter(text, "limpet_peer_received_bytes_total",
             "Bytes of frames from peers.", counts.bytes_received);
  AddCounter(text, "limpet_peer_frames_dropped_total",
             "Frames to peers that were dropped.", counts.frames_dropped);
  AddCounter(text, "limpet_peer_strangers_refused_total",
             "Links without the shared secret.",
             counts.unauthenticated_rejected);
  AddCounter(text, "limpet_peer_malformed_refused_total",
             "Frames that were none.", counts.malformed_rejected);
}

}  // namespace

std::string RenderAdapterMetrics(const AdapterCounts& counts) {
  std::string text;
  AddServer(&text, counts.server);
  AddClient(&text, counts.client);
  AddLinks(&text, counts.links);
  AddCounter(&text, "limpet_core_events_total", "Events taken by the core.",
             counts.loop.events);
  AddGauge(&text, "limpet_core_longest_queue", "Most events taken at once.",
           counts.loop.longest_queue);
  AddMetric(&text, "limpet_core_busy_seconds_total", "counter",
            "Time spent in the core.", ToSeconds(counts.loop.busy));
  return text;
}

void MetricsRequests::Add(const CallerRequest& request) {
  if (request.path == "/metrics") {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->ids.insert(request.id);
  }
}

bool MetricsRequests::Remove(RequestId id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ids.erase(id) > 0;
}

}  // namespace limpetlink
