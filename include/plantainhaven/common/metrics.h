#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace plantainhaven {

// Counters, gauges and latency summaries of one process. All methods may be called
// from any thread. Names follow the form plantainhaven_NAME; a counter may carry
// one label, for example reason="stale_view".
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter, which springs into being at zero.
  void Count(std::string_view aName,
             std::string_view aLabel = {},
             std::string_view aLabelValue = {},
             std::uint64_t aAmount = 1);
  // Sets a gauge.
  void Set(std::string_view aName, double aValue);
  // Adds one sample to a summary (Boost.Accumulators: count, mean, max, p50, p99),
  // written in seconds.
  void Observe(std::string_view aName, std::chrono::nanoseconds aSample);
  // Value of a counter, 0 when it was never counted.
  std::uint64_t Counter(std::string_view aName,
                        std::string_view aLabel = {},
                        std::string_view aLabelValue = {}) const;
  // The usual text form for /metrics, sorted by name.
  std::string Text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
