// Cost of a decision, and of the ledgers' own work by accounts and members.

#include "plantainhaven/entry/budget_service.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <memory>
#include <thread>
#include <unordered_map>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Drops everything that is sent and hears nothing.
class SilentLink : public PeerLink
{
public:
  bool Send(const std::string& /*aEndpoint*/, const Envelope& /*aMessage*/) override
  {
    return true;
  }
  std::optional<Envelope> Receive(milliseconds /*aTimeout*/) override { return std::nullopt; }
  void Reset(const std::string& /*aEndpoint*/) override {}
};

std::vector<BudgetMember>
Members(int aCount)
{
  std::vector<BudgetMember> members;
  members.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    const std::string name = "vm" + std::to_string(i);
    members.push_back(BudgetMember{ name, "tcp://" + name, "", 1, false });
  }
  return members;
}

std::vector<BudgetSpec>
Accounts(int aCount, double aRate, double aBurst)
{
  std::vector<BudgetSpec> specs;
  specs.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    specs.push_back(AccountBudget("account" + std::to_string(i), aRate, aBurst));
  }
  return specs;
}

LedgerOptions
Options(const std::string& aSelf)
{
  LedgerOptions options;
  options.self = aSelf;
  options.endpoint = "tcp://" + aSelf;
  return options;
}

LedgerId
LinkOf(int aThread)
{
  return LinkBudget("from" + std::to_string(aThread), "to", 1).id;
}

// One service shared by the benchmark's threads, with tokens in plenty.
BudgetService&
SharedService()
{
  static Metrics sMetrics;
  static BudgetService sService(Options("vm0"), std::make_unique<SilentLink>(), sMetrics);
  const BootTime start = BootClock::Now();
  sService.UpdateView(BudgetView{ 1, start - seconds(100), start + seconds(3600) }, start);
  std::vector<BudgetSpec> specs = Accounts(1000, 20, 20);
  for (int thread = 0; thread < 8; ++thread) {
    specs.push_back(LinkBudget("from" + std::to_string(thread), "to", 1e7));
  }
  sService.UpdateConfiguration(BudgetConfiguration{ 1, specs, Members(11) }, start);
  while (sService.Available(LinkOf(0), BootClock::Now()) < 1'000'000 * kOneToken) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  return sService;
}

void
TryTake(benchmark::State& aState)
{
  static BudgetService& sService = SharedService();
  const LedgerId id = LinkOf(aState.thread_index());
  std::uint64_t taken = 0;
  for (auto _ : aState) {
    taken += sService.TryTake(id, kOneToken, BootClock::Now()).Acquired() ? 1 : 0;
  }
  aState.counters["taken"] = static_cast<double>(taken);
}
BENCHMARK(TryTake)->Threads(1)->Threads(4)->UseRealTime();

void
TryTakeOneBudget(benchmark::State& aState)
{
  static BudgetService& sService = SharedService();
  const LedgerId id = LinkOf(0);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(sService.TryTake(id, kOneToken, BootClock::Now()));
  }
}
BENCHMARK(TryTakeOneBudget)->Threads(1)->Threads(4)->UseRealTime();

// Every VM's ledgers, driven by a manual clock over a network without delay.
class Fleet
{
public:
  Fleet(int aAccounts, int aMembers)
    : names(Members(aMembers))
  {
    const auto members = std::make_shared<const std::vector<BudgetMember>>(this->names);
    for (const BudgetSpec& spec : Accounts(aAccounts, 20, 20)) {
      this->ids.push_back(spec.id);
      for (const BudgetMember& member : this->names) {
        Ledger& ledger = this->ledgers[member.name]
                           .try_emplace(spec.id.name, spec.id, Options(member.name), this->now)
                           .first->second;
        ledger.OnView(BudgetView{ 1, BootTime(seconds(1)), BootTime::max() }, this->now);
        ledger.OnConfiguration(1, spec, members, this->now);
      }
    }
  }

  // One second in which every account asks for its rate, spread over all VMs.
  void RunSecond()
  {
    for (int tick = 0; tick < 100; ++tick) {
      this->now += milliseconds(10);
      for (std::size_t i = 0; i < this->ids.size(); ++i) {
        if ((static_cast<std::size_t>(tick) + i) % 5 == 0) {
          const std::string& vm = this->names[this->turn++ % this->names.size()].name;
          this->ledgers[vm].at(this->ids[i].name).TryAcquire(kOneToken, this->now);
        }
      }
      for (const BudgetMember& member : this->names) {
        for (auto& [name, ledger] : this->ledgers[member.name]) {
          if (ledger.NextTick() <= this->now) {
            this->Send(ledger.OnTick(this->now));
          }
        }
      }
      this->Deliver();
    }
  }

  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;

private:
  void Send(const std::vector<BudgetMessage>& aMessages)
  {
    for (const BudgetMessage& message : aMessages) {
      this->bytes += message.message.ByteSizeLong();
      ++this->messages;
      this->queue.push_back(message);
    }
  }
  void Deliver()
  {
    while (!this->queue.empty()) {
      const BudgetMessage message = std::move(this->queue.front());
      this->queue.pop_front();
      const Envelope& envelope = message.message;
      const BudgetId& budget = envelope.has_borrow_ask()      ? envelope.borrow_ask().budget()
                               : envelope.has_borrow_answer() ? envelope.borrow_answer().budget()
                                                              : envelope.spent_report().budget();
      Ledger& ledger = this->ledgers[envelope.to()].at(budget.name());
      this->Send(ledger.OnMessage(envelope, this->now));
    }
  }

  std::vector<BudgetMember> names;
  std::vector<LedgerId> ids;
  std::unordered_map<std::string, std::unordered_map<std::string, Ledger>> ledgers;
  std::deque<BudgetMessage> queue;
  BootTime now{ std::chrono::hours(1) };
  std::size_t turn = 0;
};

// The time is that of one VM for one second of ticks and messages.
void
SecondOfTicks(benchmark::State& aState)
{
  const auto accounts = static_cast<int>(aState.range(0));
  const auto members = static_cast<int>(aState.range(1));
  Fleet fleet(accounts, members);
  for (int i = 0; i < 3; ++i) {
    fleet.RunSecond();
  }
  fleet.bytes = 0;
  fleet.messages = 0;
  for (auto _ : aState) {
    fleet.RunSecond();
  }
  const double runs = static_cast<double>(aState.iterations()) * members;
  aState.counters["bytes_per_s_per_vm"] = static_cast<double>(fleet.bytes) / runs;
  aState.counters["messages_per_s_per_vm"] = static_cast<double>(fleet.messages) / runs;
  aState.counters["cpu_s_per_s_per_vm"] =
    benchmark::Counter(runs, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(SecondOfTicks)
  ->ArgNames({ "accounts", "members" })
  ->ArgsProduct({ { 8, 100, 1000 }, { 11, 33, 66 } })
  ->Unit(benchmark::kMillisecond)
  ->Iterations(2);

} // namespace

} // namespace plantainhaven
