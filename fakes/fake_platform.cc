#include "fakes/fake_platform.h"

namespace limpetlink {
namespace {

constexpr std::string_view kObjectsPathPrefix = "/v1/objects/";
constexpr std::string_view kWeightsPathPrefix = "/v1/weights/";
constexpr std::size_t kMaxValueBytes = 1U << 20U;
constexpr std::uint64_t kMaxWatchMs = 60'000;
constexpr std::uint64_t kDefaultListLimit = 1000;

bool StartsWith(std::string_view text, std::string_view start) {
  return text.substr(0, start.size()) == start;
}

std::string Etag(std::uint64_t version) {
  return "\"" + std::to_string(version) + "\"";
}

Headers EtagHeader(std::uint64_t version) { return {{"ETag", Etag(version)}}; }

OrderedJson TitleBody(std::string_view title) { return {{"title", title}}; }

std::uint64_t NumberOr(const OrderedJson& object, const char* name,
                       std::uint64_t default_value) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_unsigned()
             ? found->get<std::uint64_t>()
             : default_value;
}

}  // namespace

FakePlatform::FakePlatform(FakeHost* host) : host(host) {
  host->on_request = [this](const CallerRequest& request) {
    this->Handle(request);
  };
  host->on_disconnect = [this](RequestId id) {
    this->watches.remove_if(
        [id](const Watch& watch) { return watch.request == id; });
  };
}

void FakePlatform::Handle(const CallerRequest& request) {
  if (StartsWith(request.path, "/control/")) {
    this->Control(request);
    return;
  }
  ++this->counts["calls"];
  if (this->faults.outage == "hang") {
    ++this->counts["hung"];
    return;
  }
  if (this->faults.outage == "refuse") {
    ++this->counts["refused"];
    this->host->ReplyJson(request.id, 503, TitleBody("outage"));
    return;
  }
  if (this->ExceedsRate(&this->calls_window, this->faults.calls_per_second)) {
    this->ReplyRateLimited(request.id);
    return;
  }
  if (this->faults.delay_ms == 0) {
    this->Serve(request);
    return;
  }
  this->host->RunAfter(std::chrono::milliseconds(this->faults.delay_ms),
                       [this, request] { this->Serve(request); });
}

void FakePlatform::Control(const CallerRequest& request) {
  if (request.path == "/control/faults" && request.method == "POST") {
    this->SetFaults(ParseObject(request.body));
    this->host->ReplyJson(request.id, 200, OrderedJson::object());
  } else if (request.path == "/control/hosts" && request.method == "POST") {
    const OrderedJson body = ParseObject(request.body);
    this->hosts = body.value("hosts", OrderedJson::array());
    this->host->ReplyJson(request.id, 200, OrderedJson::object());
  } else if (request.path == "/control/counts") {
    OrderedJson all = this->counts;
    all["watches"] = this->watches.size();
    this->host->ReplyJson(request.id, 200, all);
  } else {
    this->host->ReplyJson(request.id, 404, TitleBody("no such control"));
  }
}

void FakePlatform::SetFaults(const OrderedJson& update) {
  PlatformFaults& current = this->faults;
  current.outage = update.value("outage", current.outage);
  current.delay_ms = NumberOr(update, "delay_ms", current.delay_ms);
  current.lose_responses =
      NumberOr(update, "lose_answers", current.lose_responses);
  current.lose_requests =
      NumberOr(update, "lose_requests", current.lose_requests);
  current.calls_per_second =
      NumberOr(update, "calls_per_second", current.calls_per_second);
  current.weights_per_second =
      NumberOr(update, "weights_per_second", current.weights_per_second);
  if (current.outage == "none") {
    return;
  }
  for (const Watch& watch : this->watches) {
    this->host->Abort(watch.request);
  }
  this->watches.clear();
}

void FakePlatform::Serve(const CallerRequest& request) {
  if (request.path == "/v1/hosts") {
    this->host->ReplyJson(request.id, 200, {{"hosts", this->hosts}});
    return;
  }
  if (StartsWith(request.path, kWeightsPathPrefix)) {
    if (this->ExceedsRate(&this->weights_window,
                          this->faults.weights_per_second)) {
      this->ReplyRateLimited(request.id);
      return;
    }
    ++this->counts["weights"];
    this->host->Reply(
        request.id, 200,
        "weights of " + request.path.substr(kWeightsPathPrefix.size()));
    return;
  }
  if (!StartsWith(request.path, kObjectsPathPrefix)) {
    this->host->ReplyJson(request.id, 404, TitleBody("unknown path"));
    return;
  }
  const std::string rest = request.path.substr(kObjectsPathPrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) {
    this->List(request, PercentDecode(rest));
    return;
  }
  this->ServeObject(request, PercentDecode(rest.substr(0, slash)),
                    PercentDecode(rest.substr(slash + 1)));
}

void FakePlatform::ServeObject(const CallerRequest& request,
                               const std::string& kind,
                               const std::string& name) {
  const std::string key = kind + "/" + name;
  if (request.method == "GET") {
    this->Get(request, key);
  } else if (request.method == "PUT") {
    this->Put(request, key);
  } else if (request.method == "DELETE") {
    this->Delete(request, key);
  } else {
    this->host->ReplyJson(request.id, 405, TitleBody("method not allowed"));
  }
}

void FakePlatform::Get(const CallerRequest& request, const std::string& key) {
  const std::string watch = QueryValue(request.query, "watch", "");
  if (!watch.empty()) {
    this->WatchObject(request, key, QueryNumber(request.query, "watch", 0));
    return;
  }
  ++this->counts["reads"];
  const auto found = this->objects.find(key);
  if (found == this->objects.end()) {
    this->host->ReplyJson(request.id, 404, TitleBody("no such object"));
    return;
  }
  this->host->Reply(request.id, 200, found->second.value,
                    EtagHeader(found->second.version));
}

void FakePlatform::WatchObject(const CallerRequest& request,
                               const std::string& key, std::uint64_t version) {
  ++this->counts["watch_calls"];
  const std::uint64_t wait =
      std::min(QueryNumber(request.query, "wait_ms", kMaxWatchMs), kMaxWatchMs);
  this->watches.push_back({request.id, key, version});
  const RequestId id = request.id;
  this->host->RunAfter(std::chrono::milliseconds(wait),
                       [this, id] { this->TimeOutWatch(id); });
  this->NotifyWatches(key);
}

void FakePlatform::TimeOutWatch(RequestId id) {
  const std::size_t before = this->watches.size();
  this->watches.remove_if(
      [id](const Watch& watch) { return watch.request == id; });
  if (this->watches.size() != before) {
    this->host->Reply(id, 204, "");
  }
}

void FakePlatform::NotifyWatches(const std::string& key) {
  const auto found = this->objects.find(key);
  if (found == this->objects.end()) {
    return;
  }
  const Object& object = found->second;
  this->watches.remove_if([&](const Watch& watch) {
    if (watch.key != key || object.version <= watch.version) {
      return false;
    }
    this->host->Reply(watch.request, 200, object.value,
                      EtagHeader(object.version));
    return true;
  });
}

bool FakePlatform::ConditionFails(const CallerRequest& request,
                                  const Object* object) {
  const std::string* const match = FindHeader(request.headers, "If-Match");
  const std::string* const none_match =
      FindHeader(request.headers, "If-None-Match");
  const bool wrong_version =
      match != nullptr &&
      (object == nullptr || Etag(object->version) != *match);
  const bool exists_already = none_match != nullptr && object != nullptr;
  if (!wrong_version && !exists_already) {
    return false;
  }
  ++this->counts["conflicts"];
  this->host->ReplyJson(
      request.id, 412, TitleBody("version conflict"),
      object == nullptr ? Headers{} : EtagHeader(object->version));
  return true;
}

bool FakePlatform::DropResponse(const CallerRequest& request) {
  if (this->faults.lose_responses == 0) {
    return false;
  }
  --this->faults.lose_responses;
  ++this->counts["answers_lost"];
  this->host->Abort(request.id);
  return true;
}

void FakePlatform::Put(const CallerRequest& request, const std::string& key) {
  ++this->counts["writes"];
  if (this->faults.lose_requests > 0) {
    --this->faults.lose_requests;
    this->host->Abort(request.id);
    return;
  }
  if (request.body_too_large || request.body.size() > kMaxValueBytes) {
    this->host->ReplyJson(request.id, 413, TitleBody("value over 1 MB"));
    return;
  }
  const auto found = this->objects.find(key);
  const bool exists = found != this->objects.end();
  if (this->ConditionFails(request, exists ? &found->second : nullptr)) {
    return;
  }
  const std::uint64_t version = ++this->last_versions[key];
  this->objects[key] = {request.body, version};
  if (!this->DropResponse(request)) {
    this->host->Reply(request.id, exists ? 200 : 201, "", EtagHeader(version));
  }
  this->NotifyWatches(key);
}

void FakePlatform::Delete(const CallerRequest& request,
                          const std::string& key) {
  ++this->counts["writes"];
  const auto found = this->objects.find(key);
  if (found == this->objects.end()) {
    this->host->ReplyJson(request.id, 404, TitleBody("no such object"));
    return;
  }
  if (this->ConditionFails(request, &found->second)) {
    return;
  }
  ++this->last_versions[key];
  this->objects.erase(found);
  if (!this->DropResponse(request)) {
    this->host->Reply(request.id, 204, "");
  }
}

void FakePlatform::List(const CallerRequest& request, const std::string& kind) {
  ++this->counts["lists"];
  const std::string start = kind + "/";
  const std::string prefix = QueryValue(request.query, "prefix", "");
  const std::string after = QueryValue(request.query, "after", "");
  const std::uint64_t limit =
      QueryNumber(request.query, "limit", kDefaultListLimit);
  OrderedJson found = OrderedJson::array();
  for (auto object = this->objects.lower_bound(start + prefix);
       object != this->objects.end() && found.size() < limit; ++object) {
    if (!StartsWith(object->first, start + prefix)) {
      break;
    }
    const std::string name = object->first.substr(start.size());
    if (name > after) {
      found.push_back({{"name", name}, {"version", object->second.version}});
    }
  }
  this->host->ReplyJson(request.id, 200, {{"objects", found}});
}

bool FakePlatform::ExceedsRate(RateWindow* window, std::uint64_t limit) const {
  if (limit == 0) {
    return false;
  }
  if (this->host->Now() - window->start >= std::chrono::seconds(1)) {
    *window = {this->host->Now(), 0};
  }
  return ++window->calls > limit;
}

void FakePlatform::ReplyRateLimited(RequestId id) {
  ++this->counts["limited"];
  this->host->ReplyJson(id, 429, TitleBody("too many calls"),
                        {{"Retry-After", "1"}});
}

}  // namespace limpetlink
