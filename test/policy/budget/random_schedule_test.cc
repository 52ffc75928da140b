#include "policy/budget/fleet_model.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <set>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kStep{ 5 };
constexpr int kSteps = 800;
constexpr std::uint64_t kDefaultSeeds = 4000;

std::uint64_t
Seeds()
{
  const char* wanted = std::getenv("PLANTAINHAVEN_SEEDS");
  return wanted == nullptr ? kDefaultSeeds : std::strtoull(wanted, nullptr, 10);
}

// Short periods, so that many pauses, restarts and revisions fit into one schedule.
LedgerOptions
ShortTimes()
{
  LedgerOptions options;
  options.freshness = milliseconds(300);
  options.grantValidity = milliseconds(200);
  options.clockMargin = milliseconds(20);
  options.lookahead = milliseconds(100);
  options.borrowTimeout = milliseconds(60);
  options.reportInterval = milliseconds(30);
  return options;
}

// The type of budget in a random schedule, and whether its limits change.
struct ScheduleKind
{
  const char* name;
  BudgetId::Type type;
  bool specChanges;
};

// Checks the bound over all time windows as a leaky bucket: the level rises by admitted
// tokens, drains at the rate, and must never exceed the burst. The level is the highest
// amount by which any window that ends now exceeds rate * window.
class WindowBound
{
public:
  void Advance(nanoseconds aStep, TokenThousandths aRate)
  {
    this->debt -= static_cast<double>(aRate) * std::chrono::duration<double>(aStep).count();
    this->debt = std::max(this->debt, 0.0);
  }
  void Admit(TokenThousandths aAmount) { this->debt += static_cast<double>(aAmount); }
  void Restart() { this->debt = 0; }
  double Debt() const { return this->debt; }

private:
  double debt = 0;
};

class RandomSchedule
{
public:
  RandomSchedule(const ScheduleKind& aKind, std::uint64_t aSeed)
    : kind(aKind)
    , model(ShortTimes(), Faults(aSeed), aSeed)
  {
    this->model.longestApply = milliseconds(200);
    for (std::int64_t i = this->model.Pick(2, 6); i > 0; --i) {
      this->names.insert(this->NewName());
    }
    this->spec.id = LedgerId{ aKind.type, "budget" };
    this->ChangeSpec();
    this->AddRevision();
    this->model.revisions.back().acceptedAt = this->model.now;
    this->model.Step(milliseconds(2000));
    for (const std::string& name : this->names) {
      this->model.StartVm(name);
    }
    this->busiest = *this->names.begin();
  }

  // Runs one step; false when the bound was violated.
  bool Step()
  {
    this->InjectFaults();
    this->model.Step(kStep);
    const std::size_t oldest = this->model.OldestInForce(this->spec.longestUse);
    if (oldest != this->lastOldest) {
      this->lastOldest = oldest;
      this->bound.Restart();
    }
    BudgetSpec most = this->model.revisions[oldest].spec;
    for (std::size_t i = oldest; i < this->model.revisions.size(); ++i) {
      const BudgetSpec& other = this->model.revisions[i].spec;
      most.capacity = std::max(most.capacity, other.capacity);
      most.ratePerSecond = std::max(most.ratePerSecond, other.ratePerSecond);
    }
    this->bound.Advance(kStep, most.ratePerSecond);
    for (auto& [name, vm] : this->model.vms) {
      this->Load(vm);
    }
    this->limit = most.capacity;
    this->reached = IsConcurrency(this->kind.type)
                      ? static_cast<double>(this->model.InUse() * kOneToken)
                      : this->bound.Debt();
    return this->reached <= static_cast<double>(this->limit) + 0.5;
  }

  TokenThousandths limit = 0;
  double reached = 0;
  std::uint64_t admitted = 0;

private:
  static NetworkFaults Faults(std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed * 7919);
    const std::array shares{ 0.0, 0.1, 0.4 };
    const std::array longest{ milliseconds(2), milliseconds(30), milliseconds(400) };
    NetworkFaults faults;
    faults.loss = shares[random() % shares.size()];
    faults.duplication = shares[random() % shares.size()];
    faults.longestDelay = longest[random() % longest.size()];
    return faults;
  }

  std::string NewName() { return "vm" + std::to_string(++this->namesMade); }

  void ChangeSpec()
  {
    const bool slots = IsConcurrency(this->kind.type);
    this->spec.capacity = kOneToken * this->model.Pick(1, 60);
    this->spec.ratePerSecond = slots ? 0 : this->spec.capacity * this->model.Pick(1, 8);
    this->spec.longestUse = slots ? nanoseconds(milliseconds(300)) : nanoseconds(0);
  }

  void AddRevision()
  {
    const std::vector<std::string> list(this->names.begin(), this->names.end());
    this->model.AddRevision(this->spec, list);
  }

  ModelVm& RandomVm()
  {
    auto vm = this->model.vms.begin();
    std::advance(vm, this->model.Pick(0, static_cast<std::int64_t>(this->model.vms.size()) - 1));
    return vm->second;
  }

  // A random probability per step of one kind of fault, from never to often.
  double RandomFrequency()
  {
    const std::array frequencies{ 0.0, 0.0, 0.002, 0.01 };
    return frequencies[static_cast<std::size_t>(this->model.Pick(0, frequencies.size() - 1))];
  }

  void InjectFaults()
  {
    if (this->model.Chance(this->pauses)) {
      ModelVm& vm = this->RandomVm();
      vm.pausedUntil = this->model.now + milliseconds(this->model.Pick(20, 900));
    }
    if (this->model.Chance(this->restarts)) {
      ModelVm& vm = this->RandomVm();
      this->model.Kill(vm);
      this->model.StartVm(vm.name);
      vm.pausedUntil = this->model.now + milliseconds(this->model.Pick(0, 100));
    }
    if (this->model.now >= this->demandChangesAt) {
      this->ChangeDemand();
    }
    ModelRevision& newest = this->model.revisions.back();
    if (newest.acceptedAt != BootTime::max() && this->model.Chance(this->changes)) {
      this->ChangeConfiguration();
    } else if (this->model.Chance(0.1)) {
      newest.acceptedAt = std::min(newest.acceptedAt, this->model.now);
    }
  }

  // Quiet periods, in which all tokens refill, alternate with bursts.
  void ChangeDemand()
  {
    const std::array demands{ 0.1, 0.3, 1.0 };
    this->quiet = !this->quiet;
    this->busiest = this->RandomVm().name;
    this->othersDemand = demands[static_cast<std::size_t>(this->model.Pick(0, 2))];
    this->attemptsAtOnce = this->model.Pick(1, 20);
    this->demandChangesAt = this->model.now + milliseconds(this->quiet ? this->model.Pick(50, 1200)
                                                                       : this->model.Pick(20, 400));
  }

  void ChangeConfiguration()
  {
    if (this->kind.specChanges && this->model.Chance(0.3)) {
      this->ChangeSpec();
    }
    if (this->model.Chance(0.5)) {
      const std::string name = this->NewName();
      this->names.insert(name);
      this->AddRevision();
      this->model.StartVm(name);
    } else if (this->names.size() > 1) {
      this->names.erase(this->names.begin());
      this->AddRevision();
    }
  }

  void Load(ModelVm& aVm)
  {
    if (this->quiet || !this->model.Running(aVm)) {
      return;
    }
    const double chance = aVm.name == this->busiest ? 1.0 : this->othersDemand;
    const std::int64_t attempts =
      this->model.Chance(chance) ? this->model.Pick(1, this->attemptsAtOnce) : 0;
    for (std::int64_t i = 0; i < attempts; ++i) {
      const nanoseconds use = this->spec.longestUse.count() == 0
                                ? nanoseconds(0)
                                : nanoseconds(this->model.Pick(1, this->spec.longestUse.count()));
      if (this->model.TryAcquire(aVm, kOneToken, use).Acquired()) {
        this->bound.Admit(kOneToken);
        ++this->admitted;
      }
    }
  }

  ScheduleKind kind;
  FleetModel model;
  BudgetSpec spec;
  std::set<std::string> names;
  int namesMade = 0;
  double pauses = RandomFrequency();
  double restarts = RandomFrequency();
  double changes = RandomFrequency();
  std::string busiest;
  double othersDemand = 0.3;
  std::int64_t attemptsAtOnce = 5;
  bool quiet = true;
  BootTime demandChangesAt{};
  std::size_t lastOldest = 0;
  WindowBound bound;
};

} // namespace

TEST_CASE("No schedule of faults lets the fleet exceed a budget", "[random]")
{
  const std::array kinds{
    ScheduleKind{ "rate", BudgetId::ACCOUNT_RATE, false },
    ScheduleKind{ "rate, limits change", BudgetId::ACCOUNT_RATE, true },
    ScheduleKind{ "slots", BudgetId::REGION_SLOTS, false },
    ScheduleKind{ "slots, limits change", BudgetId::REGION_SLOTS, true },
  };
  for (const ScheduleKind& kind : kinds) {
    std::uint64_t admitted = 0;
    std::uint64_t broken = 0;
    std::uint64_t firstSeed = 0;
    int firstStep = 0;
    double reached = 0;
    TokenThousandths limit = 0;
    for (std::uint64_t seed = 1; seed <= Seeds() / kinds.size(); ++seed) {
      RandomSchedule schedule(kind, seed);
      bool within = true;
      int step = 0;
      for (; step < kSteps && within; ++step) {
        within = schedule.Step();
      }
      admitted += schedule.admitted;
      if (!within && broken++ == 0) {
        firstSeed = seed;
        firstStep = step;
        reached = schedule.reached;
        limit = schedule.limit;
      }
    }
    INFO(kind.name << ": admitted " << admitted << ", first broken seed " << firstSeed
                   << " at step " << firstStep << " reached " << reached << " of " << limit);
    CHECK(broken == 0);
    CHECK(admitted > Seeds());
  }
}

} // namespace plantainhaven
