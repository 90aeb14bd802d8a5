#include "programs/limpet_entry/process.h"

#include <iostream>

#include "adapters/adapters.h"
#include "programs/common/process_signals.h"
#include "programs/limpet_entry/adapter_metrics.h"
#include "telemetry/telemetry.h"

namespace limpetlink {
namespace {

HttpServerSettings ServerSettings(const EntryProcessSettings& settings) {
  HttpServerSettings server;
  server.listen = settings.listen;
  server.max_body_bytes = settings.max_body_bytes;
  return server;
}

PeerLinksSettings LinksSettings(const EntryProcessSettings& settings) {
  PeerLinksSettings links;
  links.self = settings.host.self;
  links.listen = settings.peer_listen.empty() ? settings.host.peer_address
                                              : settings.peer_listen;
  links.secret = settings.peer_secret;
  return links;
}

/// @brief The adapters, which execute the core's actions.
class EntryAdapters {
 public:
  EntryAdapters(const EntryProcessSettings& settings, CoreLoop* loop,
                LineWriter* writer)
      : loop(loop),
        writer(writer),
        server(ServerSettings(settings), this->CallerSink()),
        client(HttpClientSettings{}, loop->Sink()),
        links(LinksSettings(settings), loop->Sink()) {}

  absl::Status Start() {
    absl::Status status = this->server.Start();
    if (status.ok()) {
      status = this->links.Start();
    }
    if (status.ok()) {
      this->client.Start();
    }
    return status;
  }

  void Stop() {
    this->server.Stop();
    this->client.Stop();
    this->links.Stop();
  }

  ActionHooks Hooks() {
    ActionHooks hooks;
    hooks.execute = [this](Action action) {
      std::visit(
          [this](auto&& typed) {
            this->Execute(std::forward<decltype(typed)>(typed));
          },
          std::move(action));
    };
    hooks.flush = [this] {
      this->server.Flush();
      this->client.Flush();
    };
    hooks.idle = [this] { return this->server.Counts().open == 0; };
    return hooks;
  }

 private:
  EventSink CallerSink() {
    return [this](Event event) {
      if (const auto* const request = std::get_if<CallerRequest>(&event)) {
        this->metrics.Add(*request);
      }
      this->loop->Post(std::move(event));
    };
  }

  void Execute(const ReplyHead& head) { this->server.Execute(head); }
  void Execute(ReplyBody body) { this->server.Execute(std::move(body)); }
  void Execute(const ReplyEnd& end) {
    if (this->metrics.Remove(end.id)) {
      this->server.Execute(ReplyBody{
          end.id,
          RenderAdapterMetrics({this->server.Counts(), this->client.Counts(),
                                this->links.Counts(), this->loop->Counts()})});
    }
    this->server.Execute(end);
  }
  void Execute(HttpCall call) { this->client.Execute(std::move(call)); }
  void Execute(const HttpCancel& cancel) { this->client.Execute(cancel); }
  void Execute(const HttpPause& pause) { this->client.Execute(pause); }
  void Execute(const HttpPreconnect& /*open*/) {}  // HttpCall connects itself
  void Execute(PeerSend send) { this->links.Send(std::move(send)); }
  void Execute(const LogLine& line) { this->writer->Write(line, SteadyNow()); }
  void Execute(const SpanRecord& span) { this->writer->Write(span); }

  CoreLoop* loop;
  LineWriter* writer;
  MetricsRequests metrics;
  HttpServer server;
  HttpClient client;
  PeerLinks links;
};

}  // namespace

int RunEntryProcess(EntryProcessSettings settings) {
  ProcessSignals signals;
  LineWriter writer(
      ProcessWriterSettings(settings.host.self, settings.log_level), std::cerr);
  EntryHost host(settings.host);
  CoreLoop loop(HooksOf(&host));
  EntryAdapters adapters(settings, &loop, &writer);
  if (const absl::Status status = adapters.Start(); !status.ok()) {
    const absl::string_view reason = status.message();
    LogLine line;
    line.level = LogLevel::kError;
    line.message.assign(reason.data(), reason.size());
    writer.Write(line, SteadyNow());
    return 1;
  }
  writer.Write(
      LogLine{LogLevel::kInfo, "listening", {{"address", settings.listen}}},
      SteadyNow());
  signals.ForwardTo(&loop);
  loop.Run(adapters.Hooks());
  loop.RequestStop();  // unblocks adapter threads that wait in Post
  adapters.Stop();
  writer.Write(LogLine{LogLevel::kInfo, "ended", {}}, SteadyNow());
  return signals.StoppedImmediately() ? 1 : 0;
}

}  // namespace limpetlink
