// Actions of a completion's stream: calls to engines and the response to the
// caller.
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "entry/detail/completion_handler.h"
#include "entry/detail/reply.h"

namespace limpetlink {
namespace {

using nlohmann::json;

constexpr std::uint32_t kTokensBetweenReports = 16;
constexpr Duration kRetryAfterLoss = std::chrono::seconds(1);

PlacementEnd PlacementEndOf(const RequestNewWorker& retry) {
  switch (retry.cause) {
    case StreamCallEnd::kNotConnected:
      return PlacementEnd::kNotConnected;
    case StreamCallEnd::kRefused:
      return PlacementEnd::kRefused;
    default:
      return PlacementEnd::kLost;
  }
}

}  // namespace

void CompletionHandler::Execute(Completion& completion,
                                const StartCall& start) {
  const json body = {{"model", completion.body.model},
                     {"prompt", completion.body.prompt},
                     {"max_tokens", completion.body.max_output_tokens},
                     {"stream", true},
                     {"generation", start.generation.value},
                     {"priority", completion.priority}};
  HttpCall call;
  call.method = "POST";
  call.url = absl::StrCat(completion.url, "/v1/completions");
  call.headers = {{"Content-Type", "application/json"}};
  call.body = DumpJson(body);
  completion.tokens = 0;
  this->OpenCall(completion, start.attempt, std::move(call));
}

void CompletionHandler::Execute(Completion& completion,
                                const ResumeCall& resume) {
  HttpCall call;
  call.method = "GET";
  call.url = absl::StrCat(completion.url, "/v1/generations/",
                          resume.generation.value, "?offset=", resume.offset);
  this->OpenCall(completion, resume.attempt, std::move(call));
}

void CompletionHandler::OpenCall(Completion& completion, StreamAttempt attempt,
                                 HttpCall call) {
  GenerationCall& open = completion.call;
  open = GenerationCall{};
  open.attempt = attempt;
  open.worker = completion.stream.Worker();
  open.trace = ChildTrace(completion.trace, this->shared.random);
  open.started = this->shared.now;
  call.headers.push_back(TraceHeader(open.trace));
  open.id = this->shared.StartHttp(
      {CallPurpose::kGeneration, completion.id, open.worker}, std::move(call));
}

void CompletionHandler::CloseCall(Completion& completion,
                                  std::string_view result) {
  if (completion.call.id.value == 0) {
    return;
  }
  this->shared.calls.Close(completion.call.id);
  this->shared.FinishSpan(completion.call.trace, "engine.call",
                          completion.call.started,
                          {{"upstream", completion.call.worker.value},
                           {"generation", completion.stream.Generation().value},
                           {"result", std::string(result)}});
  completion.call.id = CallId{};
}

void CompletionHandler::Execute(Completion& completion,
                                const AbandonCall& /*abandon*/) {
  const CallId id = completion.call.id;
  if (id.value != 0) {
    this->shared.CancelHttp(id);
    const bool ended = completion.stream.Phase() == StreamPhase::kEnded;
    this->CloseCall(completion, ended ? "closed" : "abandoned");
  }
}

void CompletionHandler::Execute(Completion& completion,
                                const PauseCall& pause) {
  if (completion.call.id.value != 0) {
    this->shared.actions.emplace_back(
        HttpPause{completion.call.id, pause.paused});
  }
}

void CompletionHandler::Execute(Completion& completion,
                                const DeliverToken& token) {
  const Instant now = this->shared.now;
  if (completion.last_token == kNever) {
    this->shared.metrics.Record(Timing::kFirstToken, now - completion.arrived);
  } else {
    this->shared.metrics.Record(Timing::kBetweenTokens,
                                now - completion.last_token);
  }
  completion.last_token = now;
  completion.tokens = static_cast<std::uint32_t>(token.offset + 1);
  this->shared.metrics.Add(Counter::kTokensDelivered);
  if (completion.placed && completion.tokens % kTokensBetweenReports == 0) {
    this->shared.Dispatch(ReportProduced{completion.id, completion.tokens});
  }
  if (!completion.body.stream) {
    completion.buffered_text += token.text;
    return;
  }
  this->SendEvent(completion,
                  {this->CreateResumeToken(completion, token.offset + 1), "",
                   completion.chunks->TokenChunk(token.text)});
}

void CompletionHandler::Execute(Completion& completion,
                                const FinishStream& finish) {
  this->ReleasePlacement(completion, PlacementEnd::kFinished);
  if (!this->TryFinish(completion)) {
    return;
  }
  const std::string_view reason = ToText(finish.reason);
  if (completion.body.stream) {
    this->SendEvent(completion,
                    {this->CreateResumeToken(completion, finish.tokens), "",
                     completion.chunks->FinalChunk(reason)});
    this->SendEvent(completion, {"", "", "[DONE]"});
    this->shared.actions.emplace_back(ReplyEnd{completion.id, false});
  } else {
    ReplyWithBody(
        this->shared.actions, completion.id, 200, "application/json",
        RenderCompletionResponse(completion.metadata, completion.buffered_text,
                                 reason, completion.prompt_tokens,
                                 static_cast<std::uint32_t>(finish.tokens)));
  }
  this->Close(completion, "finished");
}

void CompletionHandler::Execute(Completion& completion,
                                const EndIncomplete& end) {
  this->ReleasePlacement(completion, PlacementEnd::kLost);
  this->FailRequest(completion, end.problem);
}

void CompletionHandler::Execute(Completion& completion,
                                const RestartStream& restart) {
  this->shared.metrics.Add(Counter::kStreamsRestarted);
  this->shared.Log(LogLevel::kWarning, "stream restarted", completion.trace,
                   {{"dropped_generation", restart.dropped.value},
                    {"generation", restart.generation.value}});
  completion.buffered_text.clear();
  if (!completion.body.stream) {
    return;
  }
  const json data = {{"dropped_generation", restart.dropped.value},
                     {"dropped_tokens", restart.dropped_tokens},
                     {"generation", restart.generation.value}};
  this->SendEvent(completion, {"", "restart", DumpJson(data)});
}

void CompletionHandler::Execute(Completion& completion,
                                const RequestNewWorker& retry) {
  completion.excluded = retry.excluded;
  this->shared.metrics.Add(Counter::kRetries);
  this->shared.Log(LogLevel::kWarning, "engine lost", completion.trace,
                   {{"upstream", completion.stream.Worker().value},
                    {"cause", std::string(ToText(retry.cause))},
                    {"delivered", std::to_string(retry.delivered)}});
  this->ReleasePlacement(completion, PlacementEndOf(retry));
  this->Submit(completion, true);
}

void CompletionHandler::Execute(Completion& completion,
                                const CancelGeneration& cancel) {
  HttpCall call;
  call.method = "DELETE";
  call.url =
      absl::StrCat(completion.url, "/v1/generations/", cancel.generation.value);
  call.total_timeout = std::chrono::seconds(2);
  this->shared.StartHttp({CallPurpose::kDetached, completion.id, cancel.worker},
                         std::move(call));
}

// ---- Responses ----

void CompletionHandler::SendHead(Completion& completion) {
  if (completion.head_sent) {
    return;
  }
  completion.head_sent = true;
  this->shared.actions.emplace_back(
      ReplyHead{completion.id,
                200,
                {{"Content-Type", "text/event-stream"},
                 {"Cache-Control", "no-store"},
                 {"X-Request-Id", completion.trace.trace_id}}});
}

void CompletionHandler::SendEvent(Completion& completion,
                                  const SseEvent& event) {
  this->SendHead(completion);
  this->shared.actions.emplace_back(ReplyBody{completion.id, EncodeSse(event)});
}

std::string CompletionHandler::CreateResumeToken(Completion& completion,
                                                 std::uint64_t offset) {
  const GenerationId& generation = completion.stream.Generation();
  if (!completion.minter || completion.minter_generation != generation) {
    const ResumeToken token{completion.stream.Worker(), generation, 0,
                            this->shared.fleet_version, completion.route.name};
    completion.minter.emplace(this->shared.settings.resume_secret,
                              completion.organisation, token);
    completion.minter_generation = generation;
  }
  return completion.minter->At(offset);
}

void CompletionHandler::ReleasePlacement(Completion& completion,
                                         PlacementEnd end) {
  const bool waiting =
      completion.stream.Phase() == StreamPhase::kWaitingForWorker;
  if (completion.placed || waiting || end == PlacementEnd::kCancelled) {
    this->shared.Dispatch(ReportEnded{completion.id, end, completion.tokens});
  }
  completion.placed = false;
}

void CompletionHandler::FailRequest(Completion& completion, Problem problem) {
  if (!this->TryFinish(completion)) {
    return;
  }
  this->shared.metrics.Add(Counter::kRefusals);
  if (!problem.retry_after) {
    problem.retry_after = kRetryAfterLoss;
  }
  if (!completion.head_sent) {
    ReplyProblem(this->shared.actions, completion.id, problem);
  } else {
    this->SendEvent(completion, {"", "error", ToProblemJson(problem)});
    this->shared.actions.emplace_back(ReplyEnd{completion.id, false});
  }
  this->Close(completion, Describe(problem.code).name);
}

bool CompletionHandler::TryFinish(Completion& completion) {
  const FinishResult result = this->shared.requests.Finish(completion.id);
  if (result == FinishResult::kSend) {
    return true;
  }
  this->shared.metrics.Add(Counter::kResponsesSuppressed);
  this->Close(completion, ToText(result));
  return false;
}

void CompletionHandler::Close(Completion& completion, std::string_view result) {
  this->SetWakeup(completion, kNever);
  const StreamCounts& counts = completion.stream.Counts();
  this->shared.metrics.Add(
      Counter::kFramesDropped,
      counts.duplicates + counts.gaps + counts.stale + counts.late);
  this->shared.metrics.Add(Counter::kStreamsResumed, counts.resumes);
  this->shared.metrics.Record(Timing::kRequest,
                              this->shared.now - completion.arrived);
  this->shared.FinishSpan(completion.trace, "entry.completion",
                          completion.arrived,
                          {{"organisation", completion.organisation.value},
                           {"model", completion.body.model},
                           {"route", completion.route.name},
                           {"tokens", std::to_string(completion.tokens)},
                           {"result", std::string(result)}});
  this->completions.erase(completion.id);
}

}  // namespace limpetlink
