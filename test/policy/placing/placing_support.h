#pragma once

#include "plantainhaven/policy/placing/placement.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace plantainhaven::placing {

// Returns a time of the test clock.
inline BootTime
At(std::chrono::milliseconds aTime)
{
  return BootTime{} + std::chrono::hours(1) + aTime;
}

// Creates a warm server of service "portal" with three slots.
inline BackendServer
MakeServer(const std::string& aId,
           const std::string& aRegion = "north",
           const std::string& aDomain = "north-a")
{
  BackendServer server;
  server.id = aId;
  server.service = "portal";
  server.address = "10.0.0.1";
  server.port = 80;
  server.region = aRegion;
  server.failureDomain = aDomain;
  server.slots = 3;
  server.startedAt += std::chrono::milliseconds(1);
  return server;
}

inline PlacingRequest
MakeRequest(std::uint64_t aObject)
{
  PlacingRequest request;
  request.service = "portal";
  request.object = aObject;
  return request;
}

} // namespace plantainhaven::placing
