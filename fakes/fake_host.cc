#include "fakes/fake_host.h"

#include <charconv>
#include <csignal>
#include <iostream>
#include <thread>

#include "adapters/adapters.h"

namespace limpetlink {

Actions FakeHost::Start(Instant at) {
  this->now = at;
  return this->TakeActions();
}

Actions FakeHost::Step(Instant at, const Event& event) {
  this->now = at;
  if (const auto* const request = std::get_if<CallerRequest>(&event)) {
    this->on_request(*request);
  } else if (const auto* const gone = std::get_if<CallerDisconnected>(&event)) {
    if (this->on_disconnect) {
      this->on_disconnect(gone->id);
    }
  }
  return this->TakeActions();
}

Actions FakeHost::Tick(Instant at) {
  this->now = at;
  while (!this->timers.empty() && this->timers.begin()->first <= at) {
    const Timer timer = std::move(this->timers.begin()->second);
    this->timers.erase(this->timers.begin());
    timer();
  }
  return this->TakeActions();
}

Actions FakeHost::Drain(Instant at) {
  this->now = at;
  this->draining = true;
  return this->TakeActions();
}

Instant FakeHost::NextWakeup() const {
  return this->timers.empty() ? kNever : this->timers.begin()->first;
}

void FakeHost::RunAfter(Duration delay, Timer timer) {
  this->timers.emplace(this->now + delay, std::move(timer));
}

void FakeHost::Reply(RequestId id, int status, std::string body,
                     Headers headers) {
  this->actions.emplace_back(ReplyHead{id, status, std::move(headers)});
  this->actions.emplace_back(ReplyBody{id, std::move(body)});
  this->actions.emplace_back(ReplyEnd{id, false});
}

void FakeHost::ReplyJson(RequestId id, int status, const OrderedJson& body,
                         Headers headers) {
  headers.push_back({"Content-Type", "application/json"});
  this->Reply(id, status, body.dump(), std::move(headers));
}

void FakeHost::BeginStream(RequestId id) {
  this->actions.emplace_back(
      ReplyHead{id, 200, {{"Content-Type", "text/event-stream"}}});
}

void FakeHost::Send(RequestId id, std::string bytes) {
  this->actions.emplace_back(ReplyBody{id, std::move(bytes)});
}

void FakeHost::End(RequestId id) {
  this->actions.emplace_back(ReplyEnd{id, false});
}

void FakeHost::Abort(RequestId id) {
  this->actions.emplace_back(ReplyEnd{id, true});
}

Actions FakeHost::TakeActions() {
  Actions taken;
  taken.swap(this->actions);
  return taken;
}

OrderedJson ParseObject(std::string_view text) {
  OrderedJson value = OrderedJson::parse(text, nullptr, false);
  return value.is_object() ? value : OrderedJson::object();
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    const char* const digits = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string QueryValue(std::string_view query, std::string_view name,
                       std::string default_value) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return PercentDecode(pair.substr(equals + 1));
    }
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return default_value;
}

std::uint64_t QueryNumber(std::string_view query, std::string_view name,
                          std::uint64_t default_value) {
  const std::string text = QueryValue(query, name, "");
  std::uint64_t value = default_value;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

int RunFake(FakeHost* fake, const std::string& listen) {
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  CoreLoop loop(HooksOf(fake));
  HttpServerSettings settings;
  settings.listen = listen;
  settings.max_body_bytes = 4U << 20U;
  HttpServer server(settings, loop.Sink());
  if (const absl::Status status = server.Start(); !status.ok()) {
    std::cerr << status.message() << '\n';
    return 1;
  }
  ActionHooks hooks;
  hooks.execute = [&server](Action action) {
    if (const auto* const head = std::get_if<ReplyHead>(&action)) {
      server.Execute(*head);
    } else if (auto* const body = std::get_if<ReplyBody>(&action)) {
      server.Execute(std::move(*body));
    } else if (const auto* const end = std::get_if<ReplyEnd>(&action)) {
      server.Execute(*end);
    }
  };
  hooks.flush = [&server] { server.Flush(); };
  hooks.idle = [] { return true; };
  std::thread signals([&loop, &stop_signals] {
    int signal = 0;
    sigwait(&stop_signals, &signal);
    loop.RequestStop();
  });
  std::cout << "listening on port " << server.Port() << std::endl;
  loop.Run(hooks);
  signals.join();
  server.Stop();
  return 0;
}

}  // namespace limpetlink
