#include "entry/detail/host_metrics.h"

#include "absl/strings/str_cat.h"

namespace limpetlink {
namespace {

constexpr int kBuckets = 24;
constexpr double kShortestSeconds = 0.0005;
constexpr double kLongestSeconds = 1000.0;

struct MetricText {
  absl::string_view name;
  absl::string_view help;
};

constexpr std::array<MetricText, static_cast<std::size_t>(Counter::kCount)>
    kCounterTexts = {{
        {"limpet_requests_total", "Requests received from callers."},
        {"limpet_refusals_total", "Requests answered with a problem."},
        {"limpet_tokens_delivered_total", "Tokens written to callers."},
        {"limpet_streams_resumed_total", "Generations resumed at an offset."},
        {"limpet_streams_restarted_total",
         "Streams restarted with a new generation."},
        {"limpet_streams_lost_total",
         "Streams ended before their generation was whole."},
        {"limpet_frames_dropped_total",
         "Engine frames of a wrong generation or offset."},
        {"limpet_retries_total",
         "Requests sent to another worker after a failure."},
        {"limpet_replays_total",
         "Keyed requests answered from the idempotency log."},
        {"limpet_deadlines_reached_total",
         "Requests given up at their deadline."},
        {"limpet_answers_suppressed_total",
         "Second final answers that were not sent."},
        {"limpet_malformed_input_total",
         "Inputs from outside that could not be read."},
        {"limpet_peer_frames_refused_total",
         "Frames of peers that could not be read."},
        {"limpet_documents_adopted_total",
         "Fleet documents that came into force."},
        {"limpet_worker_crashes_total", "Workers that ended during a request."},
        {"limpet_quarantine_refusals_total",
         "Requests refused for a quarantined input."},
        {"limpet_relayed_requests_total",
         "Requests sent to their worker through another host."},
    }};

constexpr std::array<MetricText, static_cast<std::size_t>(Timing::kCount)>
    kTimingTexts = {{
        {"limpet_first_token_seconds",
         "Time from a request's arrival to its first token."},
        {"limpet_between_tokens_seconds",
         "Time between two tokens of a stream."},
        {"limpet_queue_wait_seconds",
         "Time from a request's arrival to its placement."},
        {"limpet_request_seconds",
         "Time from a request's arrival to its final answer."},
    }};

}  // namespace

HostMetrics::HostMetrics() {
  for (Histogram& histogram : this->timings) {
    histogram = boost::histogram::make_histogram(
        Axis(kBuckets, kShortestSeconds, kLongestSeconds));
  }
}

void HostMetrics::Add(Counter counter, std::uint64_t amount) {
  this->counters[static_cast<std::size_t>(counter)] += amount;
}

std::uint64_t HostMetrics::Value(Counter counter) const {
  return this->counters[static_cast<std::size_t>(counter)];
}

void HostMetrics::Record(Timing timing, Duration value) {
  const auto index = static_cast<std::size_t>(timing);
  const double seconds = ToSeconds(value);
  this->timings[index](seconds);
  this->sums[index] += seconds;
}

std::string HostMetrics::Render() const {
  std::string text;
  for (std::size_t i = 0; i < this->counters.size(); ++i) {
    const MetricText& names = kCounterTexts[i];
    absl::StrAppend(&text, "# HELP ", names.name, " ", names.help, "\n# TYPE ",
                    names.name, " counter\n", names.name, " ",
                    this->counters[i], "\n");
  }
  for (std::size_t i = 0; i < this->timings.size(); ++i) {
    const MetricText& names = kTimingTexts[i];
    absl::StrAppend(&text, "# HELP ", names.name, " ", names.help, "\n# TYPE ",
                    names.name, " histogram\n");
    double total = this->timings[i].at(-1);
    for (int bucket = 0; bucket < kBuckets; ++bucket) {
      total += this->timings[i].at(bucket);
      const double upper = this->timings[i].axis().bin(bucket).upper();
      absl::StrAppend(&text, names.name, "_bucket{le=\"", upper, "\"} ", total,
                      "\n");
    }
    total += this->timings[i].at(kBuckets);
    absl::StrAppend(&text, names.name, "_bucket{le=\"+Inf\"} ", total, "\n",
                    names.name, "_sum ", this->sums[i], "\n", names.name,
                    "_count ", total, "\n");
  }
  return text;
}

}  // namespace limpetlink
