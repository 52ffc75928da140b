#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <optional>

namespace plantainhaven::placing {

// The request rate that a backend server accepts from all VMs together, as its responses state
// it to this VM or to another one. The newest statement applies, whichever VM received it. Not
// thread-safe; reads no clock.
class NamedLimit
{
public:
  // A limit isn't withdrawn before the server's responses have named none for this long, because
  // responses that were created before the limit may arrive after those that name it.
  static constexpr std::chrono::milliseconds kWithdrawalDelay{ 1000 };

  // Requests per second; std::nullopt while the server names no limit.
  std::optional<double> Rate() const { return this->rate; }
  // When the server last stated what Rate() returns.
  BootTime StatedAt() const { return this->statedAt; }
  // When Rate() last changed.
  BootTime ChangedAt() const { return this->changedAt; }

  // Applies a response that names the rate, or none, and returns whether Rate() has changed.
  // Statements that are older than the one in force are ignored.
  bool OnStatement(std::optional<double> aRate, BootTime aStatedAt);

private:
  std::optional<double> rate;
  BootTime statedAt{};
  BootTime changedAt{};
};

} // namespace plantainhaven::placing
