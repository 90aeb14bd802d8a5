#include "gateway/detail/relay_server.h"

#include "gateway/detail/end_to_end.h"

namespace limpetlink {
namespace {

constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// The core runs several times a second; a longer gap is a pause of the process.
constexpr Duration kMaxStepGap = std::chrono::milliseconds(1500);
// What arrived during a pause is read within this time of its end.
constexpr Duration kCatchUpTime = std::chrono::milliseconds(100);
// Bytes buffered for the other host above which reading from the worker
// pauses, and below which it resumes.
constexpr std::size_t kPauseThreshold = 64U << 10U;
constexpr std::size_t kResumeThreshold = 16U << 10U;

}  // namespace

void RelayServer::OnStep(Instant now) {
  if (this->last_step.has_value() && now - *this->last_step > kMaxStepGap) {
    this->resumed_at = now;
  }
  this->last_step = now;
}

const char* RelayServer::Check(Instant now,
                               const CallerRequest& request) const {
  const std::string* given = FindHeader(request.headers, kRelayTokenHeader);
  const std::string* worker_id =
      FindHeader(request.headers, kRelayWorkerHeader);
  const std::string* kind = FindHeader(request.headers, kRelayKindHeader);
  if (given == nullptr || *given != this->token || worker_id == nullptr) {
    return "not from a host";
  }
  if (this->draining) {
    return "shutting down";
  }
  if (now - this->resumed_at < kCatchUpTime) {
    return "received during a pause of the process";
  }
  if (this->relayed.size() >= kMaxInProgress) {
    return "too many requests in progress";
  }
  const WorkerRegistration* worker =
      this->directory->Find(UpstreamId{*worker_id});
  if (worker == nullptr) {
    return "worker unknown";
  }
  if (!this->paths->Reachability().IsReachable(worker->id)) {
    return "worker unreachable";
  }
  const bool is_command =
      kind != nullptr && *kind == ToText(WorkerCallKind::kCommand);
  const bool may_send =
      is_command ? this->hooks.may_send_command(now, worker->id)
                 : !worker->leaving && this->hooks.may_send(now, *worker);
  if (!may_send) {
    return "worker takes no requests";
  }
  return nullptr;
}

void RelayServer::Answer(RequestId id, int status, RelayResult result) {
  this->actions.emplace_back(ReplyHead{
      id, status, {{kRelayResultHeader, std::string(ToText(result))}}});
  this->actions.emplace_back(ReplyEnd{id, false});
}

void RelayServer::OnRequest(Instant now, const CallerRequest& request) {
  const std::string* worker_id =
      FindHeader(request.headers, kRelayWorkerHeader);
  if (const char* reason = this->Check(now, request)) {
    this->actions.emplace_back(
        LogLine{LogLevel::kInfo,
                "relay refused",
                {{"worker", worker_id == nullptr ? "" : *worker_id},
                 {"target", request.target},
                 {"reason", reason}}});
    this->Answer(request.id, kUnavailable, RelayResult::kNotSent);
    return;
  }
  const WorkerRegistration& worker =
      *this->directory->Find(UpstreamId{*worker_id});
  HttpCall call;
  call.id = this->hooks.next_call_id();
  call.method = request.method;
  call.headers = WithoutRelayHeaders(EndToEndHeaders(request.headers));
  call.body = request.body;
  call.connect_timeout = kConnectTimeout;
  this->paths->Begin(worker, WorkerPath{}, WorkerCallKind::kRequest,
                     request.target, &call);
  this->hooks.sent(now, worker.id);
  this->relayed[call.id.value] = {request.id, worker.id, now, false, 0, false};
  this->call_of_request[request.id.value] = call.id;
  this->actions.emplace_back(
      LogLine{LogLevel::kInfo,
              "request relayed",
              {{"worker", worker.id.value},
               {"target", request.target},
               {"in_progress", std::to_string(this->relayed.size())}}});
  this->actions.emplace_back(std::move(call));
}

RelayServer::RelayedRequest* RelayServer::Find(RequestId id, CallId* call) {
  const auto found = this->call_of_request.find(id.value);
  if (found == this->call_of_request.end()) {
    return nullptr;
  }
  *call = found->second;
  return &this->relayed.at(call->value);
}

bool RelayServer::OnCallerDisconnected(const CallerDisconnected& disconnected) {
  CallId call;
  if (this->Find(disconnected.id, &call) == nullptr) {
    return false;
  }
  this->paths->OnCancel(call);
  this->actions.emplace_back(HttpCancel{call});
  this->relayed.erase(call.value);
  this->call_of_request.erase(disconnected.id.value);
  return true;
}

bool RelayServer::OnCallerBufferDrained(const CallerBufferDrained& drained) {
  CallId call;
  RelayedRequest* request = this->Find(drained.id, &call);
  if (request == nullptr) {
    return false;
  }
  request->buffered = drained.buffered;
  if (request->paused && request->buffered < kResumeThreshold) {
    request->paused = false;
    this->actions.emplace_back(HttpPause{call, false});
  }
  return true;
}

bool RelayServer::OnHead(Instant now, HttpHead head) {
  const auto found = this->relayed.find(head.id.value);
  if (found == this->relayed.end()) {
    return false;
  }
  RelayedRequest& request = found->second;
  request.responding = true;
  this->hooks.responded(now, request.worker, request.sent, head);
  Headers headers = WithoutRelayHeaders(EndToEndHeaders(head.headers));
  headers.push_back(
      {kRelayResultHeader, std::string(ToText(RelayResult::kWorker))});
  if (head.until_close) {
    headers.push_back({kRelayBodyHeader, kRelayUntilClose});
  }
  this->actions.emplace_back(
      ReplyHead{request.id, head.status, std::move(headers)});
  return true;
}

bool RelayServer::OnChunk(const HttpChunk& chunk) {
  const auto found = this->relayed.find(chunk.id.value);
  if (found == this->relayed.end()) {
    return false;
  }
  RelayedRequest& request = found->second;
  request.buffered += chunk.bytes.size();
  this->actions.emplace_back(ReplyBody{request.id, chunk.bytes});
  if (request.buffered > kPauseThreshold && !request.paused) {
    request.paused = true;
    this->actions.emplace_back(HttpPause{chunk.id, true});
  }
  return true;
}

bool RelayServer::OnDone(Instant now, const HttpDone& done) {
  const auto found = this->relayed.find(done.id.value);
  if (found == this->relayed.end()) {
    return false;
  }
  const RelayedRequest request = found->second;
  const HttpEnd end = this->paths->OnDone(now, done).end;
  this->relayed.erase(found);
  this->call_of_request.erase(request.id.value);
  if (request.responding) {
    this->actions.emplace_back(ReplyEnd{request.id, end != HttpEnd::kComplete});
  } else if (end == HttpEnd::kNotConnected) {
    this->Answer(request.id, kUnavailable, RelayResult::kNotConnected);
  } else {
    this->paths->Suspect(now, request.worker);
    this->Answer(request.id, kBadGateway, RelayResult::kUnknown);
  }
  return true;
}

void RelayServer::EndAll() {
  for (const auto& [call, request] : this->relayed) {
    this->paths->OnCancel(CallId{call});
    this->actions.emplace_back(HttpCancel{CallId{call}});
    if (request.responding) {
      this->actions.emplace_back(ReplyEnd{request.id, true});
    } else {
      this->Answer(request.id, kBadGateway, RelayResult::kUnknown);
    }
  }
  this->relayed.clear();
  this->call_of_request.clear();
}

}  // namespace limpetlink
