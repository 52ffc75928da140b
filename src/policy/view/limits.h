#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>

namespace plantainhaven {

// Two clocks may gain or lose up to one part in this many against each other.
constexpr std::int64_t kClockDriftDivisor = 1000;

// An acknowledgement counts towards acceptance for this long after its ask.
constexpr Nanoseconds kAcknowledgementWindow = std::chrono::seconds(2);

// A restarted voter votes on the word of other voters only once that word is dated this
// long after its start. It exceeds the acknowledgement window by more than clocks
// drift, so that acknowledgements of its earlier processes no longer count by then.
constexpr Nanoseconds kRecoveryWait = std::chrono::milliseconds(2500);

// Pace of asks while a write through this VM waits for acknowledgements.
constexpr Nanoseconds kWritePollInterval = std::chrono::milliseconds(50);

// A VM that is no voter asks one voter each time this many ask intervals have passed.
constexpr int kObserverPollIntervals = 2;

// Silence after which a member that the platform's list never named counts as dead.
constexpr Nanoseconds kNeverListedDeadAfter = std::chrono::seconds(60);

// A gap between two ticks after which this process counts as having been paused.
constexpr Nanoseconds kPauseGap = std::chrono::seconds(1);

} // namespace plantainhaven
