#include "plantainhaven/platform/memory_platform.h"

#include "plantainhaven/common/time.h"
#include "platform/lagging_vm_list.h"
#include "platform/row_key.h"

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace plantainhaven {

namespace {

Error
IsDown()
{
  return Error{ ErrorKind::kUnavailable,
                "expected an answer, got a refusal: the platform is down",
                "try again later" };
}

Error
OutcomeUnknown(const char* aActual)
{
  return Error{ ErrorKind::kUnknown,
                std::string("expected the outcome of the commit, got ") + aActual,
                "read a row of the transaction to find out" };
}

Error
NoAnswer()
{
  return Error{ ErrorKind::kTimeout, "expected an answer, got none in time", "try again later" };
}

Error
NoSuch(const char* aKind, const std::string& aName)
{
  return Error{ ErrorKind::kNotFound,
                std::string("expected ") + aKind + " \"" + aName + "\", got none",
                "check the name" };
}

bool
HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

struct MemoryPlatform::Impl
{
  // All members below are called with the mutex held.
  TableRow CurrentRow(const std::string& aKey) const;
  TableCommitAnswer Apply(const TableTransaction& aTransaction);
  // The error that a fault gives every call but commits.
  const Error* ReadFault() const;

  mutable std::mutex mutex;
  std::map<std::string, TableRow> rows;
  std::map<std::string, std::string> objects;
  LaggingVmList vms;
  std::vector<TableTransaction> held;
  PlatformFault fault;
  // Version of the newest write. Counting over all rows keeps a row that was deleted
  // and written again from showing a version it had before.
  std::uint64_t version = 0;
};

TableRow
MemoryPlatform::Impl::CurrentRow(const std::string& aKey) const
{
  const auto found = this->rows.find(aKey);
  if (found != this->rows.end()) {
    return found->second;
  }
  TableRow missing;
  missing.set_key(aKey);
  return missing;
}

TableCommitAnswer
MemoryPlatform::Impl::Apply(const TableTransaction& aTransaction)
{
  TableCommitAnswer answer;
  for (const TableCondition& condition : aTransaction.conditions()) {
    TableRow row = this->CurrentRow(condition.key());
    if (row.version() != condition.version()) {
      *answer.add_conflicts() = std::move(row);
    }
  }
  if (answer.conflicts_size() > 0) {
    return answer;
  }
  ++this->version;
  for (const TableRow& put : aTransaction.puts()) {
    TableRow& row = this->rows[put.key()];
    row = put;
    row.set_version(this->version);
  }
  for (const std::string& key : aTransaction.deletes()) {
    this->rows.erase(key);
  }
  answer.set_committed(true);
  return answer;
}

const Error*
MemoryPlatform::Impl::ReadFault() const
{
  static const Error kDown = IsDown();
  static const Error kSilent = NoAnswer();
  if (this->fault.down()) {
    return &kDown;
  }
  return this->fault.silent() ? &kSilent : nullptr;
}

MemoryPlatform::MemoryPlatform()
  : impl(std::make_unique<Impl>())
{
}

MemoryPlatform::~MemoryPlatform() = default;

Result<TableCommitAnswer>
MemoryPlatform::Commit(const TableTransaction& aTransaction)
{
  if (const Result<Done> check = CheckTransaction(aTransaction); !IsOk(check)) {
    return ErrorOf(check);
  }
  const std::lock_guard lock(this->impl->mutex);
  PlatformFault& fault = this->impl->fault;
  if (fault.down()) {
    return IsDown();
  }
  if (fault.silent()) {
    return OutcomeUnknown("no answer in time");
  }
  if (fault.delay_commits() > 0) {
    fault.set_delay_commits(fault.delay_commits() - 1);
    this->impl->held.push_back(aTransaction);
    return OutcomeUnknown("no answer in time");
  }
  TableCommitAnswer answer = this->impl->Apply(aTransaction);
  if (fault.lose_commit_answers() > 0) {
    fault.set_lose_commit_answers(fault.lose_commit_answers() - 1);
    return OutcomeUnknown("a lost answer");
  }
  return answer;
}

Result<TableRow>
MemoryPlatform::Read(const std::string& aKey)
{
  if (const Result<Done> check = CheckKey(aKey, "key"); !IsOk(check)) {
    return ErrorOf(check);
  }
  const std::lock_guard lock(this->impl->mutex);
  if (const Error* error = this->impl->ReadFault()) {
    return *error;
  }
  const auto found = this->impl->rows.find(aKey);
  if (found == this->impl->rows.end()) {
    return NoSuch("row", aKey);
  }
  return found->second;
}

Result<TableReadAnswer>
MemoryPlatform::ReadPrefix(const std::string& aPrefix,
                           const std::string& aAfter,
                           std::size_t aLimit)
{
  const std::lock_guard lock(this->impl->mutex);
  if (const Error* error = this->impl->ReadFault()) {
    return *error;
  }
  const auto& rows = this->impl->rows;
  TableReadAnswer answer;
  auto row = aAfter < aPrefix ? rows.lower_bound(aPrefix) : rows.upper_bound(aAfter);
  while (row != rows.end() && HasPrefix(row->first, aPrefix) &&
         static_cast<std::size_t>(answer.rows_size()) < aLimit) {
    *answer.add_rows() = row->second;
    ++row;
  }
  return answer;
}

Result<Done>
MemoryPlatform::Put(const std::string& aName, const std::string& aBytes)
{
  if (Result<Done> check = CheckKey(aName, "name"); !IsOk(check)) {
    return check;
  }
  const std::lock_guard lock(this->impl->mutex);
  if (const Error* error = this->impl->ReadFault()) {
    return *error;
  }
  this->impl->objects[aName] = aBytes;
  return Done{};
}

Result<std::string>
MemoryPlatform::Get(const std::string& aName)
{
  if (const Result<Done> check = CheckKey(aName, "name"); !IsOk(check)) {
    return ErrorOf(check);
  }
  const std::lock_guard lock(this->impl->mutex);
  if (const Error* error = this->impl->ReadFault()) {
    return *error;
  }
  const auto found = this->impl->objects.find(aName);
  if (found == this->impl->objects.end()) {
    return NoSuch("object", aName);
  }
  return found->second;
}

Result<Done>
MemoryPlatform::Delete(const std::string& aName)
{
  if (Result<Done> check = CheckKey(aName, "name"); !IsOk(check)) {
    return check;
  }
  const std::lock_guard lock(this->impl->mutex);
  if (const Error* error = this->impl->ReadFault()) {
    return *error;
  }
  this->impl->objects.erase(aName);
  return Done{};
}

Result<VmListAnswer>
MemoryPlatform::List()
{
  const std::lock_guard lock(this->impl->mutex);
  if (const Error* error = this->impl->ReadFault()) {
    return *error;
  }
  return this->impl->vms.At(BootClock::Now());
}

void
MemoryPlatform::SetFault(const PlatformFault& aFault)
{
  const std::lock_guard lock(this->impl->mutex);
  this->impl->fault = aFault;
}

PlatformFault
MemoryPlatform::Fault() const
{
  const std::lock_guard lock(this->impl->mutex);
  return this->impl->fault;
}

std::size_t
MemoryPlatform::ReleaseHeldCommits()
{
  const std::lock_guard lock(this->impl->mutex);
  const std::vector<TableTransaction> released = std::exchange(this->impl->held, {});
  for (const TableTransaction& transaction : released) {
    this->impl->Apply(transaction);
  }
  return released.size();
}

std::chrono::milliseconds
MemoryPlatform::TakeCommitDelay()
{
  const std::lock_guard lock(this->impl->mutex);
  PlatformFault& fault = this->impl->fault;
  if (fault.down() || fault.silent() || fault.delay_commits() == 0) {
    return std::chrono::milliseconds(0);
  }
  fault.set_delay_commits(fault.delay_commits() - 1);
  return std::chrono::milliseconds(fault.commit_delay_ms());
}

void
MemoryPlatform::SetVmListLag(std::chrono::milliseconds aLag)
{
  const std::lock_guard lock(this->impl->mutex);
  this->impl->vms.SetLag(aLag);
}

void
MemoryPlatform::SetVm(const VmListEntry& aVm)
{
  const std::lock_guard lock(this->impl->mutex);
  this->impl->vms.Set(aVm, BootClock::Now());
}

void
MemoryPlatform::RemoveVm(const std::string& aName)
{
  const std::lock_guard lock(this->impl->mutex);
  this->impl->vms.Remove(aName, BootClock::Now());
}

} // namespace plantainhaven
