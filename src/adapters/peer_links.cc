// The only translation unit that compiles websocketpp.
#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "absl/strings/str_cat.h"
#include "adapters/adapters.h"
#include "adapters/detail/handshake.h"

namespace limpetlink {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Clock = std::chrono::steady_clock;
using WebSocketError = websocketpp::lib::error_code;

constexpr std::size_t kMaxHandshakeBytes = 2048;
constexpr std::size_t kMaxQueuedSends = 8192;
constexpr std::chrono::milliseconds kSweepInterval{250};

std::string GenerateNonce() {
  constexpr int kWords = 4;
  std::random_device device;
  std::string text;
  for (int i = 0; i < kWords; ++i) {
    text += absl::StrCat(absl::Hex(device(), absl::kZeroPad8));
  }
  return text;
}

/// One link; the functions hide whether it uses a server or a client connection
/// of websocketpp.
struct Link {
  Link(Handshake handshake, bool connecting)
      : handshake(std::move(handshake)), connecting(connecting) {}

  Handshake handshake;
  bool connecting;  ///< this side opened the link
  bool sent_challenge = false;
  bool authenticated = false;
  bool closed = false;
  std::deque<std::string> queue;
  Clock::time_point started = Clock::now();
  Clock::time_point last_activity = Clock::now();
  std::function<bool(const std::string&)> send;
  std::function<void()> close;
  std::function<std::size_t()> buffered;
  std::function<void(std::size_t)> set_max_message;
};
using LinkPointer = std::shared_ptr<Link>;

}  // namespace

class PeerLinks::Impl {
 public:
  Impl(PeerLinksSettings settings, EventSink sink)
      : settings(std::move(settings)), sink(std::move(sink)), sweep(this->io) {}
  ~Impl() { this->Stop(); }

  absl::Status Start();
  void Stop();
  void Send(PeerSend send);

  PeerLinksCounts Counts() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->counts;
  }
  std::uint16_t Port() const { return this->port; }

 private:
  template <typename Connection>
  void Bind(const LinkPointer& link, const Connection& connection);
  void SetUpServer();
  void SetUpClient();
  void SendPending();
  void SendFrame(PeerSend send);
  LinkPointer Connect(const PeerSend& send);
  void Enqueue(Link* link, std::string frame);
  void SendQueued(Link* link);
  void OnMessage(const LinkPointer& link, const std::string& bytes,
                 bool binary);
  void HandleHandshake(const LinkPointer& link, const std::string& bytes);
  void OnAuthenticated(const LinkPointer& link);
  void Reject(const LinkPointer& link, std::uint64_t PeerLinksCounts::*counter);
  void OnClosed(const LinkPointer& link);
  void Sweep();
  void SweepLink(const LinkPointer& link, Clock::time_point now);
  void Add(std::uint64_t PeerLinksCounts::*counter, std::uint64_t amount = 1);

  PeerLinksSettings settings;
  EventSink sink;
  boost::asio::io_context io;
  boost::asio::steady_timer sweep;
  Server server;
  Client client;
  std::thread thread;
  std::atomic<std::uint16_t> port{0};
  mutable std::mutex mutex;  ///< guards pending and counts
  std::deque<PeerSend> pending;
  PeerLinksCounts counts;
  // Used only by the thread:
  std::set<LinkPointer> links;
  std::map<HostId, LinkPointer> by_host;
  std::map<HostId, Clock::time_point> retry_at;
};

void PeerLinks::Impl::Add(std::uint64_t PeerLinksCounts::*counter,
                          std::uint64_t amount) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->counts.*counter += amount;
}

template <typename Connection>
void PeerLinks::Impl::Bind(const LinkPointer& link,
                           const Connection& connection) {
  const std::weak_ptr<typename Connection::element_type> weak = connection;
  link->send = [weak](const std::string& bytes) {
    const auto strong = weak.lock();
    return strong != nullptr &&
           !strong->send(bytes, websocketpp::frame::opcode::binary);
  };
  link->close = [weak] {
    if (const auto strong = weak.lock()) {
      WebSocketError ignored;
      strong->close(websocketpp::close::status::policy_violation, "", ignored);
    }
  };
  link->buffered = [weak] {
    const auto strong = weak.lock();
    return strong == nullptr ? std::size_t{0} : strong->get_buffered_amount();
  };
  link->set_max_message = [weak](std::size_t bytes) {
    if (const auto strong = weak.lock()) {
      strong->set_max_message_size(bytes);
    }
  };
  const auto timeout =
      static_cast<long>(this->settings.handshake_timeout.count());  // NOLINT
  connection->set_open_handshake_timeout(timeout);
  connection->set_close_handshake_timeout(timeout);
  connection->set_max_message_size(kMaxHandshakeBytes);
  connection->set_message_handler(
      [this, link](websocketpp::connection_hdl, const auto& message) {
        this->OnMessage(
            link, message->get_payload(),
            message->get_opcode() == websocketpp::frame::opcode::binary);
      });
  // The handlers own the link, and the link holds only a weak pointer to the
  // connection, so that there is no ownership cycle.
  connection->set_close_handler(
      [this, link](websocketpp::connection_hdl) { this->OnClosed(link); });
  connection->set_fail_handler(
      [this, link](websocketpp::connection_hdl) { this->OnClosed(link); });
}

void PeerLinks::Impl::SetUpServer() {
  this->server.clear_access_channels(websocketpp::log::alevel::all);
  this->server.clear_error_channels(websocketpp::log::elevel::all);
  this->server.init_asio(&this->io);
  this->server.set_reuse_addr(true);
  this->server.set_max_http_body_size(0);
  this->server.set_validate_handler([this](websocketpp::connection_hdl handle) {
    WebSocketError error;
    const Server::connection_ptr connection =
        this->server.get_con_from_hdl(handle, error);
    if (error || this->links.size() >= this->settings.max_links) {
      this->Add(&PeerLinksCounts::unauthenticated_rejected);
      return false;
    }
    const auto link = std::make_shared<Link>(
        Handshake(this->settings.secret, this->settings.self, GenerateNonce()),
        false);
    this->links.insert(link);
    this->Bind(link, connection);
    return true;
  });
}

void PeerLinks::Impl::SetUpClient() {
  this->client.clear_access_channels(websocketpp::log::alevel::all);
  this->client.clear_error_channels(websocketpp::log::elevel::all);
  this->client.init_asio(&this->io);
}

absl::Status PeerLinks::Impl::Start() {
  const absl::StatusOr<SocketAddress> address =
      ParseSocketAddress(this->settings.listen);
  if (!address.ok()) {
    return address.status();
  }
  const std::size_t colon = this->settings.listen.rfind(':');
  std::string host = this->settings.listen.substr(0, colon);
  host.erase(std::remove_if(host.begin(), host.end(),
                            [](char c) { return c == '[' || c == ']'; }),
             host.end());
  const auto port_number = static_cast<std::uint16_t>(
      std::stoul(this->settings.listen.substr(colon + 1)));
  this->SetUpServer();
  this->SetUpClient();
  WebSocketError error;
  this->server.listen({boost::asio::ip::make_address(host), port_number},
                      error);
  if (!error) {
    this->server.start_accept(error);
  }
  if (error) {
    return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", this->settings.listen, ": ", error.message()));
  }
  boost::system::error_code ignored;
  this->port = this->server.get_local_endpoint(ignored).port();
  this->thread = std::thread([this] {
    this->Sweep();
    this->io.run();
  });
  return absl::OkStatus();
}

void PeerLinks::Impl::Stop() {
  this->io.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
  this->by_host.clear();
  this->links.clear();
}

void PeerLinks::Impl::Send(PeerSend send) {
  bool wake = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    wake = this->pending.empty();
    if (this->pending.size() >= kMaxQueuedSends) {
      this->pending.pop_front();
      ++this->counts.frames_dropped;
    }
    this->pending.push_back(std::move(send));
  }
  if (wake) {
    boost::asio::post(this->io, [this] { this->SendPending(); });
  }
}

void PeerLinks::Impl::SendPending() {
  std::deque<PeerSend> batch;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    batch.swap(this->pending);
  }
  for (PeerSend& send : batch) {
    this->SendFrame(std::move(send));
  }
}

void PeerLinks::Impl::SendFrame(PeerSend send) {
  const auto found = this->by_host.find(send.to);
  const LinkPointer link =
      found != this->by_host.end() ? found->second : this->Connect(send);
  if (link == nullptr) {
    this->Add(&PeerLinksCounts::frames_dropped);
    return;
  }
  this->Enqueue(link.get(), std::move(send.bytes));
  this->SendQueued(link.get());
}

LinkPointer PeerLinks::Impl::Connect(const PeerSend& send) {
  const auto retry = this->retry_at.find(send.to);
  if (retry != this->retry_at.end() && Clock::now() < retry->second) {
    return nullptr;
  }
  if (send.to == this->settings.self ||
      this->links.size() >= this->settings.max_links ||
      !ParseSocketAddress(send.address).ok()) {
    return nullptr;
  }
  WebSocketError error;
  const Client::connection_ptr connection =
      this->client.get_connection("ws://" + send.address + "/", error);
  if (error) {
    return nullptr;
  }
  auto link = std::make_shared<Link>(
      Handshake(this->settings.secret, this->settings.self, GenerateNonce()),
      true);
  this->Bind(link, connection);
  const HostId peer = send.to;
  connection->set_open_handler([link, peer](websocketpp::connection_hdl) {
    link->send(link->handshake.Hello(peer));
  });
  link->handshake.Hello(
      peer);  // records the peer, also for a link that never opens
  this->links.insert(link);
  this->by_host[send.to] = link;
  this->client.connect(connection);
  return link;
}

void PeerLinks::Impl::Enqueue(Link* link, std::string frame) {
  if (link->queue.size() >= this->settings.max_queued_frames) {
    link->queue.pop_front();
    this->Add(&PeerLinksCounts::frames_dropped);
  }
  link->queue.push_back(std::move(frame));
}

void PeerLinks::Impl::SendQueued(Link* link) {
  while (link->authenticated && !link->queue.empty() &&
         link->buffered() < this->settings.max_buffered_bytes) {
    const std::string frame = std::move(link->queue.front());
    link->queue.pop_front();
    if (!link->send(frame)) {
      this->Add(&PeerLinksCounts::frames_dropped);
      continue;
    }
    link->last_activity = Clock::now();
    this->Add(&PeerLinksCounts::frames_sent);
    this->Add(&PeerLinksCounts::bytes_sent, frame.size());
  }
}

void PeerLinks::Impl::OnMessage(const LinkPointer& link,
                                const std::string& bytes, bool binary) {
  if (link->closed) {
    return;
  }
  if (!binary) {
    this->Reject(link, &PeerLinksCounts::malformed_rejected);
    return;
  }
  if (!link->authenticated) {
    this->HandleHandshake(link, bytes);
    return;
  }
  link->last_activity = Clock::now();
  this->Add(&PeerLinksCounts::frames_received);
  this->Add(&PeerLinksCounts::bytes_received, bytes.size());
  this->sink(PeerFrame{link->handshake.Peer(), bytes});
}

void PeerLinks::Impl::HandleHandshake(const LinkPointer& link,
                                      const std::string& bytes) {
  std::optional<std::string> response;
  if (link->connecting) {
    response = link->handshake.Prove(bytes);
  } else if (!link->sent_challenge) {
    response = link->handshake.Challenge(bytes);
    link->sent_challenge = response.has_value();
  } else if (link->handshake.Accept(bytes)) {
    this->OnAuthenticated(link);
    return;
  }
  if (!response.has_value()) {
    this->Reject(link, &PeerLinksCounts::unauthenticated_rejected);
    return;
  }
  link->send(*response);
  if (link->connecting) {
    this->OnAuthenticated(link);
  }
}

void PeerLinks::Impl::OnAuthenticated(const LinkPointer& link) {
  link->authenticated = true;
  link->last_activity = Clock::now();
  link->set_max_message(this->settings.max_frame_bytes);
  this->Add(&PeerLinksCounts::opened);
  this->Add(&PeerLinksCounts::open);
  // Frames are sent on a link that this side opened, or else on the newest
  // link.
  LinkPointer& preferred = this->by_host[link->handshake.Peer()];
  if (preferred == nullptr || preferred->closed || !preferred->connecting) {
    preferred = link;
  }
  this->SendQueued(link.get());
}

void PeerLinks::Impl::Reject(const LinkPointer& link,
                             std::uint64_t PeerLinksCounts::*counter) {
  this->Add(counter);
  link->close();
  this->OnClosed(link);
}

void PeerLinks::Impl::OnClosed(const LinkPointer& link) {
  if (link->closed) {
    return;
  }
  link->closed = true;
  this->links.erase(link);
  this->Add(&PeerLinksCounts::frames_dropped, link->queue.size());
  link->queue.clear();
  const auto preferred = this->by_host.find(link->handshake.Peer());
  if (preferred != this->by_host.end() && preferred->second == link) {
    this->by_host.erase(preferred);
  }
  if (link->authenticated) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->counts.open;
  } else if (link->connecting) {
    this->retry_at[link->handshake.Peer()] =
        Clock::now() + this->settings.retry_delay;
  }
}

void PeerLinks::Impl::SweepLink(const LinkPointer& link,
                                Clock::time_point now) {
  if (!link->authenticated) {
    if (now - link->started > this->settings.handshake_timeout) {
      this->Reject(link, &PeerLinksCounts::unauthenticated_rejected);
    }
    return;
  }
  this->SendQueued(link.get());
  // A link that accepts no more bytes counts as broken: its peer is
  // unresponsive or unreachable.
  const bool stuck =
      link->buffered() > 0 &&
      now - link->last_activity > this->settings.handshake_timeout;
  if (stuck || now - link->last_activity > this->settings.idle_timeout) {
    link->close();
    this->OnClosed(link);
  }
}

void PeerLinks::Impl::Sweep() {
  const Clock::time_point now = Clock::now();
  const std::vector<LinkPointer> all(this->links.begin(), this->links.end());
  for (const LinkPointer& link : all) {
    this->SweepLink(link, now);
  }
  for (auto retry = this->retry_at.begin(); retry != this->retry_at.end();) {
    retry =
        retry->second <= now ? this->retry_at.erase(retry) : std::next(retry);
  }
  this->sweep.expires_after(kSweepInterval);
  this->sweep.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Sweep();
    }
  });
}

PeerLinks::PeerLinks(PeerLinksSettings settings, EventSink sink)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(sink))) {}
PeerLinks::~PeerLinks() = default;

absl::Status PeerLinks::Start() { return this->impl->Start(); }
void PeerLinks::Stop() { this->impl->Stop(); }
std::uint16_t PeerLinks::Port() const { return this->impl->Port(); }
void PeerLinks::Send(PeerSend send) { this->impl->Send(std::move(send)); }
PeerLinksCounts PeerLinks::Counts() const { return this->impl->Counts(); }

}  // namespace limpetlink
