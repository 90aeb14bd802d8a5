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

/// The adapters that carry the core's orders out.
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
          [this](auto&& order) {
            this->Carry(std::forward<decltype(order)>(order));
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
        this->metrics.Note(*request);
      }
      this->loop->Post(std::move(event));
    };
  }

  void Carry(const ReplyHead& head) { this->server.Execute(head); }
  void Carry(ReplyBody body) { this->server.Execute(std::move(body)); }
  void Carry(const ReplyEnd& end) {
    if (this->metrics.Forget(end.id)) {
      this->server.Execute(ReplyBody{
          end.id,
          RenderAdapterMetrics({this->server.Counts(), this->client.Counts(),
                                this->links.Counts(), this->loop->Counts()})});
    }
    this->server.Execute(end);
  }
  void Carry(HttpCall call) { this->client.Execute(std::move(call)); }
  void Carry(const HttpCancel& cancel) { this->client.Execute(cancel); }
  void Carry(const HttpPause& pause) { this->client.Execute(pause); }
  void Carry(const HttpPreconnect& /*open*/) {}  // calls open their own
  void Carry(PeerSend send) { this->links.Send(std::move(send)); }
  void Carry(const LogLine& line) { this->writer->Write(line, SteadyNow()); }
  void Carry(const SpanRecord& span) { this->writer->Write(span); }

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
  signals.SendTo(&loop);
  loop.Run(adapters.Hooks());
  loop.RequestStop();  // adapters' threads that still post are let go
  adapters.Stop();
  writer.Write(LogLine{LogLevel::kInfo, "ended", {}}, SteadyNow());
  return signals.EndedAtOnce() ? 1 : 0;
}

}  // namespace limpetlink
