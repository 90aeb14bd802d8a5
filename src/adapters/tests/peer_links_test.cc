#include "adapters/detail/handshake.h"
#include "adapters/tests/support.h"

namespace limpetlink::testing {
namespace {

class LinksFixture {
 public:
  std::unique_ptr<PeerLinks> Open(const std::string& host,
                                  const std::string& secret) {
    PeerLinksSettings settings;
    settings.self = HostId{host};
    settings.listen = "127.0.0.1:0";
    settings.secret = secret;
    settings.max_frame_bytes = 100'000;
    auto links =
        std::make_unique<PeerLinks>(settings, this->events[host].Sink());
    REQUIRE(links->Start().ok());
    return links;
  }

  static PeerSend To(const std::string& host, const PeerLinks& links,
                     const std::string& bytes) {
    return {HostId{host}, "127.0.0.1:" + std::to_string(links.Port()), bytes};
  }

  template <typename Condition>
  static void WaitUntil(const Condition& condition) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    REQUIRE(condition());
  }

  std::map<std::string, Recorder> events;
};

}  // namespace

TEST_CASE_METHOD(
    LinksFixture,
    "peer links, equal secrets, frames arrive both ways in order") {
  const auto a = this->Open("a", "secret");
  const auto b = this->Open("b", "secret");
  for (int i = 0; i < 50; ++i) {
    a->Send(To("b", *b, "frame " + std::to_string(i)));
  }
  for (std::size_t i = 0; i < 50; ++i) {
    const PeerFrame frame = this->events["b"].Next<PeerFrame>(i);
    CHECK(frame.from == HostId{"a"});
    CHECK(frame.bytes == "frame " + std::to_string(i));
  }
  b->Send(To("a", *a, "back"));
  CHECK(this->events["a"].Next<PeerFrame>().bytes == "back");
  CHECK(b->Counts().opened == 1);
}

TEST_CASE_METHOD(
    LinksFixture,
    "peer links, a wrong secret, the link is rejected and counted") {
  const auto a = this->Open("a", "wrong");
  const auto b = this->Open("b", "secret");
  a->Send(To("b", *b, "frame"));
  WaitUntil([&] { return a->Counts().unauthenticated_rejected == 1; });
  CHECK(b->Counts().frames_received == 0);
  WaitUntil([&] { return a->Counts().frames_dropped == 1; });
}

TEST_CASE_METHOD(
    LinksFixture,
    "peer links, another host at the address, the link is rejected") {
  const auto a = this->Open("a", "secret");
  const auto b = this->Open("b", "secret");
  a->Send(To("c", *b, "frame"));
  WaitUntil([&] { return b->Counts().unauthenticated_rejected == 1; });
  CHECK(b->Counts().frames_received == 0);
}

TEST_CASE_METHOD(
    LinksFixture,
    "peer links, a frame over the limit, the link closes and reopens") {
  const auto a = this->Open("a", "secret");
  const auto b = this->Open("b", "secret");
  a->Send(To("b", *b, std::string(200'000, 'x')));
  WaitUntil([&] { return a->Counts().opened == 1 && a->Counts().open == 0; });
  CHECK(b->Counts().frames_received == 0);
  a->Send(To("b", *b, "small"));
  CHECK(this->events["b"].Next<PeerFrame>().bytes == "small");
}

TEST_CASE_METHOD(
    LinksFixture,
    "peer links, bytes that are not HTTP, other links are unaffected") {
  const auto a = this->Open("a", "secret");
  const auto b = this->Open("b", "secret");
  const int raw_client = ConnectTo(b->Port());
  SendAll(raw_client, std::string(5000, '\xff') + "\r\n\r\n");
  ReadUntil(raw_client, "never");
  close(raw_client);
  a->Send(To("b", *b, "frame"));
  CHECK(this->events["b"].Next<PeerFrame>().bytes == "frame");
}

TEST_CASE_METHOD(
    LinksFixture,
    "peer links, a peer restarts at its address, frames arrive again") {
  const auto a = this->Open("a", "secret");
  auto b = this->Open("b", "secret");
  a->Send(To("b", *b, "first"));
  this->events["b"].Next<PeerFrame>();
  const PeerSend again = To("b", *b, "second");
  b.reset();
  PeerLinksSettings settings;
  settings.self = HostId{"b"};
  settings.listen = again.address;
  settings.secret = "secret";
  b = std::make_unique<PeerLinks>(settings, this->events["b"].Sink());
  REQUIRE(b->Start().ok());
  WaitUntil([&] {
    a->Send(again);
    return b->Counts().frames_received > 0;
  });
}

TEST_CASE("a handshake, a proof of another handshake, it is rejected") {
  Handshake connecting("secret", HostId{"a"}, "nonce-1");
  Handshake accepting("secret", HostId{"b"}, "nonce-2");
  const auto challenge = accepting.Challenge(connecting.Hello(HostId{"b"}));
  REQUIRE(challenge.has_value());
  const auto proof = connecting.Prove(*challenge);
  REQUIRE(proof.has_value());
  CHECK(accepting.Accept(*proof));
  Handshake later("secret", HostId{"b"}, "nonce-3");
  REQUIRE(later.Challenge(connecting.Hello(HostId{"b"})).has_value());
  CHECK_FALSE(later.Accept(*proof));
  CHECK_FALSE(later.Accept(*challenge));
  CHECK_FALSE(later.Challenge("\xff\x00garbage").has_value());
}

}  // namespace limpetlink::testing
