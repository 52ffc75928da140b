#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace plantainhaven::placing {

// The rate limit of a backend server as this VM knows it, for reports to other VMs.
struct KnownLimit
{
  // Hash of the server's id.
  std::uint64_t server = 0;
  // Requests per second of all VMs together; std::nullopt if the limit was withdrawn.
  std::optional<double> rate;
  // When the server last stated this, and when it began to.
  BootTime statedAt{};
  BootTime changedAt{};
};

// Selects the rate limits for each report of this VM: those that changed a short time ago, and a
// bounded number of the others in turn, so that a VM that missed a report learns of them later. Not
// thread-safe; reads no clock.
class LimitRotation
{
public:
  // Limits in a report beside those that changed lately.
  static constexpr std::size_t kMaxOthers = 32;
  // A change is in every report for this long.
  static constexpr std::chrono::seconds kNewsTime{ 3 };

  std::vector<KnownLimit> Next(const std::vector<KnownLimit>& aKnown, BootTime aNow);

private:
  std::size_t position = 0;
};

} // namespace plantainhaven::placing
