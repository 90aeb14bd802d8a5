#include "tests/core/platform_fake.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace limpetlink::testing {
namespace {

using nlohmann::json;

constexpr std::string_view kObjectsPath = "/v1/objects/";

std::string PercentDecode(std::string_view text) {
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

std::string QueryParameter(const std::string& query, const std::string& name) {
  const std::string prefix = name + "=";
  std::size_t at = 0;
  while (at < query.size()) {
    const std::size_t end = std::min(query.find('&', at), query.size());
    if (query.compare(at, prefix.size(), prefix) == 0) {
      return PercentDecode(
          query.substr(at + prefix.size(), end - at - prefix.size()));
    }
    at = end + 1;
  }
  return {};
}

std::string FormatETag(std::uint64_t version) {
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
  this->CompleteWatches(key);
  return version;
}

std::uint64_t PlatformFake::VersionOf(const std::string& key) const {
  const auto found = this->objects.find(key);
  return found == this->objects.end() ? 0 : found->second.version;
}

void PlatformFake::OnRequest(ExchangeId id, const HttpCall& call) {
  if (this->outage) {
    this->network.Respond(id, 503, {}, "");
    return;
  }
  const std::string target = PathAndQuery(call.url);
  const std::size_t query_start = target.find('?');
  const std::string path = target.substr(0, query_start);
  const std::string query =
      query_start == std::string::npos ? "" : target.substr(query_start + 1);
  if (path == "/v1/hosts") {
    this->ListHosts(id);
    return;
  }
  const std::string key =
      PercentDecode(path.substr(std::min(path.size(), kObjectsPath.size())));
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

void PlatformFake::RespondWithObject(ExchangeId id, const Object& object) {
  this->network.Respond(id, 200, {{"ETag", FormatETag(object.version)}},
                        object.bytes);
}

void PlatformFake::Get(ExchangeId id, const std::string& key,
                       const std::string& query) {
  const std::string watch = QueryParameter(query, "watch");
  const auto found = this->objects.find(key);
  if (watch.empty()) {
    if (found == this->objects.end()) {
      this->network.Respond(id, 404, {}, "");
    } else {
      this->RespondWithObject(id, found->second);
    }
    return;
  }
  const std::uint64_t known = std::stoull(watch);
  if (found != this->objects.end() && found->second.version > known) {
    this->RespondWithObject(id, found->second);
    return;
  }
  this->watches.push_back({id, key, known});
  const Duration wait =
      std::chrono::milliseconds(std::stoll(QueryParameter(query, "wait_ms")));
  this->timeline.Schedule(wait, [this, id] {
    const auto waiting =
        std::find_if(this->watches.begin(), this->watches.end(),
                     [id](const Watch& w) { return w.exchange == id; });
    if (waiting != this->watches.end()) {
      this->watches.erase(waiting);
      this->network.Respond(id, 204, {}, "");
    }
  });
}

void PlatformFake::CompleteWatches(const std::string& key) {
  std::vector<ExchangeId> ready;
  for (const Watch& watch : this->watches) {
    if (watch.key == key && watch.version < this->objects.at(key).version) {
      ready.push_back(watch.exchange);
    }
  }
  this->watches.erase(std::remove_if(this->watches.begin(), this->watches.end(),
                                     [&](const Watch& w) {
                                       return std::find(
                                                  ready.begin(), ready.end(),
                                                  w.exchange) != ready.end();
                                     }),
                      this->watches.end());
  for (const ExchangeId id : ready) {
    this->RespondWithObject(id, this->objects.at(key));
  }
}

void PlatformFake::Put(ExchangeId id, const std::string& key,
                       const HttpCall& call) {
  ++this->writes;
  const std::uint64_t current = this->VersionOf(key);
  const std::string* match = FindHeader(call.headers, "If-Match");
  const std::string* none = FindHeader(call.headers, "If-None-Match");
  const bool precondition_failed =
      (none != nullptr && current != 0) ||
      (match != nullptr && *match != FormatETag(current));
  if (precondition_failed) {
    this->network.Respond(id, 412, {{"ETag", FormatETag(current)}}, "");
    return;
  }
  const std::uint64_t version = this->Write(key, call.body);
  if (std::exchange(this->drop_next_write_response, false)) {
    this->network.Disconnect(id);
    return;
  }
  this->network.Respond(id, current == 0 ? 201 : 200,
                        {{"ETag", FormatETag(version)}}, "");
}

void PlatformFake::Delete(ExchangeId id, const std::string& key) {
  const bool existed = this->objects.erase(key) != 0;
  this->network.Respond(id, existed ? 204 : 404, {}, "");
}

void PlatformFake::List(ExchangeId id, const std::string& kind,
                        const std::string& query) {
  const std::string prefix = kind + "/" + QueryParameter(query, "prefix");
  const std::string after = kind + "/" + QueryParameter(query, "after");
  const std::string limit = QueryParameter(query, "limit");
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
  this->network.Respond(id, 200, {}, json{{"objects", listed}}.dump());
}

void PlatformFake::ListHosts(ExchangeId id) {
  json listed = json::array();
  for (const Host& host : this->hosts) {
    listed.push_back({{"id", host.id},
                      {"address", host.address},
                      {"role", host.role},
                      {"state", host.state}});
  }
  this->network.Respond(id, 200, {}, json{{"hosts", listed}}.dump());
}

}  // namespace limpetlink::testing
