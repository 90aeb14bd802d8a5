#include "dispatch/tests/network.h"

#include <algorithm>

namespace limpetlink::testing {
namespace {

constexpr Duration kTimeStep = std::chrono::milliseconds(10);
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t kPromptTokens = 500;

}  // namespace

Network::Network(Settings settings)
    : settings(settings),
      random(settings.seed),
      document(std::make_shared<FleetDocument>()) {
  this->document->failure_domains = {{FailureDomainId{"d"}, "r"}};
  Organisation organisation;
  organisation.id = OrganisationId{"org"};
  organisation.max_concurrent = 10000;
  organisation.requests_per_second = 10000;
  this->document->organisations = {organisation};
  this->document->models = {{"model", "1", {}, 1000}};
  for (std::size_t i = 0; i < settings.workers; ++i) {
    Upstream upstream;
    upstream.id = UpstreamId{"w" + std::to_string(i)};
    upstream.serves = "model";
    upstream.url = "http://w";
    upstream.failure_domain = FailureDomainId{"d"};
    this->document->upstreams.push_back(upstream);
  }
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < settings.hosts; ++i) {
    all.push_back(i);
    this->hosts.push_back(std::make_unique<Dispatcher>(DispatcherSettings{
        this->Name(i), FailureDomainId{"d"}, i + 1, nullptr}));
  }
  for (const std::size_t host : all) {
    this->Step(host, Configure{this->document});
  }
  this->SetLive(all);
}

HostId Network::Name(std::size_t host) const {
  return HostId{"host-" + std::to_string(host)};
}

void Network::SetLive(const std::vector<std::size_t>& live_hosts) {
  this->live = {live_hosts.begin(), live_hosts.end()};
  SetHosts message;
  for (const std::size_t host : live_hosts) {
    message.live.push_back(this->Name(host));
    message.failure_domains.push_back(FailureDomainId{"d"});
  }
  for (const std::size_t host : live_hosts) {
    this->Step(host, message);
  }
}

std::size_t Network::Submit(std::size_t host, Duration duration,
                            RequestClass request_class) {
  const std::size_t id = this->requests.size();
  RequestRecord record;
  record.host = host;
  record.submitted = this->now;
  this->requests.push_back(record);
  this->lengths.push_back(duration);
  SubmitRequest submit;
  submit.request = RequestId{id + 1};
  submit.organisation = OrganisationId{"org"};
  submit.target = "model";
  submit.route = "drafts";
  submit.request_class = request_class;
  submit.prompt_tokens = kPromptTokens;
  submit.max_output_tokens = 1000;
  submit.deadline = this->now + std::chrono::seconds(60);
  this->Step(host, submit);
  return id;
}

void Network::Step(std::size_t host, const DispatchMessage& message) {
  for (const auto& action : this->hosts[host]->Step(this->now, message)) {
    this->Apply(host, action);
  }
}

void Network::Apply(std::size_t host, const DispatchAction& action) {
  if (const auto* place = std::get_if<Place>(&action)) {
    const auto id = static_cast<std::size_t>(place->request.value - 1);
    RequestRecord& record = this->requests[id];
    record.placed = true;
    record.answered = this->now;
    record.worker = place->worker;
    std::size_t& count = this->running[place->worker];
    ++count;
    this->max_running[place->worker] =
        std::max(this->max_running[place->worker], count);
    this->ends.emplace(this->now + this->lengths[id], id);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    RequestRecord& record = this->requests[refuse->request.value - 1];
    record.refused = true;
    record.answered = this->now;
  } else if (const auto* send = std::get_if<DispatchSend>(&action)) {
    ++this->traffic.messages;
    this->traffic.bytes += send->bytes.size();
    const bool lost = this->muted.count(host) != 0 ||
                      this->random.Fraction() < this->settings.loss;
    for (std::size_t to = 0; to < this->hosts.size() && !lost; ++to) {
      if (this->Name(to) == send->to) {
        this->pending.emplace(
            this->now + this->settings.delay,
            Pending{to, DispatchReceive{this->Name(host), send->bytes}});
      }
    }
  }
}

void Network::Deliver() {
  while (!this->pending.empty() && this->pending.begin()->first <= this->now) {
    const Pending next = this->pending.begin()->second;
    this->pending.erase(this->pending.begin());
    if (this->live.count(next.host) != 0) {
      this->Step(next.host, next.message);
    }
  }
}

void Network::SendReports() {
  if (this->now - this->reported < kReportInterval) {
    return;
  }
  this->reported = this->now;
  for (const Upstream& upstream : this->document->upstreams) {
    WorkerReport report;
    report.worker = upstream.id;
    report.memory_tokens = this->settings.memory_tokens;
    report.memory_tokens_used = this->running[upstream.id] * kPromptTokens;
    report.running = static_cast<std::uint32_t>(this->running[upstream.id]);
    for (const std::size_t host : this->live) {
      this->Step(host, report);
    }
  }
}

void Network::EndStreams() {
  while (!this->ends.empty() && this->ends.begin()->first <= this->now) {
    const std::size_t id = this->ends.begin()->second;
    this->ends.erase(this->ends.begin());
    RequestRecord& record = this->requests[id];
    record.ended = true;
    --this->running[record.worker];
    if (this->live.count(record.host) != 0) {
      this->Step(record.host,
                 ReportEnded{RequestId{id + 1}, PlacementEnd::kFinished, 100});
    }
  }
}

void Network::Advance(Duration length) {
  const Instant end = this->now + length;
  while (this->now < end) {
    this->now += kTimeStep;
    this->Deliver();
    this->SendReports();
    this->EndStreams();
    for (const std::size_t host : this->live) {
      if (this->hosts[host]->NextWakeup() <= this->now) {
        this->Step(host, DispatchTick{});
      }
    }
  }
}

std::size_t Network::StreamsAt(const UpstreamId& worker) const {
  const auto it = this->running.find(worker);
  return it == this->running.end() ? 0 : it->second;
}

std::size_t Network::MaxStreamsAt(const UpstreamId& worker) const {
  const auto it = this->max_running.find(worker);
  return it == this->max_running.end() ? 0 : it->second;
}

std::size_t Network::OwnerOf(std::size_t worker) const {
  const UpstreamId& id = this->document->upstreams[worker].id;
  for (const std::size_t host : this->live) {
    const auto owned = this->hosts[host]->OwnedWorkers();
    if (std::find(owned.begin(), owned.end(), id) != owned.end()) {
      return host;
    }
  }
  return this->hosts.size();
}

}  // namespace limpetlink::testing
