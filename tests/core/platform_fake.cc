#include "tests/core/platform_fake.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace limpetlink::testing {
namespace {

using nlohmann::json;

constexpr std::string_view kObjects = "/v1/objects/";

std::string Decode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded.push_back(static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::string Parameter(const std::string& query, const std::string& name) {
  const std::string wanted = name + "=";
  std::size_t at = 0;
  while (at < query.size()) {
    const std::size_t end = std::min(query.find('&', at), query.size());
    if (query.compare(at, wanted.size(), wanted) == 0) {
      return Decode(query.substr(at + wanted.size(), end - at - wanted.size()));
    }
    at = end + 1;
  }
  return {};
}

std::string Quoted(std::uint64_t version) {
  return "\"" + std::to_string(version) + "\"";
}

}  // namespace

PlatformFake::PlatformFake(Network& network, Timeline& timeline)
    : network(network), timeline(timeline) {
  network.AddServer(
      "platform",
      {[this](ExchangeId id, const HttpCall& call) {
         this->OnRequest(id, call);
       },
       [this](ExchangeId id) {
         this->watches.erase(
             std::remove_if(this->watches.begin(), this->watches.end(),
                            [id](const Watch& w) { return w.exchange == id; }),
             this->watches.end());
       }});
}

std::uint64_t PlatformFake::Write(const std::string& key, std::string bytes) {
  Object& object = this->objects[key];
  ++object.version;
  object.bytes = std::move(bytes);
  const std::uint64_t version = object.version;
  this->NotifyWatches(key);
  return version;
}

std::uint64_t PlatformFake::VersionOf(const std::string& key) const {
  const auto found = this->objects.find(key);
  return found == this->objects.end() ? 0 : found->second.version;
}

void PlatformFake::OnRequest(ExchangeId id, const HttpCall& call) {
  if (this->outage) {
    this->network.Answer(id, 503, {}, "");
    return;
  }
  const std::string target = PathOf(call.url);
  const std::size_t mark = target.find('?');
  const std::string path = target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
  if (path == "/v1/hosts") {
    this->ListHosts(id);
    return;
  }
  const std::string key =
      Decode(path.substr(std::min(path.size(), kObjects.size())));
  if (call.method == "PUT") {
    this->Put(id, key, call);
  } else if (call.method == "DELETE") {
    this->Delete(id, key);
  } else if (key.find('/') == std::string::npos) {
    this->List(id, key, query);
  } else {
    this->Get(id, key, query);
  }
}

void PlatformFake::ReplyObject(ExchangeId id, const Object& object) {
  this->network.Answer(id, 200, {{"ETag", Quoted(object.version)}},
                       object.bytes);
}

void PlatformFake::Get(ExchangeId id, const std::string& key,
                       const std::string& query) {
  const std::string watch = Parameter(query, "watch");
  const auto found = this->objects.find(key);
  if (watch.empty()) {
    if (found == this->objects.end()) {
      this->network.Answer(id, 404, {}, "");
    } else {
      this->ReplyObject(id, found->second);
    }
    return;
  }
  const std::uint64_t known = std::stoull(watch);
  if (found != this->objects.end() && found->second.version > known) {
    this->ReplyObject(id, found->second);
    return;
  }
  this->watches.push_back({id, key, known});
  const Duration wait =
      std::chrono::milliseconds(std::stoll(Parameter(query, "wait_ms")));
  this->timeline.After(wait, [this, id] {
    const auto waiting =
        std::find_if(this->watches.begin(), this->watches.end(),
                     [id](const Watch& w) { return w.exchange == id; });
    if (waiting != this->watches.end()) {
      this->watches.erase(waiting);
      this->network.Answer(id, 204, {}, "");
    }
  });
}

void PlatformFake::NotifyWatches(const std::string& key) {
  std::vector<ExchangeId> due;
  for (const Watch& watch : this->watches) {
    if (watch.key == key && watch.version < this->objects.at(key).version) {
      due.push_back(watch.exchange);
    }
  }
  this->watches.erase(std::remove_if(this->watches.begin(), this->watches.end(),
                                     [&](const Watch& w) {
                                       return std::find(due.begin(), due.end(),
                                                        w.exchange) !=
                                              due.end();
                                     }),
                      this->watches.end());
  for (const ExchangeId id : due) {
    this->ReplyObject(id, this->objects.at(key));
  }
}

void PlatformFake::Put(ExchangeId id, const std::string& key,
                       const HttpCall& call) {
  ++this->writes;
  const std::uint64_t current = this->VersionOf(key);
  const std::string* match = FindHeader(call.headers, "If-Match");
  const std::string* none = FindHeader(call.headers, "If-None-Match");
  const bool refused = (none != nullptr && current != 0) ||
                       (match != nullptr && *match != Quoted(current));
  if (refused) {
    this->network.Answer(id, 412, {{"ETag", Quoted(current)}}, "");
    return;
  }
  const std::uint64_t version = this->Write(key, call.body);
  if (std::exchange(this->lose_next, false)) {
    this->network.Cut(id);
    return;
  }
  this->network.Answer(id, current == 0 ? 201 : 200,
                       {{"ETag", Quoted(version)}}, "");
}

void PlatformFake::Delete(ExchangeId id, const std::string& key) {
  const bool existed = this->objects.erase(key) != 0;
  this->network.Answer(id, existed ? 204 : 404, {}, "");
}

void PlatformFake::List(ExchangeId id, const std::string& kind,
                        const std::string& query) {
  const std::string prefix = kind + "/" + Parameter(query, "prefix");
  const std::string after = kind + "/" + Parameter(query, "after");
  const std::string limit = Parameter(query, "limit");
  const std::size_t rows = limit.empty() ? 1000 : std::stoull(limit);
  json listed = json::array();
  for (auto it = this->objects.lower_bound(prefix); it != this->objects.end();
       ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0 ||
        listed.size() >= rows) {
      break;
    }
    if (it->first > after) {
      listed.push_back({{"name", it->first.substr(kind.size() + 1)},
                        {"version", it->second.version}});
    }
  }
  this->network.Answer(id, 200, {}, json{{"objects", listed}}.dump());
}

void PlatformFake::ListHosts(ExchangeId id) {
  json listed = json::array();
  for (const Host& host : this->hosts) {
    listed.push_back({{"id", host.id},
                      {"address", host.address},
                      {"role", host.role},
                      {"state", host.state}});
  }
  this->network.Answer(id, 200, {}, json{{"hosts", listed}}.dump());
}

}  // namespace limpetlink::testing
