#pragma once

#include "plantainhaven/policy/placing/caller_directory.h"
#include "plantainhaven/policy/placing/placement.h"
#include "plantainhaven/policy/placing/poll_coordinator.h"
#include "plantainhaven/policy/placing/quota_ownership.h"
#include "plantainhaven/policy/placing/quota_ring.h"
#include "plantainhaven/policy/placing/rendezvous.h"
#include "plantainhaven/policy/placing/retry_token_bucket.h"
#include "plantainhaven/policy/placing/routing.h"
#include "plantainhaven/policy/placing/server_registry.h"
#include "plantainhaven/policy/placing/token_buckets.h"
#include "plantainhaven/policy/placing/wait_queue.h"

#include <chrono>

namespace plantainhaven::edge {

// The types of the placing module. They are imported one by one, because the enclosing namespace
// declares resources under some of the same names.
using placing::Account;
using placing::AddressesFor;
using placing::Admission;
using placing::AllowedRegions;
using placing::BackendServer;
using placing::BorrowRequest;
using placing::CallerLimits;
using placing::EntryVm;
using placing::HasSpareCapacity;
using placing::IntersectRegions;
using placing::kQuotaRingSize;
using placing::Placement;
using placing::Placing;
using placing::PlacingPeer;
using placing::PlacingRequest;
using placing::PlacingState;
using placing::PlanRegions;
using placing::PollCoordinator;
using placing::QueuedRequest;
using placing::QuotaGrant;
using placing::QuotaRange;
using placing::QuotaRanges;
using placing::RegionShare;
using placing::RegionState;
using placing::RetryTokenBucket;
using placing::Route;
using placing::RouteTarget;
using placing::Routing;
using placing::RoutingPtr;
using placing::SendOutcome;
using placing::ServerLoad;
using placing::Service;
using placing::StableHash;
using placing::StepTowards;
using placing::TokenAcquisition;
using placing::TokenBuckets;
using placing::TokenLimit;
using placing::WaitQueue;
using placing::WithAssumedDemand;

// Interval of the reports that a VM sends to the other VMs of its region.
inline constexpr std::chrono::milliseconds kReportInterval{ 500 };

} // namespace plantainhaven::edge
