// Measures the cost of the core of one entry host: processor time per token,
// request and idle second, and memory per open stream. Drives EntryHost
// directly on one thread, without sockets.
#include <malloc.h>

#include <chrono>
#include <ctime>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/report.h"
#include "entry/entry.h"
#include "streams/streams.h"

namespace limpetlink::bench {
namespace {

using nlohmann::json;

constexpr std::size_t kWorkers = 12;
constexpr std::uint64_t kMemoryTokens = 400000;

/// Returns the processor time of this thread in seconds.
double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

std::string FleetJson(std::size_t organisations) {
  json document = {
      {"name", "fleet"},
      {"change_id", "bench"},
      {"author", "bench"},
      {"failure_domains",
       json::array({{{"id", "domain"}, {"region", "region"}}})},
      {"models", json::array({{{"name", "model"}, {"version", "1"}}})},
      {"services", json::array()},
      {"organisations", json::array()},
      {"upstreams", json::array()},
      {"routes", json::array({{{"name", "drafts"}, {"model", "model"}}})}};
  for (std::size_t i = 0; i < organisations; ++i) {
    document["organisations"].push_back(
        {{"id", "organisation-" + std::to_string(i)},
         {"key_digests", {Sha256Hex("key-" + std::to_string(i))}},
         {"max_concurrent", 100000},
         {"requests_per_second", 100000}});
  }
  for (std::size_t i = 0; i < kWorkers; ++i) {
    document["upstreams"].push_back(
        {{"id", "engine-" + std::to_string(i)},
         {"kind", "engine"},
         {"serves", "model"},
         {"url", "http://127.0.0.1:" + std::to_string(9000 + i)},
         {"failure_domain", "domain"}});
  }
  return document.dump();
}

/// Runs one core and simulates the platform and the engines around it.
class Driver {
 public:
  explicit Driver(std::size_t organisations)
      : fleet(FleetJson(organisations)), host(Settings()) {
    this->ExecuteActions(this->host.Start(this->now));
    this->AdvanceTime(std::chrono::seconds(5));
  }

  /// Opens a stream for an organisation.
  void OpenStream(std::size_t organisation) {
    CallerRequest request;
    request.id = RequestId{++this->last_request};
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {
        {"Authorization", "Bearer key-" + std::to_string(organisation)}};
    request.body = R"({"model":"model","prompt":")" + std::string(800, 'p') +
                   R"(","stream":true,"max_tokens":2000})";
    this->Step(request);
  }

  /// Delivers the next token of every open stream.
  void SendTokenToAll() {
    for (auto& [call, open] : this->streams) {
      const EngineFrame frame{
          {open.generation}, open.next++, " token", std::nullopt};
      this->Step(HttpChunk{call, EncodeSse(EncodeEngineFrame(frame))});
      this->Step(CallerBufferDrained{open.request, 0});
    }
  }

  /// Finishes every open stream.
  void FinishAll() {
    std::map<CallId, Open> ending = this->streams;
    this->streams.clear();
    for (auto& [call, open] : ending) {
      const EngineFrame frame{
          {open.generation}, open.next, "", FinishReason::kStop};
      this->Step(HttpChunk{call, EncodeSse(EncodeEngineFrame(frame))});
    }
  }

  /// Advances virtual time; the only external events are responses to calls
  /// of the core.
  void AdvanceTime(Duration time) {
    const Instant end = this->now + time;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(10);
      if (this->host.NextWakeup() <= this->now) {
        this->ExecuteActions(
            this->MeasureTime([&] { return this->host.Tick(this->now); }));
      }
    }
  }

  std::size_t Streams() const { return this->streams.size(); }

  double core_seconds = 0;
  std::uint64_t platform_calls = 0;
  std::uint64_t report_calls = 0;

 private:
  struct Open {
    RequestId request;
    std::string generation;
    std::uint64_t next = 0;
  };

  static EntryHostSettings Settings() {
    EntryHostSettings settings;
    settings.self = {"host-0"};
    settings.failure_domain = {"domain"};
    settings.peer_address = "127.0.0.1:1";
    settings.platform_url = "http://127.0.0.1:8500";
    settings.fleet_name = "fleet";
    settings.resume_secret = "secret";
    return settings;
  }

  template <typename Work>
  Actions MeasureTime(Work work) {
    const double before = ThreadSeconds();
    Actions actions = work();
    this->core_seconds += ThreadSeconds() - before;
    return actions;
  }

  void Step(const Event& event) {
    this->ExecuteActions(
        this->MeasureTime([&] { return this->host.Step(this->now, event); }));
  }

  void ExecuteActions(const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* call = std::get_if<HttpCall>(&action)) {
        this->Respond(*call);
      }
    }
  }

  void SendResponse(CallId id, int status, Headers headers,
                    const std::string& body) {
    this->Step(HttpHead{id, status, std::move(headers)});
    if (!body.empty()) {
      this->Step(HttpChunk{id, body});
    }
    this->Step(HttpDone{id, HttpEnd::kComplete});
  }

  void Respond(const HttpCall& call) {
    const std::string& url = call.url;
    if (url.find("/v1/completions") != std::string::npos) {
      const json body = json::parse(call.body);
      this->streams[call.id] = {RequestId{this->last_request},
                                body["generation"], 0};
      this->Step(HttpHead{call.id, 200, {}});
    } else if (url.find("/v1/load") != std::string::npos) {
      ++this->report_calls;
      this->SendResponse(call.id, 200, {},
                         json{{"memory_tokens", kMemoryTokens},
                              {"memory_tokens_used", 0},
                              {"running", this->streams.size() / kWorkers},
                              {"waiting", 0},
                              {"preemptions", 0},
                              {"step_ms", 20},
                              {"draining", false}}
                             .dump());
    } else if (url.find("watch=") != std::string::npos) {
      // A watch gets no response; the client ends it by itself.
      ++this->platform_calls;
    } else if (url.find("/v1/objects/fleet/") != std::string::npos) {
      ++this->platform_calls;
      this->SendResponse(call.id, 200, {{"ETag", "\"1\""}}, this->fleet);
    } else if (url.find("/v1/hosts") != std::string::npos) {
      ++this->platform_calls;
      this->SendResponse(call.id, 200, {}, R"({"hosts":[]})");
    } else {
      this->SendResponse(call.id, 204, {}, "");
    }
  }

  std::string fleet;
  Instant now{std::chrono::seconds(1)};
  EntryHost host;
  std::uint64_t last_request = 0;
  std::map<CallId, Open> streams;
};

json Measure(std::size_t streams, std::size_t organisations,
             std::size_t tokens) {
  Driver driver(organisations);
  driver.core_seconds = 0;
  driver.platform_calls = 0;
  driver.report_calls = 0;
  constexpr int kIdleSeconds = 60;
  driver.AdvanceTime(std::chrono::seconds(kIdleSeconds));
  const double idle_fraction = driver.core_seconds / kIdleSeconds;
  const double platform_calls =
      static_cast<double>(driver.platform_calls) / kIdleSeconds;
  const double report_calls =
      static_cast<double>(driver.report_calls) / kIdleSeconds;

  driver.core_seconds = 0;
  const std::size_t heap_before = HeapBytes();
  for (std::size_t i = 0; i < streams; ++i) {
    driver.OpenStream(i % organisations);
  }
  const double open_seconds = driver.core_seconds;
  const std::size_t opened = driver.Streams();
  const std::size_t heap_after = HeapBytes();

  driver.core_seconds = 0;
  for (std::size_t i = 0; i < tokens; ++i) {
    driver.SendTokenToAll();
    driver.AdvanceTime(std::chrono::milliseconds(20));
  }
  const double relay_seconds = driver.core_seconds;
  driver.core_seconds = 0;
  driver.FinishAll();
  const double finish_seconds = driver.core_seconds;
  const auto relayed_tokens = static_cast<double>(opened * tokens);
  const auto count = static_cast<double>(opened);
  return {
      {"streams", streams},
      {"opened", opened},
      {"organisations", organisations},
      {"token_us", relay_seconds / relayed_tokens * 1e6},
      {"request_us", (open_seconds + finish_seconds) / count * 1e6},
      {"stream_bytes", static_cast<double>(heap_after - heap_before) / count},
      {"idle_core_percent", idle_fraction * 100},
      {"platform_calls_per_s", platform_calls},
      {"report_calls_per_s", report_calls}};
}

}  // namespace
}  // namespace limpetlink::bench

int main(int argc, char** argv) {
  using limpetlink::bench::AddRow;
  cxxopts::Options options("limpet-bench-entry",
                           "Cost of the core of one entry host");
  const auto measure = [](const cxxopts::ParseResult& /*parsed*/,
                          const AddRow& add_row) {
    for (const std::size_t streams : {50UL, 330UL, 1000UL}) {
      for (const std::size_t organisations : {10UL, 230UL}) {
        add_row(limpetlink::bench::Measure(streams, organisations, 200));
      }
    }
  };
  return limpetlink::bench::RunReport(std::move(options), argc, argv, measure);
}
