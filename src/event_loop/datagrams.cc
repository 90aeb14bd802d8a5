#include "event_loop/detail/datagrams.h"

#include "adapters/adapters.h"

namespace limpetlink::event_loop {
namespace {

bool ParseEndpoint(const std::string& address,
                   asio::ip::udp::endpoint* endpoint) {
  const absl::StatusOr<SocketAddress> parsed = ParseSocketAddress(address);
  if (!parsed.ok()) {
    return false;
  }
  endpoint->resize(parsed->size);
  std::memcpy(endpoint->data(), parsed->Get(), parsed->size);
  return true;
}

}  // namespace

Datagrams::Datagrams(asio::io_context* context, std::function<void(Event)> emit)
    : emit(std::move(emit)), socket(*context) {}

absl::Status Datagrams::Bind(const std::string& address) {
  Udp::endpoint endpoint;
  if (!ParseEndpoint(address, &endpoint)) {
    return absl::InvalidArgumentError("not an address ip:port: " + address);
  }
  ErrorCode error;
  this->socket.open(endpoint.protocol(), error);
  if (!error) {
    this->socket.bind(endpoint, error);
  }
  if (!error) {
    this->socket.non_blocking(true, error);
  }
  if (error) {
    return absl::UnavailableError("cannot bind " + address + ": " +
                                  error.message());
  }
  this->Receive();
  return absl::OkStatus();
}

void Datagrams::Send(const PeerSend& send) {
  Udp::endpoint endpoint;
  ErrorCode error;
  const bool valid = ParseEndpoint(send.address, &endpoint);
  if (valid && this->socket.is_open()) {
    this->socket.send_to(asio::buffer(send.bytes), endpoint, 0, error);
  }
  if (!valid || !this->socket.is_open() || error) {
    ++this->dropped;
  }
}

void Datagrams::Receive() {
  this->socket.async_receive_from(
      asio::buffer(this->buffer), this->sender,
      [this](const ErrorCode& error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          this->emit(PeerFrame{HostId{this->sender.address().to_string()},
                               std::string(this->buffer.data(), size)});
        }
        this->Receive();
      });
}

}  // namespace limpetlink::event_loop
