// Compares the cost of the token relay with that of a plain relay from
// libmicrohttpd to libcurl in the same run.
// Usage: limpet-bench-relay [STREAMS [TOKENS]]; needs the programs in
// build/bin.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "adapters/adapters.h"
#include "operators/operators.h"
#include "tests/ports/free_ports.h"
#include "tests/process/child_process.h"

namespace limpetlink {
namespace {

using testing::ChildProcess;
using testing::FreePorts;

constexpr std::chrono::milliseconds kStagger{3};

struct Measurements {
  double first_token_p50 = 0;  ///< seconds
  double first_token_p95 = 0;  ///< seconds
  double tokens = 0;
  double seconds = 0;
  double processor_seconds = 0;
  std::size_t failed = 0;
  std::string last_error;  ///< last error response received
};

double ProcessorSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string field;
  double ticks = 0;
  constexpr int kUserTime = 14;
  constexpr int kSystemTime = 15;
  for (int index = 1; file >> field && index <= kSystemTime; ++index) {
    if (index >= kUserTime) {
      ticks += std::strtod(field.c_str(), nullptr);
    }
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Reads many streams and records the arrival of the first token of each.
class Streams {
 public:
  explicit Streams(std::size_t count)
      : started(count + 1),
        first(count + 1),
        tokens(count + 1),
        client(HttpClientSettings{},
               [this](const Event& event) { this->HandleEvent(event); }) {
    this->client.Start();
  }

  void Run(const std::string& url, const std::string& model, std::size_t count,
           int length) {
    for (std::size_t id = 1; id <= count; ++id) {
      HttpCall call;
      call.id = CallId{id};
      call.method = "POST";
      call.url = url;
      call.headers = {{"Authorization", "Bearer demo-key"}};
      call.body = R"({"model":")" + model + R"(","prompt":"tokens=)" +
                  std::to_string(length) + R"(","max_tokens":)" +
                  std::to_string(length) + R"(,"stream":true,"generation":")" +
                  url.substr(url.rfind(':')) + std::to_string(id) + R"("})";
      this->started[id] = SteadyNow();
      this->client.Execute(std::move(call));
      this->client.Flush();
      std::this_thread::sleep_for(kStagger);
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [&] { return this->ended == count; });
  }

  Measurements Result(int length) const {
    Measurements measurements;
    std::vector<double> latencies;
    for (std::size_t id = 1; id < this->started.size(); ++id) {
      measurements.tokens += static_cast<double>(this->tokens[id]);
      measurements.failed +=
          this->tokens[id] < static_cast<std::size_t>(length) ? 1 : 0;
      latencies.push_back(ToSeconds(this->first[id] - this->started[id]));
    }
    measurements.last_error = this->last_error;
    std::sort(latencies.begin(), latencies.end());
    measurements.first_token_p50 = latencies[latencies.size() / 2];
    measurements.first_token_p95 = latencies[latencies.size() * 95 / 100];
    return measurements;
  }

 private:
  void HandleEvent(const Event& event) {
    if (const auto* const chunk = std::get_if<HttpChunk>(&event)) {
      const std::size_t id = chunk->id.value;
      if (this->first[id] == Instant{} &&
          chunk->bytes.find("\"text\":\" t") != std::string::npos) {
        this->first[id] = SteadyNow();
      }
      if (chunk->bytes.find("\"code\"") != std::string::npos) {
        this->last_error = chunk->bytes;
      }
      for (std::size_t position = chunk->bytes.find("\"text\":\" t");
           position != std::string::npos;
           position = chunk->bytes.find("\"text\":\" t", position + 1)) {
        ++this->tokens[id];
      }
    } else if (std::holds_alternative<HttpDone>(event)) {
      const std::lock_guard<std::mutex> lock(this->mutex);
      ++this->ended;
      this->changed.notify_all();
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::size_t ended = 0;
  std::string last_error;  ///< last error response received
  std::vector<Instant> started;
  std::vector<Instant> first;
  std::vector<std::size_t> tokens;
  HttpClient client;
};

Measurements Measure(const std::string& url, pid_t pid, std::size_t count,
                     int length) {
  Streams streams(count);
  const double processor = ProcessorSeconds(pid);
  const Instant started = SteadyNow();
  streams.Run(url, "tasting-model", count, length);
  Measurements measurements = streams.Result(length);
  measurements.seconds = ToSeconds(SteadyNow() - started);
  measurements.processor_seconds = ProcessorSeconds(pid) - processor;
  return measurements;
}

void Print(const char* name, const Measurements& measurements) {
  std::printf(
      "%-12s tokens %.0f in %.2f s, first token p50 %.1f ms p95 %.1f ms, "
      "processor %.2f s, "
      "%.0f tokens/s a core, %zu short\n",
      name, measurements.tokens, measurements.seconds,
      measurements.first_token_p50 * 1e3, measurements.first_token_p95 * 1e3,
      measurements.processor_seconds,
      measurements.tokens / std::max(measurements.processor_seconds, 1e-3),
      measurements.failed);
  if (!measurements.last_error.empty()) {
    std::printf("last refusal: %s\n", measurements.last_error.c_str());
  }
}

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

nlohmann::json Document(const std::string& engine_url) {
  std::ifstream file(std::string(LIMPETLINK_EXAMPLES) + "/demo.json");
  nlohmann::json document = nlohmann::json::parse(file);
  document["organisations"][0]["max_concurrent"] = 10000;
  document["organisations"][0]["requests_per_second"] = 10000.0;
  nlohmann::json engine = document["upstreams"][0];
  engine["url"] = engine_url;
  document["upstreams"] = nlohmann::json::array({engine});
  document["services"] = nlohmann::json::array();
  return document;
}

HttpResponse SendRequest(const std::string& method, const std::string& url,
                         const std::string& body = "") {
  HttpCall call;
  call.id = CallId{1};
  call.method = method;
  call.url = url;
  call.body = body;
  return ExchangeOverCurl(call);
}

void WaitFor(const std::string& url) {
  while (SendRequest("GET", url).status != 200) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

int Run(std::size_t count, int length) {
  const std::string bin = std::string(LIMPETLINK_BIN) + "/";
  const std::string log = "/dev/null";
  const std::string engine_url = "http://" + Address(FreePorts(1).front());
  const std::string platform_url = "http://" + Address(FreePorts(1).front());
  const std::uint16_t plain_port = FreePorts(1).front();
  const std::string entry = Address(FreePorts(1).front());
  const ChildProcess engine(
      bin + "limpet-fake-engine",
      {"--listen", engine_url.substr(7), "--step-ms", "27", "--max-running",
       "4096", "--memory-tokens", "100000000"},
      log);
  const ChildProcess platform(bin + "limpet-fake-platform",
                              {"--listen", platform_url.substr(7)}, log);
  const ChildProcess plain(bin + "limpet-bench-plain-relay",
                           {std::to_string(plain_port), engine_url}, log);
  WaitFor(engine_url + "/v1/load");
  WaitFor(platform_url + "/v1/hosts");
  SendRequest("PUT", platform_url + "/v1/objects/fleet/demo",
              Document(engine_url).dump());
  const ChildProcess host(
      bin + "limpet-entry",
      {"--host-id", "entry-1", "--failure-domain", "perth-a", "--listen", entry,
       "--peer-address", Address(FreePorts(1).front()), "--peer-secret",
       "secret of the bench", "--resume-secret", "secret of the bench",
       "--platform", platform_url, "--fleet", "demo"},
      log);
  WaitFor("http://" + entry + "/readyz");
  const Measurements direct =
      Measure(engine_url + "/v1/completions", engine.Pid(), count, length);
  const Measurements relay =
      Measure("http://" + Address(plain_port) + "/v1/completions", plain.Pid(),
              count, length);
  const Measurements limpet_entry =
      Measure("http://" + entry + "/v1/completions", host.Pid(), count, length);
  Print("engine", direct);
  Print("plain relay", relay);
  Print("limpet-entry", limpet_entry);
  std::printf(
      "limpet-entry / plain relay: tokens/s a core %.2f, first token p50 %.2f, "
      "p95 %.2f\n",
      (limpet_entry.tokens / limpet_entry.processor_seconds) /
          (relay.tokens / relay.processor_seconds),
      limpet_entry.first_token_p50 / relay.first_token_p50,
      limpet_entry.first_token_p95 / relay.first_token_p95);
  return limpet_entry.failed == 0 && relay.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace limpetlink

int main(int argc, char** argv) {
  const std::size_t count = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 330;
  const int length = argc > 2 ? std::atoi(argv[2]) : 400;
  return limpetlink::Run(count, length);
}
