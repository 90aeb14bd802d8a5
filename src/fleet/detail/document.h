/// @file
/// @brief The fleet document's types.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief A failure domain and the region it stands in.
struct FailureDomain {
  FailureDomainId id;
  std::string region;
};

/// @brief An organisation, its keys and its share.
struct Organisation {
  OrganisationId id;
  std::vector<std::string> key_digests;  ///< SHA-256 of each key, hexadecimal
  double weight = 1.0;  ///< share of service relative to the others, above 0
  std::uint32_t max_concurrent = 64;   ///< requests in progress over all hosts
  double requests_per_second = 100.0;  ///< over all hosts
};

/// @brief A model that engines serve.
struct Model {
  std::string name;
  std::string version;                ///< wanted on every engine of the model
  std::vector<std::string> adapters;  ///< wanted on every engine of the model
  std::uint32_t max_output_tokens = 32768;
};

/// @brief What a worker is.
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
  bool checks_fencing = true;  ///< refuses an order with an old fencing number
};

/// @brief How a request is queued: short verdicts keep reserved headroom.
enum class RequestClass { kVerdict, kDraft };

template <>
struct EnumTable<RequestClass> {
  static constexpr EnumName<RequestClass> kRows[] = {
      {RequestClass::kVerdict, "verdict"}, {RequestClass::kDraft, "draft"}};
};

/// @brief What a caller gets when the engine of a begun stream is lost.
enum class OnLoss {
  kRestart,  ///< a restart event, then a new generation from offset 0
  kEnd,      ///< an honest end that keeps what arrived
};

template <>
struct EnumTable<OnLoss> {
  static constexpr EnumName<OnLoss> kRows[] = {{OnLoss::kRestart, "restart"},
                                               {OnLoss::kEnd, "end"}};
};

/// @brief How requests for a model are served; chosen by the caller's X-Route
/// header, else by the
///        first route of the model.
struct Route {
  std::string name;
  std::string model;
  RequestClass request_class = RequestClass::kDraft;
  OnLoss on_loss = OnLoss::kRestart;
  Duration default_deadline{std::chrono::seconds(600)};
  Duration max_deadline{std::chrono::seconds(3600)};
};

/// @brief One rule of a service: which requests it covers and whether they may
/// be repeated. The
///        first rule that matches decides; no rule means not idempotent.
struct ServiceRule {
  std::string method;       ///< "GET", "POST", ... or "*"
  std::string path_prefix;  ///< matched against the path below the service
  bool idempotent = false;
};

/// @brief An application service.
struct Service {
  std::string name;
  std::vector<ServiceRule> rules;
  Duration default_deadline{std::chrono::seconds(30)};
  Duration max_deadline{std::chrono::seconds(300)};
};

/// @brief What the operator wants spared most; each in [0, 1].
struct Weights {
  double stall = 0.5;
  double preemption = 0.5;
  double tail = 0.5;
};

/// @brief Everything that operators decide. The object's version at the
/// platform is kept beside it.
struct FleetDocument {
  std::string name;
  std::string change_id;  ///< unique for each change; resolves a lost answer
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
