#pragma once

#include "plantainhaven/entry/claim_store.h"

#include <string>

namespace plantainhaven {

// The rows in which claims are kept; see proto/claim.proto.

std::string
ClaimKey(const ClaimRequest& aRequest);
// Row of a claim whose outcome isn't known yet.
std::string
OpenClaimRow(const ClaimRequest& aRequest, const std::string& aVm);
// Row of a claim with its answer.
std::string
FinishedClaimRow(const ClaimRequest& aRequest, const std::string& aVm, const HttpResponse& aAnswer);
// What an existing row means for a request.
ClaimResult
JudgeClaimRow(const std::string& aRow, const ClaimRequest& aRequest);
// True when a request of this id holds the claim.
bool
IsHeldBy(const std::string& aRow, const std::string& aRequestId);

} // namespace plantainhaven
