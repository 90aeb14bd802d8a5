// Measures what one entry host's core costs: processor time for a token, a
// request and an idle second, memory for an open stream. Drives EntryHost
// directly; no sockets, one thread.
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

/// Processor time of this thread, in seconds.
double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

std::string FleetText(std::size_t organisations) {
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

/// One core and the few answers that it needs from outside.
class Driver {
 public:
  explicit Driver(std::size_t organisations)
      : fleet(FleetText(organisations)), host(Settings()) {
    this->Carry(this->host.Start(this->now));
    this->PassTime(std::chrono::seconds(5));
  }

  /// Opens a stream and returns the engine call's id and generation.
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

  /// Sends the next token to every open stream.
  void TokenToAll() {
    for (auto& [call, open] : this->streams) {
      const EngineFrame frame{
          {open.generation}, open.next++, " token", std::nullopt};
      this->Step(HttpChunk{call, EncodeSse(EncodeEngineFrame(frame))});
      this->Step(CallerBufferDrained{open.request, 0});
    }
  }

  /// Ends every open stream.
  void FinishAll() {
    std::map<CallId, Open> ending = this->streams;
    this->streams.clear();
    for (auto& [call, open] : ending) {
      const EngineFrame frame{
          {open.generation}, open.next, "", FinishReason::kStop};
      this->Step(HttpChunk{call, EncodeSse(EncodeEngineFrame(frame))});
    }
  }

  /// Lets virtual time pass with nothing from outside but the answers that are
  /// due.
  void PassTime(Duration time) {
    const Instant end = this->now + time;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(10);
      if (this->host.NextWakeup() <= this->now) {
        this->Carry(this->Timed([&] { return this->host.Tick(this->now); }));
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
  Actions Timed(Work work) {
    const double before = ThreadSeconds();
    Actions actions = work();
    this->core_seconds += ThreadSeconds() - before;
    return actions;
  }

  void Step(const Event& event) {
    this->Carry(this->Timed([&] { return this->host.Step(this->now, event); }));
  }

  void Carry(const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* call = std::get_if<HttpCall>(&action)) {
        this->Answer(*call);
      }
    }
  }

  void Whole(CallId id, int status, Headers headers, const std::string& body) {
    this->Step(HttpHead{id, status, std::move(headers)});
    if (!body.empty()) {
      this->Step(HttpChunk{id, body});
    }
    this->Step(HttpDone{id, HttpEnd::kComplete});
  }

  void Answer(const HttpCall& call) {
    const std::string& url = call.url;
    if (url.find("/v1/completions") != std::string::npos) {
      const json body = json::parse(call.body);
      this->streams[call.id] = {RequestId{this->last_request},
                                body["generation"], 0};
      this->Step(HttpHead{call.id, 200, {}});
    } else if (url.find("/v1/load") != std::string::npos) {
      ++this->report_calls;
      this->Whole(call.id, 200, {},
                  json{{"memory_tokens", kMemoryTokens},
                       {"memory_tokens_used", 0},
                       {"running", this->streams.size() / kWorkers},
                       {"waiting", 0},
                       {"preemptions", 0},
                       {"step_ms", 20},
                       {"draining", false}}
                      .dump());
    } else if (url.find("watch=") != std::string::npos) {
      ++this->platform_calls;  // a watch waits; the client gives it up by
                               // itself
    } else if (url.find("/v1/objects/fleet/") != std::string::npos) {
      ++this->platform_calls;
      this->Whole(call.id, 200, {{"ETag", "\"1\""}}, this->fleet);
    } else if (url.find("/v1/hosts") != std::string::npos) {
      ++this->platform_calls;
      this->Whole(call.id, 200, {}, R"({"hosts":[]})");
    } else {
      this->Whole(call.id, 204, {}, "");
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
  driver.PassTime(std::chrono::seconds(kIdleSeconds));
  const double idle = driver.core_seconds / kIdleSeconds;
  const double platform_calls =
      static_cast<double>(driver.platform_calls) / kIdleSeconds;
  const double report_calls =
      static_cast<double>(driver.report_calls) / kIdleSeconds;

  driver.core_seconds = 0;
  const std::size_t heap_before = HeapBytes();
  for (std::size_t i = 0; i < streams; ++i) {
    driver.OpenStream(i % organisations);
  }
  const double opening = driver.core_seconds;
  const std::size_t opened = driver.Streams();
  const std::size_t heap_after = HeapBytes();

  driver.core_seconds = 0;
  for (std::size_t i = 0; i < tokens; ++i) {
    driver.TokenToAll();
    driver.PassTime(std::chrono::milliseconds(20));
  }
  const double relaying = driver.core_seconds;
  driver.core_seconds = 0;
  driver.FinishAll();
  const double closing = driver.core_seconds;
  const auto relayed = static_cast<double>(opened * tokens);
  const auto count = static_cast<double>(opened);
  return {
      {"streams", streams},
      {"opened", opened},
      {"organisations", organisations},
      {"token_us", relaying / relayed * 1e6},
      {"request_us", (opening + closing) / count * 1e6},
      {"stream_bytes", static_cast<double>(heap_after - heap_before) / count},
      {"idle_core_percent", idle * 100},
      {"platform_calls_per_s", platform_calls},
      {"report_calls_per_s", report_calls}};
}

}  // namespace
}  // namespace limpetlink::bench

int main(int argc, char** argv) {
  using limpetlink::bench::TakeRow;
  cxxopts::Options options("limpet-bench-entry",
                           "Costs of one entry host's core");
  const auto measure = [](const cxxopts::ParseResult& /*parsed*/,
                          const TakeRow& take) {
    for (const std::size_t streams : {50UL, 330UL, 1000UL}) {
      for (const std::size_t organisations : {10UL, 230UL}) {
        take(limpetlink::bench::Measure(streams, organisations, 200));
      }
    }
  };
  return limpetlink::bench::RunReport(std::move(options), argc, argv, measure);
}
