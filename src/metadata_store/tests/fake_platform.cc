#include "metadata_store/tests/fake_platform.h"

#include <nlohmann/json.hpp>

namespace limpetlink::testing {
namespace {

constexpr std::string_view kObjectsPathPrefix = "/v1/objects/";

std::string Decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded.push_back(
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::string QueryValue(const std::string& query, const std::string& name) {
  const std::size_t at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + name.size() + 1;
  return Decode(query.substr(from, query.find('&', from) - from));
}

}  // namespace

FakePlatform::Response FakePlatform::Serve(const HttpCall& call) {
  const std::size_t host_end = call.url.find('/', call.url.find("//") + 2);
  const std::string target = call.url.substr(host_end);
  const std::size_t mark = target.find('?');
  const std::string path = target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
  if (call.method != "GET") {
    ++this->writes;
    return this->ServeWrite(call, path.substr(kObjectsPathPrefix.size()));
  }
  const std::string watch = QueryValue(query, "watch");
  ++(watch.empty() ? this->reads : this->watches);
  if (path == "/v1/hosts") {
    return {200, 0, this->hosts_body};
  }
  const std::string key = path.substr(kObjectsPathPrefix.size());
  if (key.find('/') == std::string::npos) {
    return this->ServeList(key, query);
  }
  const auto found = this->objects.find(key);
  if (!watch.empty()) {
    const bool newer = found != this->objects.end() &&
                       found->second.version > std::stoull(watch);
    return newer ? Response{200, found->second.version, found->second.bytes}
                 : Response{};
  }
  if (found == this->objects.end()) {
    return {404, 0, ""};
  }
  return {200, found->second.version, found->second.bytes};
}

FakePlatform::Response FakePlatform::ServeWrite(const HttpCall& call,
                                                const std::string& key) {
  const auto found = this->objects.find(key);
  const bool exists = found != this->objects.end();
  const std::uint64_t current = exists ? found->second.version : 0;
  const std::string* match = FindHeader(call.headers, "If-Match");
  const bool only_absent = FindHeader(call.headers, "If-None-Match") != nullptr;
  const std::string tag = "\"" + std::to_string(current) + "\"";
  const bool rejected = (only_absent && exists) ||
                        (match != nullptr && (!exists || *match != tag));
  if (rejected) {
    return {412, current, ""};
  }
  if (call.method == "DELETE") {
    this->objects.erase(key);
    return {exists ? 204 : 404, 0, ""};
  }
  this->objects[key] = {current + 1, call.body};
  return {exists ? 200 : 201, current + 1, ""};
}

FakePlatform::Response FakePlatform::ServeList(const std::string& path,
                                               const std::string& query) const {
  const std::string prefix = QueryValue(query, "prefix");
  const std::string after = QueryValue(query, "after");
  const std::size_t limit = std::stoul(QueryValue(query, "limit"));
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, object] : this->objects) {
    if (key.rfind(path + "/", 0) != 0 || rows.size() >= limit) {
      continue;
    }
    const std::string name = Decode(key.substr(path.size() + 1));
    if (name.rfind(prefix, 0) == 0 && name > after) {
      rows.push_back({{"name", name}, {"version", object.version}});
    }
  }
  return {200, 0, nlohmann::json{{"objects", rows}}.dump()};
}

std::vector<Event> ToEvents(CallId id, const FakePlatform::Response& response) {
  Headers headers;
  if (response.version != 0) {
    headers.push_back({"ETag", "\"" + std::to_string(response.version) + "\""});
  }
  if (response.status == 429) {
    headers.push_back({"Retry-After", "1"});
  }
  return {HttpHead{id, response.status, headers}, HttpChunk{id, response.body},
          HttpDone{id, HttpEnd::kComplete}};
}

}  // namespace limpetlink::testing
