#pragma once

#include "edge/net.h"
#include "edge/traffic_state.h"
#include "plantainhaven/policy/placing/crash_ledger.h"

#include <chrono>
#include <cstdint>
#include <string>

#include "peer.pb.h"

namespace plantainhaven::edge {

// Records the attempt of a request in the ledger of requests that end servers. `aDigest` is
// the request's.
Task<void>
RecordBrokenAttempt(TrafficState& aState,
                    std::string aRequestId,
                    placing::RequestDigest aDigest,
                    BackendServer aServer);

// Records that a server has answered the request.
void
RecordAnswer(TrafficState& aState, const placing::RequestDigest& aDigest);

// Writes what this VM knows of such requests into its report to other VMs.
void
FillCrashes(placing::CrashLedger& aLedger, VmReport& aReport);

// Applies the report of another VM.
void
MergeCrashes(placing::CrashLedger& aLedger, const VmReport& aReport);

// Counts a request as running in the ledger while it exists.
class RunningRequest
{
public:
  RunningRequest(placing::CrashLedger& aLedger, placing::RequestDigest aDigest)
    : ledger(aLedger)
    , digest(std::move(aDigest))
  {
    this->ledger.OnSent(this->digest);
  }
  ~RunningRequest() { this->ledger.OnEnded(this->digest); }
  RunningRequest(const RunningRequest&) = delete;
  RunningRequest& operator=(const RunningRequest&) = delete;

private:
  placing::CrashLedger& ledger;
  placing::RequestDigest digest;
};

} // namespace plantainhaven::edge
