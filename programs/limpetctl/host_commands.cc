#include <algorithm>

#include "absl/strings/str_cat.h"
#include "programs/limpetctl/commands.h"

namespace limpetlink {
namespace {

using Json = nlohmann::ordered_json;

/// @brief Replaces the port of an address. The host list holds the peer port,
/// which differs from the port for callers.
std::string WithPort(const std::string& address, std::uint64_t port) {
  return absl::StrCat(address.substr(0, address.rfind(':')), ":", port);
}

absl::StatusOr<std::vector<std::string>> HostAddresses(
    const CtlContext& context) {
  const std::vector<std::string> given = SplitAddresses(context.settings.hosts);
  if (!given.empty()) {
    return given;
  }
  PlatformAccess platform(context.settings.platform, context.exchange,
                          context.hooks);
  const StoreResult listed = platform.Hosts();
  if (listed.status != StoreStatus::kOk) {
    return MakeStatus(ErrorCode::kPlatformUnavailable, ToText(listed.status));
  }
  std::vector<std::string> addresses;
  for (const ListedHost& host : listed.hosts) {
    if (host.role == ListedRole::kEntry) {
      addresses.push_back(WithPort(host.address, context.settings.host_port));
    }
  }
  return addresses;
}

HostAccess AccessOf(const CtlContext& context, const std::string& address) {
  return {address, context.settings.operator_key};
}

std::string StatusLine(const HostStatus& status) {
  if (!status.available) {
    return absl::StrCat(status.address, "  no response: ", status.error, "\n");
  }
  const char* state = "not ready";
  if (status.draining) {
    state = "draining";
  } else if (status.ready) {
    state = "ready";
  }
  return absl::StrCat(status.address, "  ", status.host, "  version ",
                      status.fleet_version, "  ", state, "\n");
}

void AddHost(const HostStatus& status, CommandResult* result) {
  result->text += StatusLine(status);
  Json row = {{"address", status.address}, {"answered", status.available}};
  if (status.available) {
    row["status"] = Json::parse(status.body, nullptr, false);
  } else {
    row["problem"] = status.error;
    result->code = ExitCode::kFailed;
  }
  result->json["hosts"].push_back(std::move(row));
}

std::string RequestLine(const std::string& address, const Json& row) {
  std::string line = address;
  for (const auto& member : row.items()) {
    const Json& value = member.value();
    absl::StrAppend(
        &line, "  ", member.key(), "=",
        value.is_string() ? value.get<std::string>() : value.dump());
  }
  return line + "\n";
}

}  // namespace

CommandResult Status(const CtlContext& context) {
  if (!context.operands.empty()) {
    return UsageError("status takes no operands");
  }
  const auto addresses = HostAddresses(context);
  if (!addresses.ok()) {
    return Failure(addresses.status());
  }
  CommandResult result;
  result.json = {{"hosts", Json::array()}};
  std::uint64_t oldest = UINT64_MAX;
  std::uint64_t newest = 0;
  for (const std::string& address : *addresses) {
    const HostStatus status =
        QueryStatus(context.exchange, AccessOf(context, address));
    AddHost(status, &result);
    if (status.available) {
      oldest = std::min(oldest, status.fleet_version);
      newest = std::max(newest, status.fleet_version);
    }
  }
  const bool uniform = oldest == newest && result.code == ExitCode::kOk;
  result.json["uniform"] = uniform;
  if (uniform) {
    absl::StrAppend(&result.text, "all hosts are at version ", newest, "\n");
  }
  return result;
}

CommandResult Requests(const CtlContext& context) {
  if (!context.operands.empty()) {
    return UsageError("requests takes no operands");
  }
  const auto addresses = HostAddresses(context);
  if (!addresses.ok()) {
    return Failure(addresses.status());
  }
  CommandResult result;
  result.json = {{"hosts", Json::array()}};
  for (const std::string& address : *addresses) {
    const auto body =
        QueryRequests(context.exchange, AccessOf(context, address));
    Json host = {{"address", address}};
    if (!body.ok()) {
      result.code = ExitCode::kFailed;
      host["problem"] = absl::StrCat(body.status().message());
      absl::StrAppend(&result.text, address,
                      "  no response: ", body.status().message(), "\n");
    } else {
      const Json response = Json::parse(*body, nullptr, false);
      const bool listed = response.is_object() && response.contains("requests");
      host["requests"] = listed ? response["requests"] : response;
      for (const Json& row : host["requests"]) {
        result.text += RequestLine(address, row);
      }
    }
    result.json["hosts"].push_back(std::move(host));
  }
  if (result.text.empty()) {
    result.text = "no requests in progress\n";
  }
  return result;
}

CommandResult Drain(const CtlContext& context) {
  if (context.operands.size() != 1) {
    return UsageError("drain takes one host, ip:port");
  }
  const std::string& address = context.operands.front();
  const absl::Status status =
      SendDrainRequest(context.exchange, AccessOf(context, address));
  if (!status.ok()) {
    return Failure(status);
  }
  CommandResult result;
  result.text = address + " is draining\n";
  result.json = {{"address", address}, {"draining", true}};
  return result;
}

}  // namespace limpetlink
