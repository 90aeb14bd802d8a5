#include "neighbours/neighbours.h"

#include <algorithm>

namespace limpetlink {
namespace {

constexpr Duration kStateEvery = std::chrono::milliseconds(1000);
// Changes closer together go out in one message.
constexpr Duration kStateSpacing = std::chrono::milliseconds(15);
// Three messages that did not come.
constexpr Duration kSilence = std::chrono::milliseconds(3300);
constexpr Duration kQuestionEvery = std::chrono::milliseconds(1000);
constexpr Duration kQuestionEveryKnown = std::chrono::milliseconds(5000);
constexpr Duration kAskerLife = std::chrono::milliseconds(11000);
// A lost datagram is made up for by the next states.
constexpr Duration kLeavingTold = std::chrono::milliseconds(2500);
constexpr std::size_t kMostNeighbours = 64;
constexpr std::size_t kMostAskers = 2048;

}  // namespace

NeighbourMessage Neighbours::Make(bool asks) {
  NeighbourMessage message;
  message.host = this->settings.self;
  message.domain = this->settings.domain;
  message.address = this->settings.address;
  message.sequence = ++this->sequence;
  message.asks = asks;
  return message;
}

void Neighbours::SendTo(const std::string& address,
                        const NeighbourMessage& message) {
  this->actions.emplace_back(
      PeerSend{HostId{}, address, EncodeNeighbourMessage(message)});
}

void Neighbours::Answer(const NeighbourMessage& question) {
  NeighbourMessage answer = this->Make(false);
  for (const auto& [host, asker] : this->asked_here) {
    const bool wanted =
        asker.domain == question.domain && host != question.host;
    if (wanted && answer.neighbours.size() < kMostNeighbours) {
      answer.neighbours.push_back({host, asker.address});
    }
  }
  if (this->settings.domain == question.domain) {
    answer.neighbours.push_back({this->settings.self, this->settings.address});
  }
  this->SendTo(question.address, answer);
}

bool Neighbours::OnFrame(Instant now, const PeerFrame& frame) {
  absl::StatusOr<NeighbourMessage> read = DecodeNeighbourMessage(frame.bytes);
  if (!read.ok()) {
    return false;
  }
  const NeighbourMessage& message = *read;
  if (message.host == this->settings.self || message.address.empty()) {
    return true;
  }
  if (message.asks && this->asked_here.size() < kMostAskers) {
    this->asked_here[message.host] = {message.domain, message.address, now};
    this->Answer(message);
  }
  for (const NeighbourAddress& neighbour : message.neighbours) {
    const bool is_new = neighbour.host != this->settings.self &&
                        this->known.count(neighbour.host) == 0 &&
                        this->known.size() < kMostNeighbours;
    if (is_new) {
      this->known[neighbour.host] = {neighbour.address, 0, now};
      this->next_state = std::min(this->next_state, now);
    }
  }
  if (message.domain != this->settings.domain || message.asks ||
      !message.neighbours.empty()) {
    return true;
  }
  const auto found = this->known.find(message.host);
  if (found == this->known.end() && this->known.size() >= kMostNeighbours) {
    return true;
  }
  Known& sender = this->known[message.host];
  const bool restarted = sender.address != message.address;
  const bool old = !restarted && message.sequence <= sender.sequence &&
                   message.sequence + kMostNeighbours > sender.sequence;
  sender.heard = now;
  if (old) {
    return true;  // overtaken on its way
  }
  sender.address = message.address;
  sender.sequence = message.sequence;
  this->hooks.take_shares(now, message.host, message.shares);
  for (const LeavingWorker& worker : message.leaving) {
    this->hooks.take_leaving(now, worker);
  }
  return true;
}

void Neighbours::NoteChange(Instant now) {
  this->next_state = std::min(this->next_state,
                              std::max(now, this->last_state + kStateSpacing));
}

void Neighbours::NoteLeaving(Instant now, const LeavingWorker& worker) {
  this->leaving.push_back({worker, now + kLeavingTold});
  this->next_state = std::min(this->next_state, now);
}

void Neighbours::Tick(Instant now) {
  if (this->settings.address.empty()) {
    return;
  }
  if (this->next_question <= now) {
    const bool alone = this->known.empty();
    this->next_question = now + (alone ? kQuestionEvery : kQuestionEveryKnown);
    for (const std::string& seed : this->settings.seeds) {
      if (seed != this->settings.address) {
        this->SendTo(seed, this->Make(true));
      }
    }
    for (auto it = this->asked_here.begin(); it != this->asked_here.end();) {
      it = now - it->second.heard > kAskerLife ? this->asked_here.erase(it)
                                               : std::next(it);
    }
  }
  if (this->next_state > now) {
    return;
  }
  this->last_state = now;
  this->next_state = now + kStateEvery;
  for (auto it = this->known.begin(); it != this->known.end();) {
    if (now - it->second.heard <= kSilence) {
      ++it;
      continue;
    }
    this->hooks.forget(it->first);
    it = this->known.erase(it);
  }
  this->leaving.erase(
      std::remove_if(this->leaving.begin(), this->leaving.end(),
                     [now](const Told& told) { return told.until < now; }),
      this->leaving.end());
  if (this->known.empty()) {
    return;
  }
  NeighbourMessage message = this->Make(false);
  message.shares = this->hooks.shares();
  for (const Told& told : this->leaving) {
    message.leaving.push_back(told.worker);
  }
  for (const auto& [host, neighbour] : this->known) {
    this->SendTo(neighbour.address, message);
  }
}

Instant Neighbours::NextWakeup() const {
  return this->settings.address.empty()
             ? kNever
             : std::min(this->next_state, this->next_question);
}

}  // namespace limpetlink
