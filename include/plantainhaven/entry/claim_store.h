#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/http/message.h"
#include "plantainhaven/platform/platform.h"

#include <chrono>
#include <memory>
#include <string>

namespace plantainhaven {

// Whose claim it is and on what.
struct ClaimRequest
{
  // Empty on an open route.
  std::string account;
  std::string idempotencyKey;
  std::string requestId;
  std::string method;
  std::string target;
  std::string body;
};

// What came of an attempt to claim.
struct ClaimResult
{
  enum class Kind
  {
    kMine,          // Only this request may be forwarded.
    kFinished,      // An earlier request ran; `answer` is its answer.
    kAnswerNotKept, // An earlier request ran; its answer was too large to be kept.
    kInProgress,    // An earlier request is running or its outcome is unknown.
    kMismatch,      // The Idempotency-Key belongs to another request.
    kStoreDown,     // The table can't be used; nothing may be forwarded.
  };
  Kind kind = Kind::kStoreDown;
  HttpResponse answer = {};
};

// Claims in the platform's table, which make requests with an Idempotency-Key run at
// most once over all entry VMs and the callers' own retries. Safe for several threads.
class ClaimStore
{
public:
  // `aStore` must outlive this. `aVm` names this VM in the rows.
  ClaimStore(TableStore& aStore, std::string aVm);
  // Writes what Finish() still holds, for a bounded time.
  ~ClaimStore();
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  // Inserts the claim unless there is one. A lost answer of the table is resolved by
  // reading the row back: only a row with this request's id is its own. No further try
  // begins after `aDeadline`.
  ClaimResult Claim(const ClaimRequest& aRequest, BootTime aDeadline);
  // Takes an own claim back after the request surely wasn't run, so that the caller may
  // send it again. From another thread and best effort: if it doesn't work the row
  // stays, and the same Idempotency-Key is refused as in progress.
  void GiveBack(const ClaimRequest& aRequest);
  // Notes the answer of an own claim, from another thread and best effort: without the
  // note a repeated request is told that the outcome is unknown.
  void Finish(const ClaimRequest& aRequest, const HttpResponse& aAnswer);
  // Waits until all notes are written or given up, at most `aLongest`.
  void Flush(std::chrono::milliseconds aLongest);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
