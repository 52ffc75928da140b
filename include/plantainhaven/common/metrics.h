#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace plantainhaven {

// Counters, gauges and latency summaries of one process. Thread-safe. Names have the
// form plantainhaven_NAME; a counter may have one label, for example reason="stale_view".
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds `aAmount` to a counter, which is created at zero on first use.
  void Count(std::string_view aName,
             std::string_view aLabel = {},
             std::string_view aLabelValue = {},
             std::uint64_t aAmount = 1);
  // Sets a gauge.
  void Set(std::string_view aName, double aValue);
  // Adds one sample to a summary (count, mean, maximum, p50 and p99 by
  // Boost.Accumulators), which Text() writes in seconds.
  void Observe(std::string_view aName, std::chrono::nanoseconds aSample);
  // Returns the value of a counter; 0 when it doesn't exist.
  std::uint64_t Counter(std::string_view aName,
                        std::string_view aLabel = {},
                        std::string_view aLabelValue = {}) const;
  // Returns all metrics in the Prometheus text format for /metrics, sorted by name.
  std::string Text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
