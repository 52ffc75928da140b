#include "plantainhaven/entry/budget_service.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Carries messages between the services of one test.
class Hub
{
public:
  void Send(const std::string& aEndpoint, const Envelope& aMessage)
  {
    const std::lock_guard lock(this->mutex);
    this->queues[aEndpoint].push_back(aMessage);
    this->changed.notify_all();
  }
  std::optional<Envelope> Receive(const std::string& aEndpoint, milliseconds aTimeout)
  {
    std::unique_lock lock(this->mutex);
    std::deque<Envelope>& queue = this->queues[aEndpoint];
    if (!this->changed.wait_for(lock, aTimeout, [&] { return !queue.empty(); })) {
      return std::nullopt;
    }
    Envelope message = queue.front();
    queue.pop_front();
    return message;
  }

private:
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::deque<Envelope>> queues;
};

class HubLink : public PeerLink
{
public:
  HubLink(Hub& aHub, std::string aEndpoint)
    : hub(aHub)
    , endpoint(std::move(aEndpoint))
  {
  }
  bool Send(const std::string& aEndpoint, const Envelope& aMessage) override
  {
    this->hub.Send(aEndpoint, aMessage);
    return true;
  }
  std::optional<Envelope> Receive(milliseconds aTimeout) override
  {
    return this->hub.Receive(this->endpoint, aTimeout);
  }
  void Reset(const std::string& /*aEndpoint*/) override {}

private:
  Hub& hub;
  std::string endpoint;
};

LedgerOptions
Options(const std::string& aSelf)
{
  LedgerOptions options;
  options.self = aSelf;
  options.endpoint = "tcp://" + aSelf;
  return options;
}

BudgetConfiguration
TwoMembers(std::uint64_t aRevision, const std::vector<BudgetSpec>& aSpecs)
{
  return BudgetConfiguration{ aRevision,
                              aSpecs,
                              { BudgetMember{ "a", "tcp://a", "", 1, false },
                                BudgetMember{ "b", "tcp://b", "", 1, false } } };
}

const BudgetSpec kAccount = AccountBudget("account", 1000, 4);
const BudgetSpec kSlots = RegionSlotsBudget("service", "region", 4, milliseconds(1));

// A service with a manual clock whose view has been fresh for long.
struct ManualService
{
  ManualService(Hub& aHub, const std::string& aSelf)
    : service(Options(aSelf),
              std::make_unique<HubLink>(aHub, "tcp://" + aSelf),
              this->metrics,
              [this] { return this->now; })
  {
    this->service.UpdateView(BudgetView{ 1, BootTime(seconds(1)), BootTime::max() }, this->now);
  }

  AcquireResult Try(const LedgerId& aId)
  {
    return this->service.TryTake(aId, kOneToken, this->now);
  }

  BootTime now{ std::chrono::hours(1) };
  Metrics metrics;
  BudgetService service;
};

} // namespace

TEST_CASE("A service answers for each kind of refusal and counts it")
{
  Hub hub;
  ManualService vm(hub, "a");
  vm.service.UpdateConfiguration(TwoMembers(1, { kAccount, kSlots }), vm.now);
  CHECK(vm.Try(LedgerId{ BudgetId::ACCOUNT_RATE, "nobody" }).refusal ==
        AcquireRefusal::kUnknownBudget);
  const AcquireResult empty = vm.Try(kAccount.id);
  CHECK(empty.refusal == AcquireRefusal::kEmpty);
  CHECK(empty.retryAfter > std::chrono::nanoseconds(0));
  vm.now += seconds(10);
  vm.service.RunOnce(milliseconds(0));
  CHECK(vm.metrics.Counter("plantainhaven_budget_refusals", "reason", "budget_empty") == 1);
  CHECK(vm.metrics.Counter("plantainhaven_budget_refusals", "reason", "unknown_budget") == 1);
  CHECK(vm.metrics.Counter("plantainhaven_budget_refusals", "reason", "stale_view") == 0);
}

TEST_CASE("Budgets come and go with the configuration and are borrowed across services")
{
  Hub hub;
  ManualService a(hub, "a");
  ManualService b(hub, "b");
  for (ManualService* vm : { &a, &b }) {
    vm->service.UpdateConfiguration(TwoMembers(1, { kAccount }), vm->now);
    vm->now += seconds(10);
  }
  // The account is so small that one VM holds all of it.
  const std::size_t home = HoldersOf(kAccount, TwoMembers(1, {}).members).front();
  ManualService& lender = home == 0 ? a : b;
  ManualService& borrower = home == 0 ? b : a;
  CHECK(borrower.Try(kAccount.id).refusal == AcquireRefusal::kEmpty);
  borrower.service.RunOnce(milliseconds(0));
  lender.service.RunOnce(milliseconds(0));
  borrower.service.RunOnce(milliseconds(0));
  CHECK(borrower.Try(kAccount.id).Acquired());

  lender.service.UpdateConfiguration(TwoMembers(2, {}), lender.now);
  CHECK(lender.Try(kAccount.id).refusal == AcquireRefusal::kEmpty);
  lender.service.UpdateView(BudgetView{ 2, lender.now, BootTime::max() }, lender.now);
  lender.now += seconds(10);
  lender.service.UpdateConfiguration(TwoMembers(3, {}), lender.now);
  CHECK(lender.Try(kAccount.id).refusal == AcquireRefusal::kUnknownBudget);
}

TEST_CASE("A release lets a waiting request in, and a hopeless one is refused at once")
{
  Hub hub;
  Metrics metrics;
  const BootTime start = BootClock::Now();
  BudgetService service(Options("a"), std::make_unique<HubLink>(hub, "tcp://a"), metrics);
  const BudgetView view{ 9, start - seconds(100), start + seconds(600) };
  service.UpdateView(view, start);
  BudgetConfiguration configuration;
  configuration.members = { BudgetMember{ "a", "tcp://a", "", 1, false } };
  configuration.revision = 1;
  service.UpdateConfiguration(configuration, start);
  configuration.revision = 2;
  configuration.specs = { kSlots, AccountBudget("none", 0.01, 1) };
  service.UpdateConfiguration(configuration, start);
  service.Start();
  const LedgerId none{ BudgetId::ACCOUNT_RATE, "none" };
  // No VM could lend and the next token is 100 s away: a wait could only end in vain.
  CHECK(service.Take(none, kOneToken, start, seconds(50)).refusal == AcquireRefusal::kEmpty);

  // Slots that a predecessor may have lent count only after its longest grant.
  while (service.Available(kSlots.id, BootClock::Now()) == 0 &&
         BootClock::Now() < start + seconds(30)) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  std::vector<std::thread> threads;
  threads.reserve(8);
  std::atomic<int> inUse{ 0 };
  std::atomic<int> most{ 0 };
  std::atomic<int> taken{ 0 };
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&] {
      for (int round = 0; round < 50; ++round) {
        if (!service.Take(kSlots.id, kOneToken, BootClock::Now(), seconds(30)).Acquired()) {
          continue;
        }
        const int now = ++inUse;
        int before = most;
        while (before < now && !most.compare_exchange_weak(before, now)) {
        }
        ++taken;
        --inUse;
        service.Release(kSlots.id, kOneToken, BootClock::Now());
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  service.Stop();
  CHECK(taken == 8 * 50);
  CHECK(most <= 4);
}

} // namespace plantainhaven
