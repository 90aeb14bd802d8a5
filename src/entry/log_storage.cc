#include "entry/detail/log_storage.h"

#include <utility>

namespace limpetlink {
namespace {

const std::string& Kind() {
  static const std::string kind = "idempotency";
  return kind;
}

constexpr std::uint32_t kPageRows = 1000;

LogOperationEnd EndOf(const PlatformResult& result) {
  const bool write =
      result.verb == PlatformVerb::kPut || result.verb == PlatformVerb::kDelete;
  switch (result.status) {
    case PlatformStatus::kOk:
      break;
    case PlatformStatus::kAbsent:
      return LogOperationEnd::kAbsent;
    case PlatformStatus::kConflict:
      return LogOperationEnd::kExists;
    case PlatformStatus::kUnknown:
      return write ? LogOperationEnd::kLost : LogOperationEnd::kUnavailable;
    case PlatformStatus::kUnchanged:
    case PlatformStatus::kThrottled:
    case PlatformStatus::kUnavailable:
    case PlatformStatus::kRefused:
      return LogOperationEnd::kUnavailable;
  }
  switch (result.verb) {
    case PlatformVerb::kPut:
      return LogOperationEnd::kCreated;
    case PlatformVerb::kDelete:
      return LogOperationEnd::kDeleted;
    case PlatformVerb::kList:
      return LogOperationEnd::kListed;
    default:
      return LogOperationEnd::kFound;
  }
}

}  // namespace

LogStorage::LogStorage(PlatformClient& platform) : platform(platform) {}

void LogStorage::Start(Instant now, const LogCreate& create) {
  const PlatformOp op = this->platform.Put(
      now, {Kind(), create.name}, create.bytes, WriteCondition::IfAbsent());
  this->open.emplace(op, Open{create.operation, {}, {}});
}

void LogStorage::Start(Instant now, const LogRead& read) {
  const PlatformOp op = this->platform.Get(now, {Kind(), read.name});
  this->open.emplace(op, Open{read.operation, {}, {}});
}

void LogStorage::Start(Instant now, const LogList& list) {
  this->NextPage(now, Open{list.operation, list.prefix, {}});
}

void LogStorage::Start(Instant now, const LogDelete& remove) {
  const PlatformOp op = this->platform.Delete(now, {Kind(), remove.name}, {});
  this->open.emplace(op, Open{remove.operation, {}, {}});
}

void LogStorage::NextPage(Instant now, Open list) {
  const std::string after =
      list.names.empty() ? std::string() : list.names.back();
  const PlatformOp op =
      this->platform.List(now, Kind(), list.prefix, after, kPageRows);
  this->open.emplace(op, std::move(list));
}

std::vector<LogOperationResult> LogStorage::Take(Instant now,
                                                 const PlatformResult& result) {
  const auto found = this->open.find(result.op);
  if (found == this->open.end()) {
    return {};
  }
  Open ended = std::move(found->second);
  this->open.erase(found);
  for (const ObjectEntry& entry : result.objects) {
    ended.names.push_back(entry.name);
  }
  if (result.objects.size() >= kPageRows) {
    this->NextPage(now, std::move(ended));
    return {};
  }
  return {
      {ended.operation, EndOf(result), result.bytes, std::move(ended.names)}};
}

}  // namespace limpetlink
