#pragma once

#include "api/call.h"
#include "plantainhaven/api/resource_service.h"

#include <memory>

namespace plantainhaven {

// Answers GET /v1/watch: changes after a revision as JSON lines, one WatchEvent for
// each revision in order, also when a filter by kind leaves the event empty.
class WatchHandler
{
public:
  WatchHandler(ResourceService& aService, std::size_t aMostWatches);

  HttpResponse Watch(const Call& aCall);
  // Makes open watches end at their next turn and refuses new ones.
  void End();

private:
  struct Limits;

  ResourceService& service;
  std::shared_ptr<Limits> limits;
};

} // namespace plantainhaven
