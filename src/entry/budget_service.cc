#include "plantainhaven/entry/budget_service.h"

#include "entry/budget_registry.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// How long the budget thread waits for a message while requests wait for tokens, and
// otherwise.
constexpr milliseconds kWaitWhenNeeded{ 1 };
constexpr milliseconds kWaitWhenQuiet{ 5 };
constexpr milliseconds kMetricsInterval{ 100 };
// Messages handled before the ledgers are ticked again.
constexpr int kMessagesPerRound = 256;

struct CountName
{
  const char* name;
  std::uint64_t LedgerCounts::*count;
};

constexpr std::array kCountNames{
  CountName{ "plantainhaven_budget_asks", &LedgerCounts::borrowRequests },
  CountName{ "plantainhaven_budget_grants_received", &LedgerCounts::grantsReceived },
  CountName{ "plantainhaven_budget_grants_given", &LedgerCounts::grantsGiven },
  CountName{ "plantainhaven_budget_grants_refused", &LedgerCounts::grantsRefused },
  CountName{ "plantainhaven_budget_reports", &LedgerCounts::reports },
  CountName{ "plantainhaven_budget_lapses", &LedgerCounts::expiredGrants },
};

constexpr std::array kRefusals{ AcquireRefusal::kEmpty,
                                AcquireRefusal::kStaleView,
                                AcquireRefusal::kUnknownBudget };

LedgerOptions
WithIncarnation(LedgerOptions aOptions)
{
  if (aOptions.incarnation == 0) {
    std::random_device random;
    aOptions.incarnation = random();
  }
  return aOptions;
}

const BudgetId*
BudgetOf(const Envelope& aMessage)
{
  if (aMessage.has_borrow_ask()) {
    return &aMessage.borrow_ask().budget();
  }
  if (aMessage.has_borrow_answer()) {
    return &aMessage.borrow_answer().budget();
  }
  return aMessage.has_spent_report() ? &aMessage.spent_report().budget() : nullptr;
}

} // namespace

struct BudgetService::Impl
{
  Impl(LedgerOptions aOptions,
       std::unique_ptr<PeerLink> aLink,
       Metrics& aMetrics,
       std::function<BootTime()> aClock)
    : options(WithIncarnation(std::move(aOptions)))
    , link(std::move(aLink))
    , metrics(aMetrics)
    , clock(std::move(aClock))
    , registry(this->options, this->clock())
  {
  }

  BootTime Later(BootTime aNow) const { return std::max(aNow, this->clock()); }
  AcquireResult Refuse(AcquireRefusal aRefusal);
  AcquireResult Counted(const AcquireResult& aResult);
  void Handle(const Envelope& aMessage);
  void TickAll();
  void PublishCounts();
  // Waits with the entry's lock released meanwhile.
  void WaitForChange(LedgerEntry& aEntry,
                     std::unique_lock<std::mutex>& aLock,
                     TokenThousandths aAmount,
                     BootTime aNow,
                     nanoseconds aLongestWait);
  void SendAll(const std::vector<BudgetMessage>& aMessages);
  void Round(milliseconds aLongestWait);
  void Run();
  void GiveBack();

  const LedgerOptions options;
  const std::unique_ptr<PeerLink> link;
  Metrics& metrics;
  const std::function<BootTime()> clock;
  BudgetRegistry registry;

  std::array<std::atomic<std::uint64_t>, kRefusals.size() + 1> refusals{};
  std::array<std::uint64_t, kRefusals.size() + 1> publishedRefusals{};
  LedgerCounts published;
  BootTime publishAt{};
  std::atomic<int> waiters{ 0 };
  std::atomic<bool> stopping{ false };
  std::thread thread;
};

AcquireResult
BudgetService::Impl::Refuse(AcquireRefusal aRefusal)
{
  return this->Counted(AcquireResult{ aRefusal, milliseconds(100) });
}

AcquireResult
BudgetService::Impl::Counted(const AcquireResult& aResult)
{
  if (!aResult.Acquired()) {
    this->refusals[static_cast<std::size_t>(aResult.refusal)].fetch_add(1,
                                                                        std::memory_order_relaxed);
  }
  return aResult;
}

void
BudgetService::Impl::WaitForChange(LedgerEntry& aEntry,
                                   std::unique_lock<std::mutex>& aLock,
                                   TokenThousandths aAmount,
                                   BootTime aNow,
                                   nanoseconds aLongestWait)
{
  const nanoseconds refill = aEntry.ledger.OwnRefillTime(aAmount, aNow);
  ++aEntry.waiting;
  aEntry.wanted += aAmount;
  ++this->waiters;
  aEntry.changed.wait_for(aLock, std::min(refill, aLongestWait));
  --this->waiters;
  aEntry.wanted -= aAmount;
  --aEntry.waiting;
}

void
BudgetService::Impl::SendAll(const std::vector<BudgetMessage>& aMessages)
{
  for (const BudgetMessage& message : aMessages) {
    this->link->Send(message.endpoint, message.message);
  }
}

void
BudgetService::Impl::Handle(const Envelope& aMessage)
{
  const BudgetId* budget = BudgetOf(aMessage);
  if (budget == nullptr) {
    return;
  }
  const LedgerEntryPointer entry = this->registry.Find(LedgerId{ budget->type(), budget->name() });
  if (!entry) {
    return;
  }
  std::vector<BudgetMessage> out;
  {
    const std::lock_guard lock(entry->mutex);
    // Read under the lock: grants are dated by it.
    out = entry->ledger.OnMessage(aMessage, this->clock());
    entry->CopyNextTick();
    if (entry->waiting > 0) {
      entry->changed.notify_all();
    }
  }
  this->SendAll(out);
}

void
BudgetService::Impl::TickAll()
{
  const std::int64_t due = ToBootNanoseconds(this->clock());
  for (const LedgerEntryPointer& entry : this->registry.All()) {
    if (entry->nextTick.load(std::memory_order_relaxed) > due) {
      continue;
    }
    std::vector<BudgetMessage> out;
    {
      const std::lock_guard lock(entry->mutex);
      out = entry->ledger.OnTick(this->clock());
      entry->CopyNextTick();
    }
    this->SendAll(out);
  }
}

void
BudgetService::Impl::PublishCounts()
{
  const BootTime now = this->clock();
  if (now < this->publishAt) {
    return;
  }
  this->publishAt = now + kMetricsInterval;
  const LedgerCounts sum = this->registry.Counts();
  for (const CountName& name : kCountNames) {
    this->metrics.Count(name.name, {}, {}, sum.*name.count - this->published.*name.count);
  }
  this->published = sum;
  for (const AcquireRefusal refusal : kRefusals) {
    const auto index = static_cast<std::size_t>(refusal);
    const std::uint64_t total = this->refusals[index].load(std::memory_order_relaxed);
    this->metrics.Count("plantainhaven_budget_refusals",
                        "reason",
                        ToString(refusal),
                        total - this->publishedRefusals[index]);
    this->publishedRefusals[index] = total;
  }
}

void
BudgetService::Impl::Round(milliseconds aLongestWait)
{
  std::optional<Envelope> message = this->link->Receive(aLongestWait);
  for (int i = 0; message && i < kMessagesPerRound; ++i) {
    this->Handle(*message);
    message = this->link->Receive(milliseconds(0));
  }
  if (message) {
    this->Handle(*message);
  }
  this->TickAll();
  this->PublishCounts();
}

void
BudgetService::Impl::Run()
{
  while (!this->stopping) {
    this->Round(this->waiters > 0 ? kWaitWhenNeeded : kWaitWhenQuiet);
  }
  this->GiveBack();
}

void
BudgetService::Impl::GiveBack()
{
  for (const LedgerEntryPointer& entry : this->registry.All()) {
    std::vector<BudgetMessage> out;
    {
      const std::lock_guard lock(entry->mutex);
      out = entry->ledger.ReturnGrants(this->clock());
    }
    this->SendAll(out);
  }
}

BudgetService::BudgetService(LedgerOptions aOptions,
                             std::unique_ptr<PeerLink> aLink,
                             Metrics& aMetrics,
                             std::function<BootTime()> aClock)
  : impl(std::make_unique<Impl>(std::move(aOptions), std::move(aLink), aMetrics, std::move(aClock)))
{
}

BudgetService::~BudgetService()
{
  this->Stop();
}

void
BudgetService::Start()
{
  this->impl->thread = std::thread([this] { this->impl->Run(); });
}

void
BudgetService::Stop()
{
  this->impl->stopping = true;
  if (this->impl->thread.joinable()) {
    this->impl->thread.join();
  }
}

void
BudgetService::UpdateConfiguration(const BudgetConfiguration& aConfiguration, BootTime aNow)
{
  this->impl->registry.Apply(aConfiguration, this->impl->Later(aNow));
}

void
BudgetService::UpdateView(const BudgetView& aView, BootTime aNow)
{
  this->impl->registry.SetView(aView, this->impl->Later(aNow));
}

AcquireResult
BudgetService::TryTake(const LedgerId& aId, TokenThousandths aAmount, BootTime aNow)
{
  const LedgerEntryPointer entry = this->impl->registry.Find(aId);
  if (!entry) {
    return this->impl->Refuse(AcquireRefusal::kUnknownBudget);
  }
  const std::lock_guard lock(entry->mutex);
  const AcquireResult result = entry->ledger.TryAcquire(aAmount, this->impl->Later(aNow));
  entry->CopyNextTick();
  return this->impl->Counted(result);
}

AcquireResult
BudgetService::Take(const LedgerId& aId,
                    TokenThousandths aAmount,
                    BootTime aNow,
                    nanoseconds aLongestWait)
{
  const LedgerEntryPointer entry = this->impl->registry.Find(aId);
  if (!entry) {
    return this->impl->Refuse(AcquireRefusal::kUnknownBudget);
  }
  std::unique_lock lock(entry->mutex);
  BootTime now = this->impl->Later(aNow);
  const BootTime deadline = now + aLongestWait;
  AcquireResult result = entry->ledger.TryAcquire(aAmount, now);
  entry->CopyNextTick();
  TokenThousandths ahead = entry->wanted;
  while (result.refusal == AcquireRefusal::kEmpty && now < deadline &&
         entry->ledger.MayBecomeAvailable(aAmount, now, deadline - now, ahead)) {
    this->impl->WaitForChange(*entry, lock, aAmount, now, deadline - now);
    now = this->impl->clock();
    result = entry->ledger.TryAcquire(aAmount, now, Attempt::kRetry);
    entry->CopyNextTick();
    ahead = 0;
  }
  return this->impl->Counted(result);
}

void
BudgetService::Release(const LedgerId& aId, TokenThousandths aAmount, BootTime aNow)
{
  const LedgerEntryPointer entry = this->impl->registry.Find(aId);
  if (!entry) {
    return;
  }
  const std::lock_guard lock(entry->mutex);
  entry->ledger.Release(aAmount, this->impl->Later(aNow));
  if (entry->waiting > 0) {
    entry->changed.notify_one();
  }
}

TokenThousandths
BudgetService::Available(const LedgerId& aId, BootTime aNow) const
{
  const LedgerEntryPointer entry = this->impl->registry.Find(aId);
  if (!entry) {
    return 0;
  }
  const std::lock_guard lock(entry->mutex);
  return entry->ledger.Available(this->impl->Later(aNow));
}

bool
BudgetService::Established(BootTime aNow) const
{
  return this->impl->registry.Established(this->impl->Later(aNow));
}

void
BudgetService::RunOnce(milliseconds aLongestWait)
{
  this->impl->Round(aLongestWait);
}

} // namespace plantainhaven
