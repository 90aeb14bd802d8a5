#include "gateway/tests/gateway_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>

namespace limpetlink::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Contents of the simulated store; its responses contain only names, which the
/// codec looks up here.
std::map<std::string, WorkerRegistration> known_workers;
std::map<std::string, Deployment> known_deployments;
std::uint64_t claimed_prompt_tokens = 3000;

StoreDialect Dialect() {
  StoreDialect dialect;
  dialect.target = [](const StoreRequest& request) {
    const bool list = request.verb == StoreVerb::kListRecords;
    return "/" + request.key.kind + (list ? "/list" : "/watch");
  };
  dialect.read = [](StoreVerb, StoreResponse* answer, StoreResult* result) {
    // "REVISION name name -name": a minus marks a removal.
    std::size_t at = answer->body.find(' ');
    result->revision = std::stoull(answer->body.substr(0, at));
    while (at != std::string::npos) {
      const std::size_t end = answer->body.find(' ', at + 1);
      std::string name = answer->body.substr(
          at + 1, end == std::string::npos ? end : end - at - 1);
      ObjectRecord record;
      record.deleted = name.front() == '-';
      record.name = record.deleted ? name.substr(1) : name;
      result->records.push_back(record);
      at = end;
    }
    return StoreStatus::kOk;
  };
  return dialect;
}

GatewayCodec Codec() {
  GatewayCodec codec;
  codec.deployment_kind = "deployments";
  codec.deployment_name = "main";
  codec.worker_kind = "workers";
  codec.ready_path = "/ready";
  codec.deployment = [](const ObjectRecord& record) {
    return absl::StatusOr<Deployment>(known_deployments.at(record.name));
  };
  codec.worker = [](const ObjectRecord& record) {
    return absl::StatusOr<WorkerRegistration>(known_workers.at(record.name));
  };
  codec.caller_metadata =
      [](const Headers& headers) -> absl::StatusOr<CallerMetadata> {
    CallerMetadata metadata;
    metadata.request_id = GatewayFixture::HeaderOf(headers, "id");
    metadata.key = GatewayFixture::HeaderOf(headers, "key");
    metadata.prompt_tokens = claimed_prompt_tokens;
    metadata.max_output_tokens = 900;
    metadata.expected_output_tokens = 10;  // a far too short length hint
    std::istringstream parts(GatewayFixture::HeaderOf(headers, "parts"));
    std::string part;
    while (std::getline(parts, part, ',')) {
      metadata.shared_parts.push_back(part);
    }
    return metadata;
  };
  codec.worker_headers = [](const Headers& headers,
                            const WorkerMetadata& metadata) {
    Headers sent = {
        {"id", GatewayFixture::HeaderOf(headers, "id")},
        {"worker", metadata.worker.value},
        {"time-left", std::to_string(std::chrono::duration_cast<milliseconds>(
                                         metadata.time_left)
                                         .count())}};
    if (metadata.priority.has_value()) {
      sent.push_back({"rank", std::to_string(*metadata.priority)});
    }
    if (metadata.resume.has_value()) {
      sent.push_back(
          {"resume", metadata.resume->source + "/" + metadata.resume->handle +
                         "/" + std::to_string(metadata.resume->last_event)});
    }
    return sent;
  };
  codec.worker_response = [](const Headers& headers) {
    WorkerResponse response;
    response.request_id = GatewayFixture::HeaderOf(headers, "id");
    response.is_signed = FindHeader(headers, "signed") != nullptr;
    response.not_run = FindHeader(headers, "not-run") != nullptr;
    response.leaving = FindHeader(headers, "leaving") != nullptr;
    if (FindHeader(headers, "pause-ms") != nullptr) {
      response.retry_after = milliseconds(
          std::stol(GatewayFixture::HeaderOf(headers, "pause-ms")));
    }
    if (const std::string* limit = FindHeader(headers, "limit")) {
      response.limit_unreadable = *limit == "unreadable";
      if (!response.limit_unreadable) {
        response.request_limit = std::stod(*limit);
      }
    }
    return response;
  };
  codec.caller_headers = [](const Headers& headers) { return headers; };
  codec.report_call = [] {
    HttpCall call;
    call.url = "/report";
    return call;
  };
  codec.kv_transfer_call = [](const KvTransferCommand& command) {
    HttpCall call;
    call.url = command.final_part ? "/finish" : "/copy";
    call.body = command.request_id + ">" + command.destination;
    return call;
  };
  codec.kv_release_call = [](const std::string& handle) {
    HttpCall call;
    call.url = "/release/" + handle;
    return call;
  };
  codec.report = [](const std::string& body) -> absl::StatusOr<EngineReport> {
    EngineReport report;
    report.draining = body == "leaving";
    if (body == "restarted") {
      report.started_at = 7;
    }
    return report;
  };
  codec.kv_transfer_result = [](int status, const std::string& body) {
    KvTransferResult result;
    // "HANDLE" or "HANDLE,EVENTS"
    const std::size_t comma = std::min(body.find(','), body.size());
    result.handle = body.substr(0, comma);
    if (comma < body.size()) {
      result.events = std::stoull(body.substr(comma + 1));
    }
    if (status == 200) {
      result.outcome = KvTransferOutcome::kCopied;
    } else if (status == 404) {
      result.outcome = KvTransferOutcome::kNoSuchRun;
    } else if (status == 503) {
      result.outcome = KvTransferOutcome::kNoCapacity;
    }
    return result;
  };
  return codec;
}

GatewaySettings Settings() {
  GatewaySettings settings;
  settings.self = HostId{"entry-1"};
  settings.failure_domain = FailureDomainId{"here"};
  settings.region_of = {{"here", "region"}, {"there", "other"}};
  settings.store.url = "http://store";
  settings.store.dialect = Dialect();
  settings.store.budget = {1000, 1000, 1000, 1000};
  settings.limits.retry_ratio = 1.0;
  settings.neighbour_address = "10.0.0.1:7";
  settings.seeds = {"10.0.0.2:7"};
  settings.relays_requests = true;
  return settings;
}

}  // namespace

std::string GatewayFixture::HeaderOf(const Headers& headers,
                                     const std::string& name) {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

Deployment GatewayFixture::MakeDeployment(std::uint64_t version) {
  Deployment deployment;
  deployment.version = version;
  const auto route = [](std::string name, RouteKind kind, std::string service,
                        std::uint32_t attempts) {
    ForwardingRoute made;
    made.name = name;
    made.host = "fleet";
    made.path_prefix = "/" + name + "/";
    made.kind = kind;
    made.services = {{std::move(service), 1.0}};
    made.timeout = seconds(4);
    made.objective = milliseconds(250);
    made.max_attempts = attempts;
    return made;
  };
  deployment.routes = {route("lookup", RouteKind::kIdempotent, "app", 2),
                       route("order", RouteKind::kNonIdempotent, "app", 1),
                       route("stream", RouteKind::kStreaming, "engines", 1)};
  EngineTraits engine;
  engine.slots = 24;
  engine.memory_tokens = 30000;
  engine.bytes_per_token = 131072;
  engine.link_mbps = 19000;
  engine.supports_migration = true;
  deployment.services = {{"app", std::nullopt}, {"engines", engine}};
  deployment.holders = {
      {OrganisationId{"panel"}, {Sha256Hex("key-1")}, std::nullopt}};
  return deployment;
}

GatewayFixture::GatewayFixture()
    : host(Settings(), Codec()), deployment(MakeDeployment(7)) {
  known_workers.clear();
  claimed_prompt_tokens = 3000;
  known_deployments["main"] = this->deployment;
  this->ApplyActions(this->host.Start(this->now));
  // Until its first linearizable reads are answered.
  const Instant limit = this->now + seconds(2);
  while (!this->host.Ready(this->now) && this->now < limit) {
    this->Advance(milliseconds(1));
  }
}

void GatewayFixture::Deliver(const Event& event) {
  this->ApplyActions(this->host.Step(this->now, event));
}

void GatewayFixture::RespondFromStore(const HttpCall& call) {
  std::string body = std::to_string(this->revision);
  if (call.url == "http://store/deployments/list") {
    body += " main";
  } else if (call.url == "http://store/workers/list") {
    for (const auto& [name, worker] : this->registrations) {
      body += " " + name;
    }
  }
  this->Deliver(HttpHead{call.id, 200, {}});
  this->Deliver(HttpChunk{call.id, body});
  this->Deliver(HttpDone{call.id, HttpEnd::kComplete});
}

void GatewayFixture::SetPromptTokens(std::uint64_t tokens) {
  claimed_prompt_tokens = tokens;
}

void GatewayFixture::ReceiveFromNeighbour(const NeighbourMessage& message) {
  this->Deliver(PeerFrame{message.host, EncodeNeighbourMessage(message)});
}

void GatewayFixture::ApplyActions(Actions actions) {
  for (Action& action : actions) {
    if (auto* call = std::get_if<HttpCall>(&action)) {
      const bool to_store = call->url.rfind("http://store/", 0) == 0;
      const std::string rest = call->url.substr(std::string("http://").size());
      ++this->calls_to[rest.substr(0, rest.find('/'))];
      (to_store ? this->store_calls : this->calls).push_back(std::move(*call));
    } else if (auto* cancel = std::get_if<HttpCancel>(&action)) {
      this->cancelled.push_back(cancel->id.value);
      const auto same = [cancel](const HttpCall& each) {
        return each.id == cancel->id;
      };
      this->store_calls.erase(std::remove_if(this->store_calls.begin(),
                                             this->store_calls.end(), same),
                              this->store_calls.end());
    } else if (auto* pause = std::get_if<HttpPause>(&action)) {
      this->pauses.push_back(*pause);
    } else if (auto* head = std::get_if<ReplyHead>(&action)) {
      CallerResponse& reply = this->responses[head->id.value];
      CHECK(reply.status == 0);  // one head only
      reply.status = head->status;
      reply.headers = head->headers;
    } else if (auto* body = std::get_if<ReplyBody>(&action)) {
      this->responses[body->id.value].body += body->bytes;
    } else if (auto* end = std::get_if<ReplyEnd>(&action)) {
      CallerResponse& reply = this->responses[end->id.value];
      CHECK_FALSE(reply.ended);  // one end only
      reply.ended = true;
      reply.aborted = end->abort;
    } else if (auto* datagram = std::get_if<PeerSend>(&action)) {
      this->datagrams.push_back(std::move(*datagram));
    } else if (std::holds_alternative<LogLine>(action)) {
      ++this->log_lines;
    }
  }
}

void GatewayFixture::Register(const std::string& name,
                              const std::string& service, bool draining,
                              const std::string& domain) {
  WorkerRegistration worker;
  worker.id = UpstreamId{name};
  worker.service = service;
  worker.address = name + ":80";
  worker.domain = FailureDomainId{domain};
  worker.slots = 6;
  worker.leaving = draining;
  this->registrations[name] = worker;
  known_workers[name] = worker;
  ++this->revision;
  this->Advance(milliseconds(30));
  for (const HttpCall& call : std::exchange(this->store_calls, {})) {
    if (call.url != "http://store/workers/watch") {
      this->store_calls.push_back(call);
      continue;
    }
    this->Deliver(HttpHead{call.id, 200, {}});
    this->Deliver(
        HttpChunk{call.id, std::to_string(this->revision) + " " + name});
    this->Deliver(HttpDone{call.id, HttpEnd::kComplete});
  }
}

void GatewayFixture::Unregister(const std::string& name) {
  this->registrations.erase(name);
  ++this->revision;
  this->Advance(milliseconds(30));
  for (const HttpCall& call : std::exchange(this->store_calls, {})) {
    if (call.url != "http://store/workers/watch") {
      this->store_calls.push_back(call);
      continue;
    }
    this->Deliver(HttpHead{call.id, 200, {}});
    this->Deliver(
        HttpChunk{call.id, std::to_string(this->revision) + " -" + name});
    this->Deliver(HttpDone{call.id, HttpEnd::kComplete});
  }
}

void GatewayFixture::Publish(Deployment next) {
  this->deployment = std::move(next);
  known_deployments["main"] = this->deployment;
  ++this->revision;
  for (const HttpCall& call : std::exchange(this->store_calls, {})) {
    if (call.url != "http://store/deployments/watch") {
      this->store_calls.push_back(call);
      continue;
    }
    this->Deliver(HttpHead{call.id, 200, {}});
    this->Deliver(HttpChunk{call.id, std::to_string(this->revision) + " main"});
    this->Deliver(HttpDone{call.id, HttpEnd::kComplete});
  }
}

RequestId GatewayFixture::SendHostRequest(const std::string& path,
                                          Headers headers) {
  CallerRequest request;
  request.id = RequestId{++this->last_request};
  request.method = "POST";
  request.path = path;
  request.target = path;
  request.headers = std::move(headers);
  request.source = RequestSource::kHost;
  this->Deliver(request);
  return request.id;
}

RequestId GatewayFixture::SendOperatorRequest(const std::string& method,
                                              const std::string& path,
                                              const std::string& body) {
  CallerRequest request;
  request.id = RequestId{++this->last_request};
  request.method = method;
  request.path = path;
  request.target = path;
  request.body = body;
  request.source = RequestSource::kOperator;
  this->Deliver(request);
  return RequestId{this->last_request};
}

RequestId GatewayFixture::SendRequest(const std::string& path,
                                      const std::string& key,
                                      const std::string& parts) {
  CallerRequest request;
  request.id = RequestId{++this->last_request};
  request.method = "POST";
  request.path = path;
  request.target = path + "?a=%20b";
  request.headers = {{"Host", "fleet"},
                     {"id", "r" + std::to_string(this->last_request)},
                     {"key", key},
                     {"parts", parts}};
  request.body = "body";
  this->Deliver(request);
  return RequestId{this->last_request};
}

void GatewayFixture::Disconnect(RequestId id) {
  this->Deliver(CallerDisconnected{id});
}

std::vector<HttpCall> GatewayFixture::TakeCalls() {
  std::vector<HttpCall> taken;
  for (HttpCall& call : std::exchange(this->calls, {})) {
    const bool load_report = call.url.size() > 7 &&
                             call.url.substr(call.url.size() - 7) == "/report";
    (load_report ? this->calls : taken).push_back(std::move(call));
  }
  return taken;
}

std::vector<HttpCall> GatewayFixture::TakeReports() {
  std::vector<HttpCall> commands = this->TakeCalls();
  return std::exchange(this->calls, std::move(commands));
}

HttpCall GatewayFixture::Call() {
  std::vector<HttpCall> taken = this->TakeCalls();
  REQUIRE(taken.size() == 1);
  return taken.front();
}

HttpCall GatewayFixture::CallTo(const std::string& path) {
  for (auto it = this->calls.rbegin(); it != this->calls.rend(); ++it) {
    const std::string& url = it->url;
    const bool found =
        url.size() >= path.size() &&
        url.compare(url.size() - path.size(), path.size(), path) == 0;
    if (found) {
      HttpCall call = *it;
      this->calls.erase(std::next(it).base());
      return call;
    }
  }
  FAIL("no call ends with " << path);
  return {};
}

void GatewayFixture::RespondHead(const HttpCall& call, int status,
                                 Headers extra) {
  Headers headers = {{"id", HeaderOf(call.headers, "id")}, {"signed", "yes"}};
  for (Header& header : extra) {
    const auto same = [&header](const Header& each) {
      return each.name == header.name;
    };
    headers.erase(std::remove_if(headers.begin(), headers.end(), same),
                  headers.end());
    if (!header.value.empty()) {
      headers.push_back(header);
    }
  }
  this->Deliver(HttpHead{call.id, status, headers, this->until_close});
}

void GatewayFixture::RespondBytes(const HttpCall& call,
                                  const std::string& bytes) {
  this->Deliver(HttpChunk{call.id, bytes});
}

void GatewayFixture::EndCall(const HttpCall& call, HttpEnd end) {
  this->Deliver(HttpDone{call.id, end});
}

void GatewayFixture::Respond(const HttpCall& call, int status,
                             const std::string& body, Headers extra) {
  this->RespondHead(call, status, std::move(extra));
  this->RespondBytes(call, body);
  this->EndCall(call);
}

void GatewayFixture::Advance(Duration span) {
  const Instant end = this->now + span;
  while (true) {
    if (!this->store_unreachable) {
      // Lists are answered at once, watches without changes at the end.
      for (const HttpCall& call : std::exchange(this->store_calls, {})) {
        const bool list = call.url.find("/list") != std::string::npos;
        if (list) {
          this->RespondFromStore(call);
        } else {
          this->store_calls.push_back(call);
        }
      }
    }
    const Instant next = this->host.NextWakeup();
    if (next > end) {
      break;
    }
    this->now = std::max(this->now, next);
    this->ApplyActions(this->host.Tick(this->now));
  }
  this->now = end;
  if (!this->store_unreachable) {
    for (const HttpCall& call : std::exchange(this->store_calls, {})) {
      this->RespondFromStore(call);
    }
  }
}

bool GatewayFixture::Cancelled(const HttpCall& call) const {
  return std::find(this->cancelled.begin(), this->cancelled.end(),
                   call.id.value) != this->cancelled.end();
}

}  // namespace limpetlink::testing
