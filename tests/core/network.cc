#include "tests/core/network.h"

#include <algorithm>

namespace limpetlink::testing {
namespace {

constexpr std::size_t kSchemeSize = 7;  // "http://"
constexpr std::uint64_t kMaxExtraDelayMicros = 2000;

}  // namespace

std::string ServerName(const std::string& url) {
  return url.substr(kSchemeSize, url.find('/', kSchemeSize) - kSchemeSize);
}

std::string PathAndQuery(const std::string& url) {
  return url.substr(url.find('/', kSchemeSize));
}

void Timeline::Schedule(Duration delay, std::function<void()> task) {
  this->tasks.emplace(std::make_pair(this->now + delay, ++this->sequence),
                      std::move(task));
}

bool Timeline::RunNext(Instant limit) {
  if (this->tasks.empty() || this->tasks.begin()->first.first > limit) {
    this->now = std::max(this->now, limit);
    return false;
  }
  const auto first = this->tasks.begin();
  this->now = std::max(this->now, first->first.first);
  const std::function<void()> task = std::move(first->second);
  this->tasks.erase(first);
  task();
  return true;
}

Network::Network(Timeline& timeline, std::uint64_t seed, EventSink event_sink)
    : timeline(timeline), random(seed), event_sink(std::move(event_sink)) {}

void Network::AddServer(const std::string& name, FakeServer server) {
  this->servers[name].fake = std::move(server);
}

void Network::SetLink(const std::string& name, LinkState state) {
  Server& server = this->servers.at(name);
  server.link = state;
  if (state == LinkState::kRefused) {
    std::vector<ExchangeId> affected;
    for (const auto& [id, exchange] : this->exchanges) {
      if (exchange.server == name) {
        affected.push_back(id);
      }
    }
    server.deferred.clear();
    for (const ExchangeId id : affected) {
      this->Disconnect(id);
    }
  } else if (state == LinkState::kUp) {
    for (std::function<void()>& task : std::exchange(server.deferred, {})) {
      this->timeline.Schedule(Duration(0), std::move(task));
    }
  }
}

void Network::SetDelay(const std::string& name, Duration delay) {
  this->servers.at(name).delay = delay;
}

Duration Network::RandomDelay() {
  return Duration(static_cast<std::int64_t>(
      100 + this->random.Below(kMaxExtraDelayMicros)));
}

void Network::RecordStep(const std::string& kind, const std::string& server) {
  const TraceStep step{++this->steps, kind, server};
  if (this->on_step) {
    this->on_step(step);
  }
}

// ---- Client side ----

void Network::StartCall(std::size_t host, const HttpCall& call) {
  const ExchangeId id{++this->last_exchange};
  Exchange exchange;
  exchange.host = host;
  exchange.call = call;
  exchange.server = ServerName(call.url);
  exchange.last_delivery = this->timeline.Now();
  this->exchanges.emplace(id, std::move(exchange));
  this->timeline.Schedule(this->RandomDelay(),
                          [this, id] { this->DeliverRequest(id); });
  if (call.total_timeout > Duration(0)) {
    this->timeline.Schedule(call.total_timeout,
                            [this, id] { this->HandleTimeout(id); });
  }
}

void Network::DeliverRequest(ExchangeId id) {
  auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  this->RecordStep("request", found->second.server);
  found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  Server& server = this->servers.at(found->second.server);
  if (server.link == LinkState::kRefused) {
    this->EndExchange(id, HttpEnd::kNotConnected);
  } else if (server.link == LinkState::kStalled) {
    server.deferred.emplace_back([this, id] { this->DeliverRequest(id); });
  } else {
    server.fake.on_request(id, HttpCall(found->second.call));
  }
}

void Network::HandleTimeout(ExchangeId id) {
  if (this->exchanges.count(id) != 0) {
    this->EndExchange(id, HttpEnd::kTimeout);
  }
}

void Network::EndExchange(ExchangeId id, HttpEnd end) {
  const auto found = this->exchanges.find(id);
  const Exchange exchange = found->second;
  this->exchanges.erase(found);
  const auto server = this->servers.find(exchange.server);
  if (server->second.fake.on_closed) {
    server->second.fake.on_closed(id);
  }
  this->event_sink(exchange.host, HttpDone{exchange.call.id, end});
}

void Network::Cancel(std::size_t host, CallId call) {
  for (const auto& [id, exchange] : this->exchanges) {
    if (exchange.host == host && exchange.call.id == call) {
      const ExchangeId closed = id;
      const std::string server = exchange.server;
      this->exchanges.erase(closed);
      this->timeline.Schedule(this->RandomDelay(), [this, closed, server] {
        const FakeServer& fake = this->servers.at(server).fake;
        if (fake.on_closed) {
          fake.on_closed(closed);
        }
      });
      return;
    }
  }
}

void Network::CloseHostExchanges(std::size_t host) {
  std::vector<std::pair<ExchangeId, std::string>> dropped;
  for (const auto& [id, exchange] : this->exchanges) {
    if (exchange.host == host) {
      dropped.emplace_back(id, exchange.server);
    }
  }
  for (const auto& [id, server] : dropped) {
    this->exchanges.erase(id);
    const FakeServer& fake = this->servers.at(server).fake;
    if (fake.on_closed) {
      fake.on_closed(id);
    }
  }
}

// ---- Server side ----

void Network::SendHead(ExchangeId id, int status, Headers headers) {
  const auto found = this->exchanges.find(id);
  if (found != this->exchanges.end()) {
    this->QueueEvent(
        id, "head", HttpHead{found->second.call.id, status, std::move(headers)},
        false);
  }
}

void Network::SendChunk(ExchangeId id, std::string bytes) {
  const auto found = this->exchanges.find(id);
  if (found != this->exchanges.end()) {
    this->QueueEvent(id, "chunk",
                     HttpChunk{found->second.call.id, std::move(bytes)}, false);
  }
}

void Network::SendEnd(ExchangeId id) {
  const auto found = this->exchanges.find(id);
  if (found != this->exchanges.end()) {
    this->QueueEvent(id, "done",
                     HttpDone{found->second.call.id, HttpEnd::kComplete}, true);
  }
}

void Network::Disconnect(ExchangeId id) {
  if (this->exchanges.count(id) != 0) {
    this->EndExchange(id, HttpEnd::kCut);
  }
}

void Network::Respond(ExchangeId id, int status, Headers headers,
                      std::string body) {
  this->SendHead(id, status, std::move(headers));
  if (!body.empty()) {
    this->SendChunk(id, std::move(body));
  }
  this->SendEnd(id);
}

void Network::QueueEvent(ExchangeId id, const std::string& kind, Event event,
                         bool is_final) {
  Exchange& exchange = this->exchanges.at(id);
  const Duration delay =
      this->RandomDelay() + this->servers.at(exchange.server).delay;
  exchange.last_delivery =
      std::max(exchange.last_delivery, this->timeline.Now() + delay);
  this->timeline.Schedule(exchange.last_delivery - this->timeline.Now(),
                          [this, id, kind, event = std::move(event), is_final] {
                            this->DeliverEvent(id, kind, event, is_final);
                          });
}

void Network::DeliverEvent(ExchangeId id, std::string kind, Event event,
                           bool is_final) {
  auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  this->RecordStep(kind, found->second.server);
  found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  Server& server = this->servers.at(found->second.server);
  if (server.link == LinkState::kStalled) {
    server.deferred.emplace_back([this, id, kind, event, is_final] {
      this->DeliverEvent(id, kind, event, is_final);
    });
    return;
  }
  const std::size_t host = found->second.host;
  if (is_final) {
    this->exchanges.erase(found);
  }
  this->event_sink(host, event);
}

}  // namespace limpetlink::testing
