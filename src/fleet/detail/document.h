/// @file
/// @brief Types of the fleet document.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief A failure domain and its region.
struct FailureDomain {
  FailureDomainId id;
  std::string region;
};

/// @brief An organisation with its API keys, share and limits.
struct Organisation {
  OrganisationId id;
  /// SHA-256 digest of each key, hexadecimal.
  std::vector<std::string> key_digests;
  /// Share of service relative to other organisations, above 0.
  double weight = 1.0;
  /// Requests in progress, total over all hosts.
  std::uint32_t max_concurrent = 64;
  double requests_per_second = 100.0;  ///< total over all hosts
};

/// @brief A model that engines serve.
struct Model {
  std::string name;
  std::string version;                ///< required on every engine of the model
  std::vector<std::string> adapters;  ///< required on every engine of the model
  std::uint32_t max_output_tokens = 32768;
};

/// @brief Kind of a worker.
enum class UpstreamKind { kEngine, kService };

template <>
struct EnumTable<UpstreamKind> {
  static constexpr EnumName<UpstreamKind> kRows[] = {
      {UpstreamKind::kEngine, "engine"}, {UpstreamKind::kService, "service"}};
};

/// @brief A worker: a model engine or a worker of an application service.
struct Upstream {
  UpstreamId id;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::string serves;  ///< name of the model or the service
  std::string url;     ///< "http://ip:port"
  FailureDomainId failure_domain;
  /// Whether the worker rejects commands with an outdated fencing number.
  bool checks_fencing = true;
};

/// @brief Queueing class of a request. Short verdicts have reserved headroom.
enum class RequestClass { kVerdict, kDraft };

template <>
struct EnumTable<RequestClass> {
  static constexpr EnumName<RequestClass> kRows[] = {
      {RequestClass::kVerdict, "verdict"}, {RequestClass::kDraft, "draft"}};
};

/// @brief What a caller receives if the engine of a started stream is lost.
enum class OnLoss {
  kRestart,  ///< a restart event followed by a new generation from offset 0
  kEnd,      ///< an explicit end that keeps the output received so far
};

template <>
struct EnumTable<OnLoss> {
  static constexpr EnumName<OnLoss> kRows[] = {{OnLoss::kRestart, "restart"},
                                               {OnLoss::kEnd, "end"}};
};

/// @brief How requests for a model are served. Selected by the caller's X-Route
/// header, otherwise the first route of the model.
struct Route {
  std::string name;
  std::string model;
  RequestClass request_class = RequestClass::kDraft;
  OnLoss on_loss = OnLoss::kRestart;
  Duration default_deadline{std::chrono::seconds(600)};
  Duration max_deadline{std::chrono::seconds(3600)};
};

/// @brief One rule of a service: the requests that it matches and whether they
/// may be repeated. The first matching rule applies; requests without one are
/// not idempotent.
struct ServiceRule {
  std::string method;       ///< "GET", "POST", ... or "*"
  std::string path_prefix;  ///< matched with the path below the service
  bool idempotent = false;
};

/// @brief An application service.
struct Service {
  std::string name;
  std::vector<ServiceRule> rules;
  Duration default_deadline{std::chrono::seconds(30)};
  Duration max_deadline{std::chrono::seconds(300)};
};

/// @brief Relative importance of avoiding stalls, preemptions and tail latency;
/// each in [0, 1].
struct Weights {
  double stall = 0.5;
  double preemption = 0.5;
  double tail = 0.5;
};

/// @brief All operator-controlled configuration. The version of the stored
/// object is kept separately.
struct FleetDocument {
  std::string name;
  /// Unique for each change; identifies a change whose response was lost.
  std::string change_id;
  std::string author;
  std::vector<FailureDomain> failure_domains;
  std::vector<Organisation> organisations;
  std::vector<Model> models;
  std::vector<Service> services;
  std::vector<Upstream> upstreams;
  std::vector<Route> routes;
  Weights weights;
};

}  // namespace limpetlink
