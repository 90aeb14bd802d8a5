#include "operators/detail/host_queries.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "base/base.h"
#include "decoding/decoding.h"

namespace limpetlink {
namespace {

constexpr std::chrono::seconds kHostTimeout{5};
constexpr int kFirstFailureStatus = 300;

HttpResponse SendRequest(const HttpExchange& exchange, const HostAccess& access,
                         std::string_view method, std::string_view path) {
  HttpCall call;
  call.id = CallId{1};
  call.method = std::string(method);
  call.url = "http://" + access.address + std::string(path);
  call.total_timeout = kHostTimeout;
  if (!access.operator_key.empty()) {
    call.headers.push_back({"Authorization", "Bearer " + access.operator_key});
  }
  return exchange(call);
}

absl::Status StatusOf(const HttpResponse& response) {
  if (response.end != HttpEnd::kComplete) {
    return MakeStatus(ErrorCode::kUpstreamUnreachable, ToText(response.end));
  }
  if (response.status >= kFirstFailureStatus) {
    return MakeStatus(ErrorCode::kUpstreamRefused,
                      absl::StrCat(response.status, " ", response.body));
  }
  return absl::OkStatus();
}

}  // namespace

HostStatus QueryStatus(const HttpExchange& exchange, const HostAccess& access) {
  HostStatus status;
  status.address = access.address;
  const HttpResponse response =
      SendRequest(exchange, access, "GET", "/v1/status");
  const absl::Status call_status = StatusOf(response);
  if (!call_status.ok()) {
    status.error = absl::StrCat(call_status.message());
    return status;
  }
  const auto json = DecodeJsonOrDiscard(response.body);
  if (!json.is_object()) {
    status.error = "the response is malformed";
    return status;
  }
  try {
    status.host = json.value("host", std::string());
    status.fleet_version = json.value("fleet_version", std::uint64_t{0});
    status.ready = json.value("ready", false);
    status.draining = json.value("draining", false);
    status.body = response.body;
    status.available = true;
  } catch (const nlohmann::json::exception&) {
    status.error = "the response is malformed";
  }
  return status;
}

absl::StatusOr<std::string> QueryRequests(const HttpExchange& exchange,
                                          const HostAccess& access) {
  const HttpResponse response =
      SendRequest(exchange, access, "GET", "/v1/requests");
  const absl::Status call_status = StatusOf(response);
  if (!call_status.ok()) {
    return call_status;
  }
  return response.body;
}

absl::Status SendDrainRequest(const HttpExchange& exchange,
                              const HostAccess& access) {
  return StatusOf(SendRequest(exchange, access, "POST", "/v1/drain"));
}

std::vector<std::string> SplitAddresses(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view part = text.substr(0, comma);
    if (!part.empty()) {
      parts.emplace_back(part);
    }
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return parts;
}

}  // namespace limpetlink
