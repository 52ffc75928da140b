#include "platform/execution_log.h"

#include <algorithm>

namespace plantainhaven {

ExecutionLog::ExecutionLog(std::size_t aMostIds)
  : mostIds(aMostIds)
{
}

void
ExecutionLog::Note(const std::string& aId, const std::string& aMethod)
{
  const std::lock_guard lock(this->mutex);
  ++this->total;
  if (aId.empty()) {
    return;
  }
  const auto found = this->runs.find(aId);
  if (found != this->runs.end()) {
    ++found->second.count;
    return;
  }
  if (this->runs.size() >= this->mostIds) {
    ++this->untracked;
    return;
  }
  this->runs.emplace(aId, Runs{ aMethod, 1 });
}

ExecutionList
ExecutionLog::List(std::uint32_t aOver) const
{
  const std::lock_guard lock(this->mutex);
  ExecutionList list;
  list.set_total(this->total);
  list.set_distinct_ids(this->runs.size());
  list.set_untracked(this->untracked);
  for (const auto& [id, run] : this->runs) {
    if (run.count > aOver) {
      Execution* execution = list.add_executions();
      execution->set_id(id);
      execution->set_method(run.method);
      execution->set_count(run.count);
    }
  }
  std::sort(
    list.mutable_executions()->begin(),
    list.mutable_executions()->end(),
    [](const Execution& aLeft, const Execution& aRight) { return aLeft.id() < aRight.id(); });
  return list;
}

void
ExecutionLog::Reset()
{
  const std::lock_guard lock(this->mutex);
  this->runs.clear();
  this->total = 0;
  this->untracked = 0;
}

} // namespace plantainhaven
