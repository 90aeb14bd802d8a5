#include "requests/detail/request_table.h"

#include <algorithm>

namespace limpetlink {

RequestTable::RequestTable(RequestTableOptions options) : options(options) {}

AdmitResult RequestTable::Admit(Instant now, NewRequest request) {
  if (request.deadline == kNever) {
    return AdmitResult::kNoDeadline;
  }
  if (request.deadline <= now) {
    return AdmitResult::kDeadlinePast;
  }
  if (!(this->highest_id < request.id)) {
    return AdmitResult::kDuplicateId;
  }
  this->highest_id = request.id;
  ++this->counts.admitted;
  this->deadlines.insert({request.deadline, request.id});
  RequestRow row;
  row.id = request.id;
  row.organisation = std::move(request.organisation);
  row.summary = std::move(request.summary);
  row.since = now;
  row.state_since = now;
  row.deadline = request.deadline;
  row.trace_id = std::move(request.trace_id);
  row.streaming = request.streaming;
  this->entries.emplace(this->highest_id, Entry{std::move(row), kNever});
  return AdmitResult::kAdmitted;
}

RequestTable::Entry* RequestTable::SetState(Instant now, RequestId id,
                                            RequestState state,
                                            std::string reason) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return nullptr;
  }
  RequestRow& row = found->second.row;
  if (row.state != state) {
    row.state_since = now;
  }
  row.state = state;
  row.reason = std::move(reason);
  if (state != RequestState::kWaiting) {
    row.position = 0;
    row.expected_wait = Duration(0);
    this->ScheduleNotice(found->second, kNever);
  }
  return &found->second;
}

void RequestTable::ScheduleNotice(Entry& entry, Instant at) {
  if (entry.next_notice != kNever) {
    this->notices.erase({entry.next_notice, entry.row.id});
  }
  entry.next_notice = at;
  if (at != kNever) {
    this->notices.insert({at, entry.row.id});
  }
}

bool RequestTable::SetWaiting(Instant now, RequestId id, std::uint32_t position,
                              Duration expected_wait, std::string reason) {
  Entry* entry =
      this->SetState(now, id, RequestState::kWaiting, std::move(reason));
  if (entry == nullptr) {
    return false;
  }
  entry->row.position = position;
  entry->row.expected_wait = expected_wait;
  const bool sends_notices = entry->row.streaming && !entry->row.caller_left;
  if (sends_notices && entry->next_notice == kNever) {
    this->ScheduleNotice(*entry, now);  // the first comment is due immediately
  }
  return true;
}

bool RequestTable::SetRecording(Instant now, RequestId id, std::string reason) {
  return this->SetState(now, id, RequestState::kRecording, std::move(reason)) !=
         nullptr;
}

bool RequestTable::SetRunning(Instant now, RequestId id, std::string upstream) {
  return this->SetState(now, id, RequestState::kRunning, std::move(upstream)) !=
         nullptr;
}

bool RequestTable::SetCallerLeft(RequestId id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return false;
  }
  found->second.row.caller_left = true;
  this->ScheduleNotice(found->second, kNever);
  return true;
}

FinishResult RequestTable::Finish(RequestId id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    if (this->highest_id < id || id == RequestId{}) {
      return FinishResult::kNeverAdmitted;
    }
    ++this->counts.duplicate_responses;
    return FinishResult::kAlreadyAnswered;
  }
  const bool caller_left = found->second.row.caller_left;
  this->ScheduleNotice(found->second, kNever);
  this->deadlines.erase({found->second.row.deadline, id});
  this->entries.erase(found);
  if (caller_left) {
    ++this->counts.unsent_responses;
    return FinishResult::kCallerLeft;
  }
  ++this->counts.answered;
  return FinishResult::kSend;
}

std::vector<RequestId> RequestTable::Expire(Instant now) {
  std::vector<RequestId> ids;
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const RequestId id = this->deadlines.begin()->second;
    this->deadlines.erase(this->deadlines.begin());
    this->entries.at(id).row.overdue = true;
    ++this->counts.expired;
    ids.push_back(id);
  }
  return ids;
}

std::vector<WaitNotice> RequestTable::DueNotices(Instant now) {
  std::vector<WaitNotice> due;
  while (!this->notices.empty() && this->notices.begin()->first <= now) {
    Entry& entry = this->entries.at(this->notices.begin()->second);
    const RequestRow& row = entry.row;
    due.push_back({row.id, row.position, row.expected_wait, row.reason});
    this->ScheduleNotice(entry, now + this->options.notice_interval);
  }
  return due;
}

Instant RequestTable::NextDeadline() const {
  return this->deadlines.empty() ? kNever : this->deadlines.begin()->first;
}

Instant RequestTable::NextWakeup() const {
  const Instant notice =
      this->notices.empty() ? kNever : this->notices.begin()->first;
  return std::min(notice, this->NextDeadline());
}

std::vector<RequestRow> RequestTable::List(
    const std::optional<OrganisationId>& organisation) const {
  std::vector<RequestRow> rows;
  for (const auto& [id, entry] : this->entries) {
    if (!organisation || entry.row.organisation == *organisation) {
      rows.push_back(entry.row);
    }
  }
  return rows;
}

const RequestRow* RequestTable::Find(RequestId id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second.row;
}

}  // namespace limpetlink
