#pragma once

#include "plantainhaven/api/resource_service.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/http/message.h"

#include <cstddef>
#include <memory>
#include <string>

namespace plantainhaven {

// The resource API as a handler for HttpServer. It reads and writes through a
// ResourceService and keeps no state of its own but the number of open watches.
// Every path below /v1 needs the operator's bearer token; /metrics is open.
class ResourceApi
{
public:
  // Watches served at once by default; each of them holds one thread of the server.
  static constexpr std::size_t kMostWatches = 8;

  // `aService` and `aMetrics` must outlive this object and every answer it gave.
  ResourceApi(ResourceService& aService,
              Metrics& aMetrics,
              std::string aOperatorToken,
              std::size_t aMostWatches = kMostWatches);
  ~ResourceApi();
  ResourceApi(const ResourceApi&) = delete;
  ResourceApi& operator=(const ResourceApi&) = delete;

  // Answers one request; safe from several threads at once. Faults become answers
  // with an ErrorAnswer as their body.
  HttpResponse Handle(const HttpRequest& aRequest);
  // Ends all watches within about a second and refuses new ones; call it when the
  // process begins to stop.
  void EndWatches();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
