#pragma once

#include "plantainhaven/load/analysis.h"
#include "plantainhaven/load/directory.h"
#include "plantainhaven/load/schedule.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace plantainhaven {

// One caller: sends one request at a time, keeps a connection to each VM that it has
// used, goes to another VM when a connection fails, and repeats a request only when it
// is idempotent or carries an Idempotency-Key. Not safe for several threads.
class Caller
{
public:
  // `aScenario` must outlive the caller. `aIndex` seeds its choices.
  Caller(const Scenario& aScenario, std::unique_ptr<Directory> aDirectory, std::size_t aIndex);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // Sends a request at once and waits for its end. The sample's times count from
  // `aRunStart`; its latency from the intended start in `aArrival`.
  Sample Send(const Arrival& aArrival, std::chrono::steady_clock::time_point aRunStart);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
