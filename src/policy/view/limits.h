#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>

namespace plantainhaven {

// The rates of two clocks differ by at most 1 / kClockDriftDivisor.
constexpr std::int64_t kClockDriftDivisor = 1000;

// An acknowledgement counts towards acceptance for this long after its poll was sent.
constexpr Nanoseconds kAcknowledgementWindow = std::chrono::seconds(2);

// A restarted voter resumes voting on evidence from other voters only if the evidence is
// from at least this long after its start. This exceeds the acknowledgement window by more
// than the clock drift, so that acknowledgements from its earlier processes have expired.
constexpr Nanoseconds kRecoveryWait = std::chrono::milliseconds(2500);

// Poll interval while a write through this VM waits for acknowledgements.
constexpr Nanoseconds kWritePollInterval = std::chrono::milliseconds(50);

// A VM that is no voter polls one voter every this many poll intervals.
constexpr int kObserverPollIntervals = 2;

// A member that the platform has never listed is considered dead after it has sent no
// message for this long.
constexpr Nanoseconds kNeverListedDeadAfter = std::chrono::seconds(60);

// A gap between two events above which this process is assumed to have been paused.
constexpr Nanoseconds kPauseGap = std::chrono::seconds(1);

} // namespace plantainhaven
