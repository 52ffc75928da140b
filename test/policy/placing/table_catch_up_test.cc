#include "plantainhaven/policy/placing/table_catch_up.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

const BootTime kStart = BootTime(std::chrono::hours(1));

TEST_CASE("A VM that is behind asks one holder at a time, and another one after a refusal")
{
  TableCatchUp catchUp({});
  CHECK(catchUp.MayReadAt() == BootTime{});
  CHECK_FALSE(catchUp.NextAsk(kStart));
  catchUp.OnHolder("a", kStart);
  catchUp.OnHolder("b", kStart);
  CHECK(catchUp.NextAsk(kStart) == "b");
  CHECK_FALSE(catchUp.NextAsk(kStart + milliseconds(100)));
  catchUp.OnRefused("a");
  CHECK_FALSE(catchUp.NextAsk(kStart + milliseconds(100)));
  catchUp.OnRefused("b");
  CHECK(catchUp.NextAsk(kStart + milliseconds(100)) == "a");
  catchUp.OnHolder("c", kStart + milliseconds(110));
  CHECK_FALSE(catchUp.NextAsk(kStart + milliseconds(399)));
  CHECK(catchUp.NextAsk(kStart + milliseconds(400)) == "c");
  catchUp.OnCaughtUp();
  CHECK(catchUp.MayReadAt() == BootTime{});
}

TEST_CASE("A VM reads the store itself no later than after the head start")
{
  struct Case
  {
    const char* name;
    milliseconds linkTime;
    milliseconds expected;
  };
  const Case cases[] = { { "wide link", milliseconds(48), milliseconds(48) },
                         { "narrow link", milliseconds(304), milliseconds(300) },
                         { "very narrow link", milliseconds(20000), milliseconds(300) } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    TableCatchUp catchUp({});
    catchUp.OnAnswerBegun(entry.linkTime, kStart);
    CHECK(catchUp.MayReadAt() == kStart + entry.expected);
    // Later news doesn't postpone the read.
    catchUp.OnAnswerBegun(entry.linkTime, kStart + milliseconds(200));
    catchUp.OnHolder("a", kStart + milliseconds(200));
    CHECK(catchUp.MayReadAt() == kStart + entry.expected);
  }
}

TEST_CASE("Copies take a quarter of the link, and at least one is given")
{
  struct Case
  {
    const char* name;
    double megabits;
    std::size_t bytes;
    int copies;
  };
  const Case cases[] = { { "narrow link", 10, 120000, 1 },
                         { "narrow link, small copies", 10, 20000, 3 },
                         { "wide link", 200, 120000, 13 } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    CopyAllowance allowance(entry.megabits * 1e6 / 8);
    int given = 0;
    for (int ask = 0; ask < 40; ++ask) {
      given += allowance.TryTake(entry.bytes, kStart + milliseconds(ask)) ? 1 : 0;
    }
    CHECK(given == entry.copies);
    CHECK(allowance.TryTake(entry.bytes, kStart + milliseconds(260)));
  }
}

// VMs of one region; a link carries one transfer after the other in each direction.
class RegionModel
{
public:
  struct Sizes
  {
    std::size_t answer = 0;
    std::size_t copy = 0;
  };

  RegionModel(std::vector<double> aMegabits, Sizes aSizes, std::uint64_t aSeed)
    : sizes(aSizes)
    , random(aSeed)
  {
    for (const double megabits : aMegabits) {
      Vm vm;
      vm.bytesPerMs = megabits * 1000 / 8;
      vm.allowance = CopyAllowance(megabits * 1e6 / 8);
      this->vms.push_back(std::move(vm));
    }
  }

  // Returns the time until all VMs have the new rows, of which VM `aPoller` learns first.
  milliseconds Run(std::size_t aPoller)
  {
    this->BeginRead(aPoller);
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
      if (vm != aPoller) {
        const Vm& state = this->vms[vm];
        this->vms[vm].catchUp.OnAnswerBegun(
          milliseconds(static_cast<int>(this->sizes.answer / state.bytesPerMs)), this->Now());
      }
    }
    while (this->doneCount < this->vms.size() && this->elapsed < 60000) {
      ++this->elapsed;
      for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        this->StepVm(vm);
      }
    }
    return milliseconds(this->elapsed);
  }
  std::size_t StoreReads() const { return this->storeReads; }

private:
  struct Vm
  {
    double bytesPerMs = 0;
    TableCatchUp catchUp{ {} };
    CopyAllowance allowance{ 0 };
    bool isDone = false;
    // Bytes of the store's answer that are still to come; below zero while none is being read.
    double answerLeft = -1;
    // Time at which the copy that was asked for has arrived; 0 while none is on its way.
    int copyAt = 0;
    // When the link has sent what it has to send.
    double sendsUntil = 0;
  };

  BootTime Now() const { return kStart + milliseconds(this->elapsed); }
  void BeginRead(std::size_t aVm)
  {
    this->vms[aVm].answerLeft = static_cast<double>(this->sizes.answer);
    ++this->storeReads;
  }
  void StepVm(std::size_t aVm)
  {
    Vm& vm = this->vms[aVm];
    if (vm.isDone) {
      return;
    }
    if (vm.answerLeft >= 0) {
      vm.answerLeft -= vm.bytesPerMs;
    } else if (vm.catchUp.MayReadAt() <= this->Now()) {
      this->BeginRead(aVm);
    }
    const bool isAnswerRead =
      vm.answerLeft < 0 && vm.answerLeft > -vm.bytesPerMs - 1 && vm.answerLeft != -1;
    if (isAnswerRead || (vm.copyAt > 0 && this->elapsed >= vm.copyAt)) {
      this->Finish(aVm);
      return;
    }
    if (vm.copyAt == 0) {
      if (const auto holder = vm.catchUp.NextAsk(this->Now())) {
        this->Ask(aVm, static_cast<std::size_t>(std::stoul(*holder)));
      }
    }
  }
  void Ask(std::size_t aFrom, std::size_t aHolder)
  {
    Vm& holder = this->vms[aHolder];
    if (!holder.allowance.TryTake(this->sizes.copy, this->Now())) {
      this->vms[aFrom].catchUp.OnRefused(std::to_string(aHolder));
      return;
    }
    const double startsAt = std::max<double>(this->elapsed, holder.sendsUntil);
    const double slower = std::min(holder.bytesPerMs, this->vms[aFrom].bytesPerMs);
    holder.sendsUntil = startsAt + static_cast<double>(this->sizes.copy) / holder.bytesPerMs;
    this->vms[aFrom].copyAt =
      static_cast<int>(std::ceil(startsAt + static_cast<double>(this->sizes.copy) / slower)) + 2;
  }
  void Finish(std::size_t aVm)
  {
    this->vms[aVm].isDone = true;
    ++this->doneCount;
    std::vector<std::size_t> order(this->vms.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), this->random);
    for (const std::size_t other : order) {
      if (!this->vms[other].isDone) {
        this->vms[other].catchUp.OnHolder(std::to_string(aVm), this->Now());
      }
    }
  }

  Sizes sizes;
  std::mt19937_64 random;
  std::vector<Vm> vms;
  std::size_t doneCount = 0;
  std::size_t storeReads = 0;
  int elapsed = 0;
};

// The largest configuration of the incident: 1.24 MB from the store, a tenth of that compressed.
TEST_CASE("A large configuration reaches all VMs of a region in half of the agreed time")
{
  struct Case
  {
    const char* name;
    std::size_t wide;
    std::size_t narrow;
    // Reads of the store that are enough.
    std::size_t maxReads;
  };
  const Case cases[] = { { "20 VMs, 4 wide", 4, 16, 8 },
                         { "30 VMs, 4 wide", 4, 26, 8 },
                         { "106 VMs, 14 wide", 14, 92, 16 },
                         { "30 VMs, all narrow", 0, 30, 30 } };
  for (const Case& entry : cases) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(entry.name, seed);
      std::vector<double> megabits(entry.wide, 200);
      megabits.insert(megabits.end(), entry.narrow, 10);
      RegionModel region(megabits, { .answer = 1240000, .copy = 124000 }, seed);
      // The VM that happens to poll has a narrow link.
      const milliseconds took = region.Run(megabits.size() - 1);
      CHECK(took <= milliseconds(1500));
      CHECK(region.StoreReads() <= entry.maxReads);
    }
  }
}

} // namespace
} // namespace plantainhaven::placing
