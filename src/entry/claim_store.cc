#include "plantainhaven/entry/claim_store.h"

#include "entry/claim_notes.h"
#include "entry/claim_rows.h"

#include <optional>

namespace plantainhaven {

namespace {

// Longest wait for the last notes at the end.
constexpr std::chrono::milliseconds kStopWait{ 1000 };
// Tries to insert a claim when the table's answers are lost.
constexpr int kInsertTries = 2;

} // namespace

struct ClaimStore::Impl
{
  Impl(TableStore& aStore, std::string aVm)
    : store(aStore)
    , vm(std::move(aVm))
    , notes(aStore)
  {
  }

  std::optional<ClaimResult> TryInsert(const TableTransaction& aInsert,
                                       const ClaimRequest& aRequest);
  std::optional<ClaimResult> ReadBack(const std::string& aKey, const ClaimRequest& aRequest);

  TableStore& store;
  std::string vm;
  ClaimNotes notes;
};

// Nothing when the claim's state is still open and inserting may be tried again.
std::optional<ClaimResult>
ClaimStore::Impl::TryInsert(const TableTransaction& aInsert, const ClaimRequest& aRequest)
{
  const Result<TableCommitAnswer> answer = this->store.Commit(aInsert);
  if (IsOk(answer)) {
    const TableCommitAnswer& outcome = ValueOf(answer);
    if (outcome.committed()) {
      return ClaimResult{ ClaimResult::Kind::kMine };
    }
    if (outcome.conflicts_size() > 0 && outcome.conflicts(0).version() > 0) {
      return JudgeClaimRow(outcome.conflicts(0).value(), aRequest);
    }
    return std::nullopt;
  }
  if (ErrorOf(answer).kind == ErrorKind::kUnavailable) {
    return ClaimResult{ ClaimResult::Kind::kStoreDown };
  }
  return this->ReadBack(aInsert.puts(0).key(), aRequest);
}

std::optional<ClaimResult>
ClaimStore::Impl::ReadBack(const std::string& aKey, const ClaimRequest& aRequest)
{
  const Result<TableRow> row = this->store.Read(aKey);
  if (IsOk(row)) {
    return JudgeClaimRow(ValueOf(row).value(), aRequest);
  }
  // A missing row may still be on its way, so only another insert can tell.
  if (ErrorOf(row).kind == ErrorKind::kNotFound) {
    return std::nullopt;
  }
  return ClaimResult{ ClaimResult::Kind::kStoreDown };
}

ClaimStore::ClaimStore(TableStore& aStore, std::string aVm)
  : impl(std::make_unique<Impl>(aStore, std::move(aVm)))
{
}

ClaimStore::~ClaimStore()
{
  this->Flush(kStopWait);
}

ClaimResult
ClaimStore::Claim(const ClaimRequest& aRequest, BootTime aDeadline)
{
  const std::string key = ClaimKey(aRequest);
  TableTransaction insert;
  insert.add_conditions()->set_key(key);
  TableRow* put = insert.add_puts();
  put->set_key(key);
  put->set_value(OpenClaimRow(aRequest, this->impl->vm));
  for (int i = 0; i < kInsertTries && BootClock::Now() < aDeadline; ++i) {
    if (std::optional<ClaimResult> result = this->impl->TryInsert(insert, aRequest)) {
      return std::move(*result);
    }
  }
  // An insert may have taken effect, or still do so.
  this->GiveBack(aRequest);
  return { ClaimResult::Kind::kStoreDown };
}

void
ClaimStore::GiveBack(const ClaimRequest& aRequest)
{
  this->impl->notes.Remove(ClaimKey(aRequest), aRequest.requestId);
}

void
ClaimStore::Finish(const ClaimRequest& aRequest, const HttpResponse& aAnswer)
{
  this->impl->notes.Put(ClaimKey(aRequest), FinishedClaimRow(aRequest, this->impl->vm, aAnswer));
}

void
ClaimStore::Flush(std::chrono::milliseconds aLongest)
{
  this->impl->notes.Flush(aLongest);
}

} // namespace plantainhaven
