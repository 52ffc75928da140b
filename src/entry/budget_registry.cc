#include "entry/budget_registry.h"

#include <algorithm>
#include <array>
#include <utility>

namespace plantainhaven {

namespace {

using SpecMap = std::unordered_map<LedgerId, const BudgetSpec*, LedgerIdHash>;

SpecMap
ById(const std::vector<BudgetSpec>& aSpecs)
{
  SpecMap specs;
  for (const BudgetSpec& spec : aSpecs) {
    specs[spec.id] = &spec;
  }
  return specs;
}

} // namespace

void
AddCounts(LedgerCounts& aSum, const LedgerCounts& aPart)
{
  constexpr std::array counts{ &LedgerCounts::borrowRequests, &LedgerCounts::grantsReceived,
                               &LedgerCounts::grantsGiven,    &LedgerCounts::grantsRefused,
                               &LedgerCounts::reports,        &LedgerCounts::expiredGrants };
  for (const auto count : counts) {
    aSum.*count += aPart.*count;
  }
}

BudgetRegistry::BudgetRegistry(const LedgerOptions& aOptions, BootTime aStartedAt)
  : options(aOptions)
  , startedAt(aStartedAt)
{
}

LedgerEntryPointer
BudgetRegistry::Find(const LedgerId& aId) const
{
  const std::shared_lock lock(this->mapMutex);
  const auto found = this->entries.find(aId);
  return found == this->entries.end() ? nullptr : found->second;
}

std::vector<LedgerEntryPointer>
BudgetRegistry::All() const
{
  std::vector<LedgerEntryPointer> all;
  const std::shared_lock lock(this->mapMutex);
  all.reserve(this->entries.size());
  for (const auto& [id, entry] : this->entries) {
    all.push_back(entry);
  }
  return all;
}

void
BudgetRegistry::Apply(const BudgetConfiguration& aConfiguration, BootTime aNow)
{
  const std::lock_guard lock(this->configurationMutex);
  const std::uint64_t newRevision = aConfiguration.revision;
  if (newRevision <= this->revision) {
    return;
  }
  if (newRevision != this->revision + 1) {
    this->contiguousFrom = newRevision;
  }
  if (!this->members || *this->members != aConfiguration.members) {
    this->members = std::make_shared<const std::vector<BudgetMember>>(aConfiguration.members);
  }
  this->revision = newRevision;
  this->AddMissing(aConfiguration, aNow);
  const SpecMap listed = ById(aConfiguration.specs);
  std::unordered_map<LedgerId, LedgerEntryPointer, LedgerIdHash> present;
  {
    const std::shared_lock mapLock(this->mapMutex);
    present = this->entries;
  }
  for (const auto& [id, entry] : present) {
    const auto found = listed.find(id);
    if (found == listed.end()) {
      this->Drop(id, entry, aNow);
      continue;
    }
    const std::lock_guard entryLock(entry->mutex);
    entry->ledger.OnConfiguration(newRevision, *found->second, this->members, aNow);
    entry->changed.notify_all();
  }
}

void
BudgetRegistry::AddMissing(const BudgetConfiguration& aConfiguration, BootTime aNow)
{
  for (const BudgetSpec& spec : aConfiguration.specs) {
    if (this->Find(spec.id)) {
      continue;
    }
    auto entry = std::make_shared<LedgerEntry>(spec.id, this->options, this->startedAt);
    entry->ledger.OnView(this->view, aNow);
    if (this->contiguousFrom < this->revision) {
      entry->ledger.OnAbsent(this->contiguousFrom, this->revision - 1, aNow);
    }
    const std::unique_lock mapLock(this->mapMutex);
    this->entries.emplace(spec.id, std::move(entry));
  }
}

void
BudgetRegistry::Drop(const LedgerId& aId, const LedgerEntryPointer& aEntry, BootTime aNow)
{
  const std::lock_guard entryLock(aEntry->mutex);
  aEntry->ledger.OnAbsent(this->revision, this->revision, aNow);
  aEntry->changed.notify_all();
  if (aEntry->waiting > 0 || !aEntry->ledger.CanBeRemoved(aNow)) {
    return;
  }
  AddCounts(this->dropped, aEntry->ledger.Counts());
  const std::unique_lock mapLock(this->mapMutex);
  this->entries.erase(aId);
}

bool
BudgetRegistry::Established(BootTime aNow) const
{
  std::vector<LedgerEntryPointer> slots;
  {
    const std::shared_lock lock(this->mapMutex);
    for (const auto& [id, entry] : this->entries) {
      if (id.type == BudgetId::REGION_SLOTS) {
        slots.push_back(entry);
      }
    }
  }
  const bool settled = std::all_of(slots.begin(), slots.end(), [aNow](const auto& aEntry) {
    const std::lock_guard entryLock(aEntry->mutex);
    return aEntry->ledger.Settled(aNow);
  });
  return settled;
}

void
BudgetRegistry::SetView(const BudgetView& aView, BootTime aNow)
{
  const std::lock_guard lock(this->configurationMutex);
  this->view = aView;
  for (const LedgerEntryPointer& entry : this->All()) {
    const std::lock_guard entryLock(entry->mutex);
    entry->ledger.OnView(aView, aNow);
  }
}

LedgerCounts
BudgetRegistry::Counts()
{
  const std::lock_guard lock(this->configurationMutex);
  LedgerCounts sum = this->dropped;
  for (const LedgerEntryPointer& entry : this->All()) {
    const std::lock_guard entryLock(entry->mutex);
    AddCounts(sum, entry->ledger.Counts());
  }
  return sum;
}

} // namespace plantainhaven
