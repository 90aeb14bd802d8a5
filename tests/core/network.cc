#include "tests/core/network.h"

#include <algorithm>

namespace limpetlink::testing {
namespace {

constexpr std::size_t kSchemeSize = 7;  // "http://"
constexpr std::uint64_t kLongestDelayMicros = 2000;

}  // namespace

std::string ServerOf(const std::string& url) {
  return url.substr(kSchemeSize, url.find('/', kSchemeSize) - kSchemeSize);
}

std::string PathOf(const std::string& url) {
  return url.substr(url.find('/', kSchemeSize));
}

void Timeline::After(Duration delay, std::function<void()> task) {
  this->work.emplace(std::make_pair(this->now + delay, ++this->sequence),
                     std::move(task));
}

bool Timeline::RunNext(Instant limit) {
  if (this->work.empty() || this->work.begin()->first.first > limit) {
    this->now = std::max(this->now, limit);
    return false;
  }
  const auto first = this->work.begin();
  this->now = std::max(this->now, first->first.first);
  const std::function<void()> task = std::move(first->second);
  this->work.erase(first);
  task();
  return true;
}

Network::Network(Timeline& timeline, std::uint64_t seed, Deliver deliver)
    : timeline(timeline), random(seed), deliver(std::move(deliver)) {}

void Network::AddServer(const std::string& name, FakeServer server) {
  this->servers[name].fake = std::move(server);
}

void Network::SetLink(const std::string& name, LinkState state) {
  Server& server = this->servers.at(name);
  server.link = state;
  if (state == LinkState::kRefused) {
    std::vector<ExchangeId> open;
    for (const auto& [id, exchange] : this->exchanges) {
      if (exchange.server == name) {
        open.push_back(id);
      }
    }
    server.held.clear();
    for (const ExchangeId id : open) {
      this->Cut(id);
    }
  } else if (state == LinkState::kUp) {
    for (std::function<void()>& task : std::exchange(server.held, {})) {
      this->timeline.After(Duration(0), std::move(task));
    }
  }
}

void Network::SetDelay(const std::string& name, Duration delay) {
  this->servers.at(name).delay = delay;
}

Duration Network::Delay() {
  return Duration(
      static_cast<std::int64_t>(100 + this->random.Below(kLongestDelayMicros)));
}

void Network::Step(const std::string& what, const std::string& server) {
  const TraceStep step{++this->steps, what, server};
  if (this->on_step) {
    this->on_step(step);
  }
}

// ---- The calling side ----

void Network::Call(std::size_t host, const HttpCall& call) {
  const ExchangeId id{++this->last_exchange};
  Exchange exchange;
  exchange.host = host;
  exchange.call = call;
  exchange.server = ServerOf(call.url);
  exchange.last_due = this->timeline.Now();
  this->exchanges.emplace(id, std::move(exchange));
  this->timeline.After(this->Delay(), [this, id] { this->Arrive(id); });
  if (call.total_timeout > Duration(0)) {
    this->timeline.After(call.total_timeout, [this, id] { this->Timeout(id); });
  }
}

void Network::Arrive(ExchangeId id) {
  auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  this->Step("request", found->second.server);
  found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  Server& server = this->servers.at(found->second.server);
  if (server.link == LinkState::kRefused) {
    this->EndBy(id, HttpEnd::kNotConnected);
  } else if (server.link == LinkState::kStalled) {
    server.held.emplace_back([this, id] { this->Arrive(id); });
  } else {
    server.fake.on_request(id, HttpCall(found->second.call));
  }
}

void Network::Timeout(ExchangeId id) {
  if (this->exchanges.count(id) != 0) {
    this->EndBy(id, HttpEnd::kTimeout);
  }
}

void Network::EndBy(ExchangeId id, HttpEnd end) {
  const auto found = this->exchanges.find(id);
  const Exchange exchange = found->second;
  this->exchanges.erase(found);
  const auto server = this->servers.find(exchange.server);
  if (server->second.fake.on_closed) {
    server->second.fake.on_closed(id);
  }
  this->deliver(exchange.host, HttpDone{exchange.call.id, end});
}

void Network::Cancel(std::size_t host, CallId call) {
  for (const auto& [id, exchange] : this->exchanges) {
    if (exchange.host == host && exchange.call.id == call) {
      const ExchangeId closed = id;
      const std::string server = exchange.server;
      this->exchanges.erase(closed);
      this->timeline.After(this->Delay(), [this, closed, server] {
        const FakeServer& fake = this->servers.at(server).fake;
        if (fake.on_closed) {
          fake.on_closed(closed);
        }
      });
      return;
    }
  }
}

void Network::DropHost(std::size_t host) {
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

// ---- The answering side ----

void Network::Head(ExchangeId id, int status, Headers headers) {
  const auto found = this->exchanges.find(id);
  if (found != this->exchanges.end()) {
    this->Send(id, "head",
               HttpHead{found->second.call.id, status, std::move(headers)},
               false);
  }
}

void Network::Chunk(ExchangeId id, std::string bytes) {
  const auto found = this->exchanges.find(id);
  if (found != this->exchanges.end()) {
    this->Send(id, "chunk", HttpChunk{found->second.call.id, std::move(bytes)},
               false);
  }
}

void Network::Done(ExchangeId id) {
  const auto found = this->exchanges.find(id);
  if (found != this->exchanges.end()) {
    this->Send(id, "done", HttpDone{found->second.call.id, HttpEnd::kComplete},
               true);
  }
}

void Network::Cut(ExchangeId id) {
  if (this->exchanges.count(id) != 0) {
    this->EndBy(id, HttpEnd::kCut);
  }
}

void Network::Answer(ExchangeId id, int status, Headers headers,
                     std::string body) {
  this->Head(id, status, std::move(headers));
  if (!body.empty()) {
    this->Chunk(id, std::move(body));
  }
  this->Done(id);
}

void Network::Send(ExchangeId id, const std::string& what, Event event,
                   bool last) {
  Exchange& exchange = this->exchanges.at(id);
  const Duration delay =
      this->Delay() + this->servers.at(exchange.server).delay;
  exchange.last_due = std::max(exchange.last_due, this->timeline.Now() + delay);
  this->timeline.After(exchange.last_due - this->timeline.Now(),
                       [this, id, what, event = std::move(event), last] {
                         this->Transmit(id, what, event, last);
                       });
}

void Network::Transmit(ExchangeId id, std::string what, Event event,
                       bool last) {
  auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  this->Step(what, found->second.server);
  found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  Server& server = this->servers.at(found->second.server);
  if (server.link == LinkState::kStalled) {
    server.held.emplace_back([this, id, what, event, last] {
      this->Transmit(id, what, event, last);
    });
    return;
  }
  const std::size_t host = found->second.host;
  if (last) {
    this->exchanges.erase(found);
  }
  this->deliver(host, event);
}

}  // namespace limpetlink::testing
