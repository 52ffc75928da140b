#pragma once

#include "plantainhaven/common/result.h"
#include "plantainhaven/platform/memory_platform.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "platform.pb.h"

namespace plantainhaven {

struct PlatformServerOptions
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  // Threads that serve calls; a call held by a fault keeps one.
  std::size_t threads = 64;
  // Wait before every answer, on top of the delay of a fault.
  std::chrono::milliseconds answerDelay{ 0 };
};

// Serves a MemoryPlatform over HTTP in the form that HttpPlatform speaks:
//   POST /table/commit, GET /table/row?key=, GET /table/rows?prefix=&after=&limit=,
//   PUT, GET and DELETE /objects/NAME, GET /vms.
// Tests and operators of the stand-in also use, untouched by faults:
//   GET and PUT /fault, GET and DELETE /stats, PUT and DELETE /vms/NAME.
// Calls held by faults leave eight threads free; further ones are cut.
class PlatformServer
{
public:
  // The platform must outlive the server.
  PlatformServer(PlatformServerOptions aOptions, MemoryPlatform& aPlatform);
  // Stops at once if it still runs.
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Begins to serve; fails when the address is in use.
  Result<Done> Start();
  // Ends the waits of faults, waits up to `aLongest` for calls in flight and stops.
  void Stop(std::chrono::milliseconds aLongest);
  // What has been asked for since the start or the last reset.
  StandinStats Stats() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
