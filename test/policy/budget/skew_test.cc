#include "policy/budget/fleet_model.h"

#include "plantainhaven/policy/budget/specs.h"

#include <catch2/catch.hpp>

#include <cstdio>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr int kVms = 11;
constexpr milliseconds kStep{ 1 };
constexpr int kWarmUpSteps = 6000;
constexpr int kMeasuredSteps = 10'000;
constexpr milliseconds kLongestWait{ 150 };

// How the callers of an account are spread over the VMs and how much they request.
struct SkewCase
{
  const char* name;
  // Requests per second as a multiple of the account's rate.
  double demand;
  bool oneVm;
  bool homeDies;
};

constexpr std::array kCases{
  SkewCase{ "uniform, 0.9 of rate", 0.9, false, false },
  SkewCase{ "all callers on one VM, 0.9", 0.9, true, false },
  SkewCase{ "5 times the rate", 5.0, false, false },
  SkewCase{ "home VM dead, uniform 0.5", 0.5, false, true },
  SkewCase{ "home VM dead, one VM 0.5", 0.5, true, true },
};

struct AccountCase
{
  const char* name;
  double rate;
  double burst;
};

constexpr std::array kAccounts{
  AccountCase{ "large-1", 400, 400 }, AccountCase{ "large-2", 200, 400 },
  AccountCase{ "medium-1", 50, 50 },  AccountCase{ "medium-2", 50, 100 },
  AccountCase{ "small-1", 20, 20 },   AccountCase{ "small-2", 20, 5 },
  AccountCase{ "small-3", 10, 5 },    AccountCase{ "small-4", 10, 2 },
};

// One-way delays between VMs.
struct DelayCase
{
  const char* name;
  milliseconds shortest;
  milliseconds longest;
};

constexpr std::array kDelays{
  DelayCase{ "Academy", milliseconds(1), milliseconds(12) },
  DelayCase{ "Association", milliseconds(1), milliseconds(55) },
};

struct Waiting
{
  ModelVm* vm = nullptr;
  BootTime since{};
};

// The outcomes of the requests of an account in the measured period.
struct SkewResult
{
  std::uint64_t idealAdmitted = 0;
  std::uint64_t admitted = 0;
  std::uint64_t waited = 0;
  std::uint64_t mostWaiting = 0;
  double messagesPerSecond = 0;
  double bytesPerSecond = 0;

  // Requests refused although one token bucket for the whole fleet would admit them, in %
  // of those that it admits.
  double ExcessRefusals() const
  {
    const auto ideal = static_cast<double>(this->idealAdmitted);
    return std::max(0.0, 100.0 * (ideal - static_cast<double>(this->admitted)) / ideal);
  }
};

class SkewRun
{
public:
  SkewRun(const SkewCase& aCase,
          const AccountCase& aAccount,
          const DelayCase& aDelay,
          std::int64_t aFloor)
    : kind(aCase)
    , account(aAccount)
    , model(Options(aFloor), NetworkFaults{ 0, 0, aDelay.shortest, aDelay.longest }, 1)
    , spec(AccountBudget(aAccount.name, aAccount.rate, aAccount.burst))
    , idealTokens(aAccount.burst)
  {
    std::vector<std::string> names;
    for (int i = 1; i <= kVms; ++i) {
      names.push_back("vm" + std::to_string(i));
    }
    this->model.AddRevision(this->spec, names);
    this->model.revisions.back().acceptedAt = this->model.now;
    for (const std::string& name : names) {
      this->model.StartVm(name);
    }
    const BudgetMembers& members = this->model.revisions.back().members;
    this->home = (*members)[HoldersOf(this->spec, *members, aFloor).front()].name;
    this->busy = this->home == "vm1" ? "vm2" : "vm1";
  }

  SkewResult Run()
  {
    for (int step = 0; step < kWarmUpSteps + kMeasuredSteps; ++step) {
      if (step == kWarmUpSteps) {
        this->StartMeasuring();
      }
      this->model.Step(kStep);
      this->idealTokens += this->account.rate * std::chrono::duration<double>(kStep).count();
      this->idealTokens = std::min(this->idealTokens, this->account.burst);
      this->ServeWaiting();
      this->Arrive();
    }
    const double seconds = std::chrono::duration<double>(kStep).count() * kMeasuredSteps;
    this->result.messagesPerSecond = static_cast<double>(this->model.messages) / seconds;
    this->result.bytesPerSecond = static_cast<double>(this->model.bytes) / seconds;
    return this->result;
  }

private:
  static LedgerOptions Options(std::int64_t aFloor)
  {
    LedgerOptions options;
    options.floorThousandths = aFloor;
    return options;
  }

  void StartMeasuring()
  {
    this->result = SkewResult{};
    this->model.messages = 0;
    this->model.bytes = 0;
    if (this->kind.homeDies) {
      this->model.Kill(this->model.vms.at(this->home));
    }
  }

  void Arrive()
  {
    const double perStep =
      this->kind.demand * this->account.rate * std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> arrivals(perStep);
    for (int count = arrivals(this->model.random); count > 0; --count) {
      ModelVm& vm = this->PickVm();
      if (this->idealTokens >= 1) {
        this->idealTokens -= 1;
        ++this->result.idealAdmitted;
      }
      if (this->model.TryAcquire(vm, kOneToken).Acquired()) {
        ++this->result.admitted;
      } else if (this->MayWait(vm)) {
        this->waiting.push_back(Waiting{ &vm, this->model.now });
      }
    }
  }

  bool MayWait(ModelVm& aVm) const
  {
    const auto ahead = std::count_if(this->waiting.begin(),
                                     this->waiting.end(),
                                     [&](const Waiting& aOther) { return aOther.vm == &aVm; });
    return aVm.ledger->MayBecomeAvailable(
      kOneToken, this->model.LocalTime(aVm), kLongestWait, ahead * kOneToken);
  }

  ModelVm& PickVm()
  {
    while (!this->kind.oneVm) {
      ModelVm& vm = this->model.vms.at("vm" + std::to_string(this->model.Pick(1, kVms)));
      if (vm.alive) {
        return vm;
      }
    }
    return this->model.vms.at(this->busy);
  }

  // Retries waiting requests in the same way as BudgetService::Take.
  void ServeWaiting()
  {
    std::deque<Waiting> stillWaiting;
    for (const Waiting& request : this->waiting) {
      const nanoseconds remaining = request.since + kLongestWait - this->model.now;
      ModelVm& vm = *request.vm;
      if (this->model.TryAcquire(vm, kOneToken, nanoseconds(0), Attempt::kRetry).Acquired()) {
        ++this->result.admitted;
        ++this->result.waited;
      } else if (remaining > nanoseconds(0) &&
                 vm.ledger->MayBecomeAvailable(kOneToken, this->model.LocalTime(vm), remaining)) {
        stillWaiting.push_back(request);
      }
    }
    this->waiting = std::move(stillWaiting);
    this->result.mostWaiting =
      std::max<std::uint64_t>(this->result.mostWaiting, this->waiting.size());
  }

  SkewCase kind;
  AccountCase account;
  FleetModel model;
  BudgetSpec spec;
  double idealTokens;
  std::string busy;
  std::string home;
  std::deque<Waiting> waiting;
  SkewResult result;
};

// The sum over all accounts in one case, and the account with the most excess refusals.
struct SkewSummary
{
  SkewResult sum;
  double worst = 0;
  const char* worstAccount = "";
};

SkewSummary
RunAll(const SkewCase& aCase, const DelayCase& aDelay, std::int64_t aFloor)
{
  SkewSummary summary;
  for (const AccountCase& account : kAccounts) {
    const SkewResult result = SkewRun(aCase, account, aDelay, aFloor).Run();
    summary.sum.idealAdmitted += result.idealAdmitted;
    summary.sum.admitted += std::min(result.admitted, result.idealAdmitted);
    summary.sum.waited += result.waited;
    summary.sum.mostWaiting += result.mostWaiting;
    summary.sum.messagesPerSecond += result.messagesPerSecond;
    summary.sum.bytesPerSecond += result.bytesPerSecond;
    if (result.ExcessRefusals() >= summary.worst) {
      summary.worst = result.ExcessRefusals();
      summary.worstAccount = account.name;
    }
  }
  return summary;
}

// The highest accepted percentage of excess refusals with the default floor: over all
// accounts, and for the worst account.
struct SkewBound
{
  std::size_t delay;
  std::size_t kind;
  double all;
  double worst;
};

} // namespace

TEST_CASE("Skewed demand is served about as well as by one token bucket for the whole fleet")
{
  const std::array bounds{
    SkewBound{ 0, 0, 0.1, 2 },  SkewBound{ 0, 1, 0.1, 2 },  SkewBound{ 0, 2, 0.5, 15 },
    SkewBound{ 1, 0, 1.0, 12 }, SkewBound{ 1, 1, 0.5, 15 }, SkewBound{ 1, 2, 1.0, 25 },
  };
  for (const SkewBound& bound : bounds) {
    const SkewCase& kind = kCases[bound.kind];
    const DelayCase& delay = kDelays[bound.delay];
    const SkewSummary summary = RunAll(kind, delay, kDefaultFloorThousandths);
    CAPTURE(delay.name, kind.name, summary.worstAccount);
    CHECK(summary.sum.ExcessRefusals() <= bound.all);
    CHECK(summary.worst <= bound.worst);
  }
}

TEST_CASE("Floor fractions against skewed demand", "[.experiment]")
{
  std::printf(
    "| delays | case | floor | wrongful %% | worst account %% | waited %% | most waiting | "
    "messages/s per VM | bytes/s per VM |\n");
  for (const DelayCase& delay : kDelays) {
    for (const SkewCase& kind : kCases) {
      for (const std::int64_t floor : { 0, 250, 500, 750, 1000 }) {
        const SkewSummary summary = RunAll(kind, delay, floor);
        const auto admitted = static_cast<double>(summary.sum.admitted);
        std::printf("| %s | %s | %.2f | %.2f | %.2f (%s) | %.1f | %llu | %.0f | %.0f |\n",
                    delay.name,
                    kind.name,
                    static_cast<double>(floor) / 1000,
                    summary.sum.ExcessRefusals(),
                    summary.worst,
                    summary.worstAccount,
                    100.0 * static_cast<double>(summary.sum.waited) / admitted,
                    static_cast<unsigned long long>(summary.sum.mostWaiting),
                    summary.sum.messagesPerSecond / kVms,
                    summary.sum.bytesPerSecond / kVms);
        std::fflush(stdout);
      }
    }
  }
}

} // namespace plantainhaven
