#include <algorithm>
#include <cmath>
#include <utility>

#include "limits/limits.h"

namespace limpetlink {
namespace {

// Notices that a host repeats of its own accord.
constexpr Duration kRecentlyHeard = std::chrono::seconds(5);

std::uint64_t OrderOf(const UpstreamId& worker, const std::string& member) {
  return StableHash(worker.value + "/" + member);
}

}  // namespace

WorkerAllowances::WorkerAllowances(
    HostId self, FailureDomainId domain, AllowanceSettings settings,
    std::function<std::uint32_t(const UpstreamId&)> in_progress)
    : self(std::move(self)),
      domain(std::move(domain)),
      settings(settings),
      members{{this->self}, {this->domain}},
      in_progress(std::move(in_progress)) {}

void WorkerAllowances::SetMembers(Instant now, FleetMembers members) {
  if (this->members == members) {
    return;
  }
  for (auto& [worker, entry] : this->entries) {
    this->Refill(now, worker, &entry);
  }
  this->members = std::move(members);
}

bool WorkerAllowances::Apply(Instant now, const LimitNotice& notice,
                             const FailureDomainId& domain, bool heard_here) {
  const Instant sent_at = now - notice.sent_age;
  const Instant heard_at = now - notice.heard_age;
  const auto found = this->entries.find(notice.worker);
  if (found == this->entries.end()) {
    if (!notice.per_second.has_value()) {
      return false;
    }
    this->entries[notice.worker] = {notice.started_at,
                                    domain,
                                    notice.per_second,
                                    *notice.per_second,
                                    sent_at,
                                    heard_at,
                                    {},
                                    heard_here,
                                    0,
                                    now};
    return true;
  }
  Entry& entry = found->second;
  const bool was_limited = entry.per_second.has_value();
  const bool applies = notice.per_second.has_value()
                           ? (was_limited ? heard_at > entry.heard_at
                                          : heard_at >= entry.sent_at)
                           : sent_at > entry.heard_at + this->settings.transit;
  if (!applies || (!was_limited && !notice.per_second.has_value())) {
    return false;
  }
  this->Refill(now, notice.worker, &entry);
  const bool changed = entry.per_second != notice.per_second;
  entry.per_second = notice.per_second;
  entry.sent_at = sent_at;
  entry.heard_at = heard_at;
  entry.heard_here = heard_here;
  if (notice.per_second.has_value()) {
    entry.last_per_second = *notice.per_second;
  } else {
    entry.ended_at = now;
  }
  return changed;
}

bool WorkerAllowances::NoteBrittleness(Instant now, const WorkerRoom& worker,
                                       Instant sent_at,
                                       std::optional<double> max_rejections) {
  const auto found = this->rooms.find(worker.worker);
  if (!max_rejections.has_value()) {
    if (found != this->rooms.end() && sent_at > found->second.heard_at) {
      this->rooms.erase(found);
    }
    return false;  // others find out likewise
  }
  const bool is_new = found == this->rooms.end() ||
                      found->second.worker.started_at != worker.started_at ||
                      !found->second.heard_here;
  Room& room = this->rooms[worker.worker];
  if (is_new) {
    room = found == this->rooms.end() ? Room{} : room;
    room.worker = worker;
  }
  const bool is_cautious = *max_rejections < this->settings.few_rejections;
  room.max_room = std::max(
      1.0, std::floor((is_cautious ? this->settings.cautious_share : 1.0) *
                      static_cast<double>(worker.slots)));
  room.heard_at = now;
  room.heard_here = true;
  return is_new;
}

bool WorkerAllowances::NoteRefusal(Instant now, const UpstreamId& worker) {
  const auto found = this->rooms.find(worker);
  if (found == this->rooms.end()) {
    return false;
  }
  Room& room = found->second;
  const double before = room.refused_at.has_value() ? room.room : room.max_room;
  // Refusals that follow each other closely have one cause.
  const bool is_first = !room.refused_at.has_value() ||
                        now - *room.refused_at >= this->settings.refusal_hold;
  room.room = std::max(
      1.0, is_first ? std::floor(this->RoomAt(now, room)) - 1 : before);
  room.refused_at = now;
  return true;
}

bool WorkerAllowances::ApplyRoom(Instant now, const WorkerRoom& worker,
                                 const RoomNotice& notice) {
  const Instant heard_at = now - notice.heard_age;
  if (notice.heard_age >= this->settings.brittle_lifetime) {
    return false;
  }
  const auto found = this->rooms.find(notice.worker);
  const bool is_new = found == this->rooms.end() ||
                      found->second.worker.started_at != notice.started_at;
  Room& room = this->rooms[notice.worker];
  if (is_new) {
    room = Room{};
    room.worker = worker;
    room.max_room = std::max(1.0, static_cast<double>(worker.slots));
  }
  room.heard_at = std::max(room.heard_at, heard_at);
  if (!notice.refused_age.has_value()) {
    return is_new;
  }
  const Instant refused_at = now - *notice.refused_age;
  const bool is_later = !room.refused_at.has_value() ||
                        refused_at > *room.refused_at + this->settings.transit;
  if (is_later) {
    room.refused_at = refused_at;
    room.room = std::clamp(notice.room, 1.0, std::max(1.0, room.max_room));
  }
  return is_new || is_later;
}

double WorkerAllowances::RoomAt(Instant now, const Room& room) const {
  if (!room.refused_at.has_value()) {
    return room.max_room;
  }
  const Duration since = now - *room.refused_at - this->settings.refusal_hold;
  if (since < Duration{0}) {
    return 0;
  }
  return std::min(
      room.max_room,
      room.room + ToSeconds(since) * this->settings.room_per_second);
}

bool WorkerAllowances::HasRoom(Instant now, const UpstreamId& worker) const {
  const auto found = this->rooms.find(worker);
  if (found == this->rooms.end() || !this->in_progress ||
      now - found->second.heard_at >= this->settings.brittle_lifetime) {
    return true;
  }
  // What other domains have sent is known too late, so each has a part of the
  // room.
  const Room& room = found->second;
  const auto whole = static_cast<std::size_t>(this->RoomAt(now, room));
  return this->in_progress(worker) <
         this->DomainPartOf(worker, room.worker.domain, whole).quota;
}

std::vector<RoomNotice> WorkerAllowances::ExportRooms(
    Instant now, bool include_received) const {
  std::vector<RoomNotice> notices;
  for (const auto& [worker, room] : this->rooms) {
    const Duration age = now - room.heard_at;
    if (age >= this->settings.brittle_lifetime ||
        !(room.heard_here || include_received)) {
      continue;
    }
    RoomNotice notice{worker, room.worker.started_at, room.room, std::nullopt,
                      age};
    if (room.refused_at.has_value()) {
      notice.refused_age = now - *room.refused_at;
    }
    notices.push_back(std::move(notice));
  }
  std::sort(notices.begin(), notices.end(),
            [](const RoomNotice& a, const RoomNotice& b) {
              return a.refused_age.value_or(Duration::max()) <
                     b.refused_age.value_or(Duration::max());
            });
  return notices;
}

void WorkerAllowances::Hold(Instant now, const UpstreamId& worker,
                            Instant until) {
  Pause& pause = this->pauses[worker];
  if (pause.until <= now) {
    pause = Pause{};
  }
  pause.until = std::max(pause.until, until);
}

Instant WorkerAllowances::HeldUntil(const UpstreamId& worker) const {
  const auto found = this->pauses.find(worker);
  return found == this->pauses.end() ? Instant{} : found->second.until;
}

std::optional<double> WorkerAllowances::RateOf(Instant now,
                                               const Entry& entry) const {
  if (entry.per_second.has_value()) {
    return std::max(*entry.per_second, this->settings.min_per_second);
  }
  const Duration since = now - entry.ended_at;
  if (since >= this->settings.ramp) {
    return std::nullopt;
  }
  return std::max(entry.last_per_second, 1.0) *
         std::exp2(ToSeconds(since) / ToSeconds(this->settings.ramp_doubling));
}

WorkerAllowances::DomainPart WorkerAllowances::DomainPartOf(
    const UpstreamId& worker, const FailureDomainId& worker_domain,
    std::size_t requests) const {
  // The worker's own domain comes first, the others in the order of a hash.
  const auto rank = [&](const FailureDomainId& each) {
    return std::pair(each != worker_domain, OrderOf(worker, each.value));
  };
  const std::size_t index = static_cast<std::size_t>(
      std::count_if(this->members.domains.begin(), this->members.domains.end(),
                    [&](const FailureDomainId& each) {
                      return rank(each) < rank(this->domain);
                    }));
  const std::size_t domains = std::min(this->members.domains.size(), requests);
  if (index >= domains) {
    return {domains, 0};
  }
  return {domains, requests / domains + (index < requests % domains ? 1 : 0)};
}

double WorkerAllowances::ShareOf(const UpstreamId& worker, const Entry& entry,
                                 double rate) const {
  const auto senders = static_cast<std::size_t>(
      std::min(this->settings.min_senders +
                   std::floor(this->settings.senders_per_rate * rate),
               1e6));
  const auto [domains, quota] =
      this->DomainPartOf(worker, entry.domain, senders);
  if (quota == 0) {
    return 0;
  }
  const std::size_t hosts = std::min(this->members.hosts.size(), quota);
  const std::uint64_t own_order = OrderOf(worker, this->self.value);
  const std::size_t host_index = static_cast<std::size_t>(
      std::count_if(this->members.hosts.begin(), this->members.hosts.end(),
                    [&](const HostId& each) {
                      return OrderOf(worker, each.value) < own_order;
                    }));
  return host_index >= hosts ? 0 : rate / static_cast<double>(domains * hosts);
}

void WorkerAllowances::Refill(Instant now, const UpstreamId& worker,
                              Entry* entry) const {
  // During the ramp the rate at the last refill counts, which is lower.
  const std::optional<double> rate =
      this->RateOf(std::max(entry->refilled, entry->ended_at), *entry);
  if (rate.has_value() && now > entry->refilled) {
    const double share = this->ShareOf(worker, *entry, *rate);
    const double burst = std::max(1.0, share * ToSeconds(this->settings.burst));
    entry->tokens = std::min(
        burst, entry->tokens + share * ToSeconds(now - entry->refilled));
  }
  entry->refilled = std::max(entry->refilled, now);
}

bool WorkerAllowances::MaySend(Instant now, const UpstreamId& worker) {
  if (this->HeldUntil(worker) > now || !this->HasRoom(now, worker)) {
    return false;
  }
  const auto found = this->entries.find(worker);
  if (found == this->entries.end() ||
      !this->RateOf(now, found->second).has_value()) {
    return true;
  }
  this->Refill(now, worker, &found->second);
  return found->second.tokens >= 1;
}

bool WorkerAllowances::MaySendCommand(Instant now,
                                      const UpstreamId& worker) const {
  const auto found = this->pauses.find(worker);
  return found == this->pauses.end() || found->second.until <= now ||
         found->second.sent < this->settings.max_commands_in_pause;
}

void WorkerAllowances::RecordSend(Instant now, const UpstreamId& worker) {
  if (const auto pause = this->pauses.find(worker);
      pause != this->pauses.end() && pause->second.until > now) {
    ++pause->second.sent;
  }
  const auto found = this->entries.find(worker);
  if (found != this->entries.end()) {
    this->Refill(now, worker, &found->second);
    found->second.tokens -= 1;
  }
}

std::optional<double> WorkerAllowances::FleetRate(
    Instant now, const UpstreamId& worker) const {
  const auto found = this->entries.find(worker);
  return found == this->entries.end() ? std::nullopt
                                      : this->RateOf(now, found->second);
}

double WorkerAllowances::MeanHostRate(double fleet_rate) const {
  return fleet_rate / static_cast<double>(this->members.hosts.size() *
                                          this->members.domains.size());
}

std::vector<LimitedWorker> WorkerAllowances::Limited(Instant now) const {
  std::vector<LimitedWorker> limited;
  for (const auto& [worker, entry] : this->entries) {
    const std::optional<double> rate = this->RateOf(now, entry);
    if (rate.has_value()) {
      limited.push_back({worker, *rate, this->ShareOf(worker, entry, *rate),
                         !entry.per_second.has_value(), now - entry.heard_at});
    }
  }
  return limited;
}

std::vector<LimitNotice> WorkerAllowances::Export(Instant now,
                                                  bool include_received) const {
  std::vector<LimitNotice> notices;
  for (const auto& [worker, entry] : this->entries) {
    const bool own = entry.heard_here && now - entry.heard_at < kRecentlyHeard;
    if (own || include_received) {
      notices.push_back({worker, entry.started_at, entry.per_second,
                         now - entry.sent_at, now - entry.heard_at});
    }
  }
  std::sort(notices.begin(), notices.end(),
            [](const LimitNotice& a, const LimitNotice& b) {
              return a.heard_age < b.heard_age;
            });
  return notices;
}

void WorkerAllowances::Remove(const UpstreamId& worker) {
  this->entries.erase(worker);
  this->pauses.erase(worker);
  this->rooms.erase(worker);
}

}  // namespace limpetlink
