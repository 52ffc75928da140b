#include "entry/claim_notes.h"

#include "entry/claim_rows.h"
#include "plantainhaven/common/log.h"

#include <algorithm>

namespace plantainhaven {

namespace {

constexpr std::size_t kThreads = 4;
// Notes that may wait; more are dropped.
constexpr std::size_t kLongestQueue = 1000;
// Rows written in one transaction.
constexpr std::size_t kLargestBatch = 32;
constexpr int kMostTries = 3;

} // namespace

ClaimNotes::ClaimNotes(TableStore& aStore)
  : store(aStore)
{
  for (std::size_t i = 0; i < kThreads; ++i) {
    this->threads.emplace_back([this] { this->Run(); });
  }
}

ClaimNotes::~ClaimNotes()
{
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->notes.clear();
  }
  this->changed.notify_all();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

void
ClaimNotes::Put(std::string aKey, std::string aRow)
{
  this->Add({ std::move(aKey), std::move(aRow), {} });
}

void
ClaimNotes::Remove(std::string aKey, std::string aRequestId)
{
  this->Add({ std::move(aKey), {}, std::move(aRequestId) });
}

void
ClaimNotes::Add(Note aNote)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->stopping || this->notes.size() >= kLongestQueue) {
    Log(LogLevel::kWarning, "claim_note_dropped", { { "key", aNote.key } });
    return;
  }
  this->notes.push_back(std::move(aNote));
  this->changed.notify_one();
}

void
ClaimNotes::Flush(std::chrono::milliseconds aLongest)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  this->changed.wait_for(
    lock, aLongest, [this] { return this->notes.empty() && this->writing == 0; });
}

void
ClaimNotes::Run()
{
  while (true) {
    std::vector<Note> batch = this->TakeBatch();
    if (batch.empty()) {
      return;
    }
    if (!this->Write(batch)) {
      this->Retry(std::move(batch));
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      --this->writing;
    }
    this->changed.notify_all();
  }
}

// One removal, or as many rows to put as stand together at the front of the queue; nothing
// when the threads are to end.
std::vector<ClaimNotes::Note>
ClaimNotes::TakeBatch()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  this->changed.wait(lock, [this] { return this->stopping || !this->notes.empty(); });
  std::vector<Note> batch;
  while (!this->notes.empty() && batch.size() < kLargestBatch) {
    const bool removes = this->notes.front().row.empty();
    if (removes && !batch.empty()) {
      break;
    }
    batch.push_back(std::move(this->notes.front()));
    this->notes.pop_front();
    if (removes) {
      break;
    }
  }
  this->writing += batch.empty() ? 0 : 1;
  return batch;
}

bool
ClaimNotes::Write(const std::vector<Note>& aBatch)
{
  return aBatch.front().row.empty() ? this->RemoveRow(aBatch.front()) : this->PutRows(aBatch);
}

bool
ClaimNotes::PutRows(const std::vector<Note>& aBatch)
{
  TableTransaction transaction;
  for (const Note& note : aBatch) {
    TableRow* put = transaction.add_puts();
    put->set_key(note.key);
    put->set_value(note.row);
  }
  return IsOk(this->store.Commit(transaction));
}

bool
ClaimNotes::RemoveRow(const Note& aNote)
{
  const Result<TableRow> row = this->store.Read(aNote.key);
  if (!IsOk(row)) {
    return ErrorOf(row).kind == ErrorKind::kNotFound;
  }
  if (!IsHeldBy(ValueOf(row).value(), aNote.requestId)) {
    return true;
  }
  TableTransaction removal;
  TableCondition* condition = removal.add_conditions();
  condition->set_key(aNote.key);
  condition->set_version(ValueOf(row).version());
  removal.add_deletes(aNote.key);
  return IsOk(this->store.Commit(removal));
}

void
ClaimNotes::Retry(std::vector<Note> aBatch)
{
  for (Note& note : aBatch) {
    ++note.tries;
    if (note.tries < kMostTries) {
      this->Add(std::move(note));
    } else {
      Log(LogLevel::kWarning, "claim_note_lost", { { "key", note.key } });
    }
  }
}

} // namespace plantainhaven
