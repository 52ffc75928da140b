#pragma once

#include "plantainhaven/common/metrics.h"
#include "plantainhaven/http/message.h"
#include "programs/plantain-lookupd/published_policy.h"

#include <string>

namespace plantainhaven {

// Handles plantain-lookupd's HTTP requests according to the published policy. Thread-safe.
//
//   GET /v1/lookup?service=NAME[&client=IP]   200 LookupAnswer; 400, 404, 503 ErrorAnswer
//   GET /.plantainhaven/health                200 while fresh, else 503
//   GET /.plantainhaven/metrics               counters and gauges
class LookupHandler
{
public:
  LookupHandler(const PublishedPolicy& aPolicy, Metrics& aMetrics);

  HttpResponse Handle(const HttpRequest& aRequest) const;

private:
  using Member = HttpResponse (LookupHandler::*)(const HttpRequest&) const;
  struct Endpoint
  {
    const char* path;
    Member answer;
  };
  static const Endpoint kEndpoints[];

  HttpResponse LookUp(const HttpRequest& aRequest) const;
  HttpResponse Health(const HttpRequest& aRequest) const;
  HttpResponse ShowMetrics(const HttpRequest& aRequest) const;
  HttpResponse Answer(const LookupDecision& aDecision) const;
  HttpResponse Refuse(LookupRefusal aRefusal, const std::string& aService) const;
  void CountOutcome(const char* aOutcome) const;

  const PublishedPolicy& policy;
  Metrics& metrics;
};

} // namespace plantainhaven
