#include "plantainhaven/entry/claim_store.h"

#include "plantainhaven/common/digest.h"
#include "plantainhaven/common/log.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>

#include "claim.pb.h"

namespace plantainhaven {

namespace {

using Row = plantainhaven::Claim;

// Larger bodies aren't kept for repeated requests.
constexpr std::size_t kLargestKeptBody = 16 << 10;
// Notes that may wait to be written; more are dropped.
constexpr std::size_t kLongestQueue = 1000;
constexpr std::chrono::milliseconds kStopWait{ 1000 };
// Tries to insert a claim when the table's answers are lost.
constexpr int kInsertTries = 2;

// Names of accounts have no '@', so this stands for no account.
constexpr char kNoAccount[] = "@open";

std::string
RowKey(const ClaimRequest& aRequest)
{
  const std::string account = aRequest.account.empty() ? kNoAccount : aRequest.account;
  return "claim/" + account + "/" + Sha256Hex(aRequest.idempotencyKey);
}

// Lengths keep the parts apart.
std::string
Fingerprint(const ClaimRequest& aRequest)
{
  std::string text;
  for (const std::string* part : { &aRequest.method, &aRequest.target, &aRequest.body }) {
    text += std::to_string(part->size()) + ":" + *part;
  }
  return Sha256Hex(text);
}

Row
NewRow(const ClaimRequest& aRequest, const std::string& aVm)
{
  Row row;
  row.set_request_id(aRequest.requestId);
  row.set_vm(aVm);
  row.set_fingerprint(Fingerprint(aRequest));
  return row;
}

Row
FinishedRow(const ClaimRequest& aRequest, const std::string& aVm, const HttpResponse& aAnswer)
{
  Row row = NewRow(aRequest, aVm);
  row.set_finished(true);
  row.set_status(static_cast<std::uint32_t>(aAnswer.status));
  row.set_body_kept(aAnswer.body.size() <= kLargestKeptBody);
  if (!row.body_kept()) {
    return row;
  }
  row.set_body(aAnswer.body);
  for (const HttpHeader& header : aAnswer.headers.All()) {
    ClaimHeader* kept = row.add_headers();
    kept->set_name(header.name);
    kept->set_value(header.value);
  }
  return row;
}

HttpResponse
KeptAnswer(const Row& aRow)
{
  HttpResponse answer;
  answer.status = static_cast<int>(aRow.status());
  answer.body = aRow.body();
  for (const ClaimHeader& header : aRow.headers()) {
    answer.headers.Add(header.name(), header.value());
  }
  return answer;
}

// What an existing row means for a request.
ClaimResult
Judge(const std::string& aBytes, const ClaimRequest& aRequest)
{
  Row row;
  if (!row.ParseFromString(aBytes)) {
    return { ClaimResult::Kind::kInProgress };
  }
  if (row.request_id() == aRequest.requestId) {
    return { ClaimResult::Kind::kMine };
  }
  if (row.fingerprint() != Fingerprint(aRequest)) {
    return { ClaimResult::Kind::kMismatch };
  }
  if (!row.finished()) {
    return { ClaimResult::Kind::kInProgress };
  }
  if (!row.body_kept()) {
    return { ClaimResult::Kind::kAnswerNotKept };
  }
  return { ClaimResult::Kind::kFinished, KeptAnswer(row) };
}

struct Note
{
  std::string key;
  std::string value;
};

} // namespace

struct ClaimStore::Impl
{
  Impl(TableStore& aStore, std::string aVm)
    : store(aStore)
    , vm(std::move(aVm))
    , writer([this] { this->WriteNotes(); })
  {
  }

  std::optional<ClaimResult> TryInsert(const TableTransaction& aInsert,
                                       const ClaimRequest& aRequest);
  std::optional<ClaimResult> ReadBack(const std::string& aKey, const ClaimRequest& aRequest);
  void WriteNotes();
  void Write(const Note& aNote);

  TableStore& store;
  std::string vm;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Note> notes;
  bool writing = false;
  bool stopping = false;
  // Last, for it uses the rest.
  std::thread writer;
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
      return Judge(outcome.conflicts(0).value(), aRequest);
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
    return Judge(ValueOf(row).value(), aRequest);
  }
  // A missing row may still be on its way, so only another insert can tell.
  if (ErrorOf(row).kind == ErrorKind::kNotFound) {
    return std::nullopt;
  }
  return ClaimResult{ ClaimResult::Kind::kStoreDown };
}

void
ClaimStore::Impl::WriteNotes()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    this->changed.wait(lock, [this] { return this->stopping || !this->notes.empty(); });
    if (this->notes.empty()) {
      return;
    }
    const Note note = std::move(this->notes.front());
    this->notes.pop_front();
    this->writing = true;
    lock.unlock();
    this->Write(note);
    lock.lock();
    this->writing = false;
    this->changed.notify_all();
  }
}

// Only the request that holds a claim writes its row, so there is no condition.
void
ClaimStore::Impl::Write(const Note& aNote)
{
  TableTransaction transaction;
  TableRow* put = transaction.add_puts();
  put->set_key(aNote.key);
  put->set_value(aNote.value);
  const Result<TableCommitAnswer> answer = this->store.Commit(transaction);
  if (!IsOk(answer)) {
    Log(LogLevel::kWarning, "claim_note_lost", { { "error", ErrorOf(answer).message } });
  }
}

ClaimStore::ClaimStore(TableStore& aStore, std::string aVm)
  : impl(std::make_unique<Impl>(aStore, std::move(aVm)))
{
}

ClaimStore::~ClaimStore()
{
  this->Flush(kStopWait);
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    this->impl->stopping = true;
    this->impl->notes.clear();
  }
  this->impl->changed.notify_all();
  this->impl->writer.join();
}

ClaimResult
ClaimStore::Claim(const ClaimRequest& aRequest)
{
  const std::string key = RowKey(aRequest);
  TableTransaction insert;
  insert.add_conditions()->set_key(key);
  TableRow* put = insert.add_puts();
  put->set_key(key);
  put->set_value(NewRow(aRequest, this->impl->vm).SerializeAsString());
  for (int i = 0; i < kInsertTries; ++i) {
    if (std::optional<ClaimResult> result = this->impl->TryInsert(insert, aRequest)) {
      return std::move(*result);
    }
  }
  return { ClaimResult::Kind::kStoreDown };
}

bool
ClaimStore::GiveBack(const ClaimRequest& aRequest)
{
  const std::string key = RowKey(aRequest);
  const Result<TableRow> row = this->impl->store.Read(key);
  if (!IsOk(row)) {
    return ErrorOf(row).kind == ErrorKind::kNotFound;
  }
  Row claim;
  const bool own =
    claim.ParseFromString(ValueOf(row).value()) && claim.request_id() == aRequest.requestId;
  if (!own) {
    return true;
  }
  TableTransaction removal;
  TableCondition* condition = removal.add_conditions();
  condition->set_key(key);
  condition->set_version(ValueOf(row).version());
  removal.add_deletes(key);
  const Result<TableCommitAnswer> answer = this->impl->store.Commit(removal);
  return IsOk(answer) && ValueOf(answer).committed();
}

void
ClaimStore::Finish(const ClaimRequest& aRequest, const HttpResponse& aAnswer)
{
  Note note;
  note.key = RowKey(aRequest);
  note.value = FinishedRow(aRequest, this->impl->vm, aAnswer).SerializeAsString();
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  if (this->impl->notes.size() < kLongestQueue) {
    this->impl->notes.push_back(std::move(note));
    this->impl->changed.notify_all();
  }
}

void
ClaimStore::Flush(std::chrono::milliseconds aLongest)
{
  std::unique_lock<std::mutex> lock(this->impl->mutex);
  this->impl->changed.wait_for(
    lock, aLongest, [this] { return this->impl->notes.empty() && !this->impl->writing; });
}

} // namespace plantainhaven
