#include "policy/placing/quota_world.h"

#include <catch2/catch.hpp>
#include <functional>

namespace plantainhaven::placing {
namespace {

using std::chrono::seconds;

// A range has an owner again this long after the last fault: a VM is missed for 5 s, its ranges
// are taken over 17 s after it was suspected, and each needs a read and a write of the store.
constexpr milliseconds kOwnerBound{ 25000 };
// The same where VMs that own less than half of the ring are left, or other VMs must stand in.
constexpr milliseconds kSlowOwnerBound{ 95000 };
// The heir reads the store for itself if the message about its ranges is lost.
constexpr milliseconds kPlannedBound = QuotaOwnership::kRenewAfter + seconds(1);
constexpr milliseconds kGrace{ 3000 };
constexpr std::uint64_t kSeries = 200;

struct Event
{
  const char* name;
  std::function<void(QuotaWorld&, const std::string& aVm)> apply;
  // How long the fault lasts.
  milliseconds lasts{ 0 };
};

void
Replace(QuotaWorld& aWorld, const std::string& aVm)
{
  aWorld.Start(aVm + "'");
  aWorld.Stop(aVm, kGrace);
}

// Planned work and faults of VMs and the store, without a store that comes back from a copy.
const Event kEvents[] = {
  { "stop", [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.Stop(aVm, kGrace); }, kGrace },
  { "replace", Replace, kGrace },
  { "restart", [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.Start(aVm); } },
  { "kill", [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.Kill(aVm); } },
  { "sleep 5 s",
    [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.Sleep(aVm, seconds(5)); },
    seconds(5) },
  { "sleep 25 s",
    [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.Sleep(aVm, seconds(25)); },
    seconds(25) },
  { "sleep 45 s",
    [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.Sleep(aVm, seconds(45)); },
    seconds(45) },
  { "cut from the store",
    [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.CutFromStore(aVm, seconds(30)); },
    seconds(30) },
  { "cut from the VMs",
    [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.CutFromVms(aVm, seconds(30)); },
    seconds(30) },
  { "cut off",
    [](QuotaWorld& aWorld, const std::string& aVm) {
      aWorld.CutFromStore(aVm, seconds(40));
      aWorld.CutFromVms(aVm, seconds(40));
    },
    seconds(40) },
  { "store away",
    [](QuotaWorld& aWorld, const std::string&) { aWorld.StopStore(milliseconds(4500)); },
    milliseconds(4500) },
  { "store away for long",
    [](QuotaWorld& aWorld, const std::string&) { aWorld.StopStore(seconds(40)); },
    seconds(40) },
  { "answers lost",
    [](QuotaWorld& aWorld, const std::string&) { aWorld.LoseAnswers(seconds(6)); },
    seconds(6) },
  { "writes late",
    [](QuotaWorld& aWorld, const std::string&) { aWorld.DelayWrites(seconds(6)); },
    seconds(12) },
};

const char* const kVms[] = { "a", "b", "c" };

// Three VMs that own equal parts.
void
StartThree(QuotaWorld& aWorld)
{
  for (const char* vm : kVms) {
    aWorld.Start(vm);
  }
  REQUIRE(aWorld.RunFor(seconds(10)));
  REQUIRE(aWorld.GrantedLength() == kQuotaRingSize);
}

bool
HasAnyVm(const QuotaWorld& aWorld)
{
  return std::any_of(std::begin(kVms), std::end(kVms), [&aWorld](const std::string& aVm) {
    return aWorld.IsRunning(aVm) || aWorld.IsRunning(aVm + "'");
  });
}

// A store that comes back from a copy.
const Event kRewinds[] = {
  { "copy 2 s old",
    [](QuotaWorld& aWorld, const std::string&) { aWorld.Rewind(seconds(2)); },
    seconds(1) },
  { "copy 6 s old after an outage",
    [](QuotaWorld& aWorld, const std::string&) {
      aWorld.StopStore(milliseconds(600));
      aWorld.Rewind(seconds(6));
    },
    seconds(1) },
  { "copy 20 s old",
    [](QuotaWorld& aWorld, const std::string&) { aWorld.Rewind(seconds(20)); },
    seconds(1) },
};

struct Step
{
  const Event* event;
  std::string vm;
  milliseconds pause;
};

// Plays the steps; then each unit must be granted by one VM.
void
Play(const std::vector<Step>& aSteps, std::uint64_t aSeed)
{
  QuotaWorld world(aSeed);
  StartThree(world);
  milliseconds lasts{ 0 };
  for (const Step& step : aSteps) {
    world.Note(std::string("-- ") + step.event->name + " " + step.vm);
    step.event->apply(world, step.vm);
    lasts = std::max(lasts, step.event->lasts) - std::min(lasts, step.pause);
    if (!world.RunFor(step.pause)) {
      FAIL("two VMs grant the same units, seed " << aSeed << "\n" << world.Text());
    }
  }
  if (!world.RunFor(std::max(lasts, milliseconds(0)) + seconds(45))) {
    FAIL("two VMs grant the same units, seed " << aSeed << "\n" << world.Text());
  }
  if (!HasAnyVm(world)) {
    world.Start("d");
  }
  if (!world.RunFor(kSlowOwnerBound)) {
    FAIL("two VMs grant the same units, seed " << aSeed << "\n" << world.Text());
  }
  if (world.GrantedLength() != kQuotaRingSize) {
    FAIL("units without an owner, seed " << aSeed << "\n" << world.Text());
  }
}

// Plays six random events at random VMs.
void
PlaySeries(std::uint64_t aSeed, bool aHasRewinds)
{
  constexpr int kPauses[] = { 250, 1000, 3000, 7000, 18000 };
  std::mt19937_64 random(aSeed);
  std::vector<Step> steps;
  for (int i = 0; i < 6; ++i) {
    const bool isRewind = aHasRewinds && random() % 3 == 0;
    steps.push_back({ isRewind ? &kRewinds[random() % std::size(kRewinds)]
                               : &kEvents[random() % std::size(kEvents)],
                      kVms[random() % std::size(kVms)],
                      milliseconds(kPauses[random() % std::size(kPauses)]) });
  }
  Play(steps, aSeed);
}

} // namespace

// Replaced VMs took their ranges with them, until no VM granted anything.
TEST_CASE("Ranges of VMs that were replaced one after the other are owned by the others")
{
  struct Case
  {
    const char* name;
    std::function<void(QuotaWorld&, const std::string&)> end;
    milliseconds bound;
  };
  const Case cases[] = {
    { "by planned stops",
      [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.Stop(aVm, kGrace); },
      kPlannedBound },
    { "killed", [](QuotaWorld& aWorld, const std::string& aVm) { aWorld.Kill(aVm); }, kOwnerBound },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    QuotaWorld world(1);
    StartThree(world);
    for (const char* vm : kVms) {
      world.Start(std::string(vm) + "'");
      REQUIRE(world.RunFor(seconds(5)));
      entry.end(world, vm);
      REQUIRE(world.RunFor(entry.bound));
      CAPTURE(vm, world.Text());
      CHECK(world.GrantedLength() == kQuotaRingSize);
    }
    CHECK(world.Store().Rows().vms.size() == 3);
  }
}

TEST_CASE("A planned stop leaves no unit without an owner for longer than a write takes")
{
  QuotaWorld world(1);
  StartThree(world);
  world.Stop("b", kGrace);
  REQUIRE(world.RunFor(seconds(1)));
  CHECK_FALSE(world.IsRunning("b"));
  CHECK(world.GrantedLength() == kQuotaRingSize);
}

TEST_CASE("VMs that stop at the same moment don't leave their ranges to each other")
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    QuotaWorld world(seed);
    StartThree(world);
    world.Stop("a", kGrace);
    REQUIRE(world.RunFor(milliseconds(250 * (seed % 4))));
    world.Stop("b", kGrace);
    REQUIRE(world.RunFor(kPlannedBound));
    CAPTURE(seed, world.Text());
    CHECK(TotalLength(world.GrantedBy("c")) == kQuotaRingSize);
  }
}

TEST_CASE("The last VM of a fleet owns the whole quota in time")
{
  struct Case
  {
    const char* name;
    bool isPlanned;
    milliseconds bound;
  };
  const Case cases[] = { { "planned", true, kPlannedBound }, { "killed", false, kSlowOwnerBound } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    QuotaWorld world(1);
    StartThree(world);
    for (const char* vm : { "a", "b" }) {
      entry.isPlanned ? world.Stop(vm, kGrace) : world.Kill(vm);
    }
    REQUIRE(world.RunFor(entry.bound));
    CAPTURE(world.Text());
    CHECK(TotalLength(world.GrantedBy("c")) == kQuotaRingSize);
  }
}

// The killed VM was still counted as one that could be given ranges.
TEST_CASE("A VM that joins after another one was taken over is given its part")
{
  QuotaWorld world(1);
  StartThree(world);
  world.Kill("b");
  REQUIRE(world.RunFor(kOwnerBound));
  world.Kill("c");
  REQUIRE(world.RunFor(kSlowOwnerBound));
  world.Start("d");
  REQUIRE(world.RunFor(seconds(10)));
  CAPTURE(world.Text());
  CHECK(TotalLength(world.GrantedBy("a")) == kQuotaRingSize / 2);
  CHECK(TotalLength(world.GrantedBy("d")) == kQuotaRingSize / 2);
}

TEST_CASE("VMs that hear one another go on granting while the store is away")
{
  QuotaWorld world(1);
  StartThree(world);
  world.StopStore(seconds(300));
  SECTION("all are alive")
  {
    for (int i = 0; i < 290; ++i) {
      REQUIRE(world.RunFor(seconds(1)));
      REQUIRE(world.GrantedLength() == kQuotaRingSize);
    }
  }
  SECTION("one ends meanwhile")
  {
    world.Kill("b");
    for (int i = 0; i < 50; ++i) {
      REQUIRE(world.RunFor(seconds(1)));
      REQUIRE(world.GrantedLength() >= kQuotaRingSize / 2);
    }
  }
}

TEST_CASE("A VM that is cut off keeps granting for what is left of its lease")
{
  QuotaWorld world(1);
  StartThree(world);
  world.CutFromStore("b", seconds(12));
  world.CutFromVms("b", seconds(12));
  const QuotaRanges before = world.GrantedBy("b");
  const milliseconds sureTime = QuotaOwnership::kLease - QuotaOwnership::kRenewAfter;
  for (milliseconds passed{ 0 }; passed < sureTime; passed += QuotaWorld::kStep) {
    CHECK(world.GrantedBy("b") == before);
    REQUIRE(world.RunFor(QuotaWorld::kStep));
  }
  REQUIRE(world.RunFor(seconds(10)));
  CHECK(world.GrantedBy("b") == before);
}

TEST_CASE("A fleet that grows and shrinks keeps its parts even and its ranges few")
{
  QuotaWorld world(1);
  const auto nameOf = [](int aNumber) { return "vm-" + std::to_string(100 + aNumber); };
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 24; ++i) {
      if (!world.IsRunning(nameOf(i))) {
        world.Start(nameOf(i));
      }
    }
    REQUIRE(world.RunFor(seconds(20)));
    REQUIRE(world.GrantedLength() == kQuotaRingSize);
    std::size_t ranges = 0;
    for (int i = 0; i < 24; ++i) {
      const QuotaRanges granted = world.GrantedBy(nameOf(i));
      CAPTURE(round, i);
      CHECK(TotalLength(granted) >= kQuotaRingSize / 24 / 4);
      CHECK(TotalLength(granted) <= kQuotaRingSize / 24 * 4);
      ranges += granted.size();
    }
    CHECK(ranges <= 4 * 24);
    for (int i = 4; i < 24; ++i) {
      world.Stop(nameOf(i), kGrace);
      REQUIRE(world.RunFor(seconds(1)));
    }
    REQUIRE(world.RunFor(seconds(5)));
    REQUIRE(world.GrantedLength() == kQuotaRingSize);
    for (int i = 0; i < 4; ++i) {
      CHECK(TotalLength(world.GrantedBy(nameOf(i))) <= kQuotaRingSize / 4 * 2);
    }
  }
}

TEST_CASE("A fleet of many VMs that start at once shares the quota evenly")
{
  QuotaWorld world(1);
  constexpr int kCount = 90;
  const auto nameOf = [](int aNumber) { return "vm-" + std::to_string(100 + aNumber); };
  for (int i = 0; i < kCount; ++i) {
    world.Start(nameOf(i));
  }
  REQUIRE(world.RunFor(seconds(15)));
  CHECK(world.GrantedLength() == kQuotaRingSize);
  for (int i = 0; i < kCount; ++i) {
    CAPTURE(i);
    CHECK(TotalLength(world.GrantedBy(nameOf(i))) >= kQuotaRingSize / kCount);
  }
}

TEST_CASE("Hundreds of replacements leave neither rows nor splinters behind")
{
  QuotaWorld world(1);
  StartThree(world);
  std::string names[] = { "a", "b", "c" };
  for (int i = 0; i < 300; ++i) {
    const std::string added = "vm-" + std::to_string(i);
    world.Start(added);
    REQUIRE(world.RunFor(seconds(2)));
    world.Stop(names[i % 3], kGrace);
    names[i % 3] = added;
    REQUIRE(world.RunFor(seconds(2)));
  }
  REQUIRE(world.RunFor(seconds(10)));
  CHECK(world.GrantedLength() == kQuotaRingSize);
  CHECK(world.Store().Rows().vms.size() == 3);
  std::size_t ranges = 0;
  for (const std::string& vm : names) {
    ranges += world.GrantedBy(vm).size();
  }
  CHECK(ranges <= 12);
}

// Builds without an assignment own the range in their row, and give parts of it to VMs whose row
// names none.
TEST_CASE("VMs of the previous build keep their ranges while the fleet is upgraded")
{
  QuotaWorld world(1);
  world.Store().PutUnleased("old-1", { 0, 500000 });
  world.Store().PutUnleased("old-2", { 500000, kQuotaRingSize });
  world.Start("a");
  REQUIRE(world.RunFor(seconds(30)));
  CHECK(world.GrantedBy("a").empty());
  SECTION("one of them gives a part away")
  {
    world.Store().PutUnleased("old-1", { 0, 300000 });
    world.Store().PutUnleased("old-3", { 300000, 500000 });
    REQUIRE(world.RunFor(seconds(60)));
    CHECK(world.GrantedBy("a").empty());
  }
  SECTION("one of them is replaced under its name")
  {
    world.Start("old-2");
    REQUIRE(world.RunFor(seconds(10)));
    CHECK(TotalLength(world.GrantedBy("a")) + TotalLength(world.GrantedBy("old-2")) == 500000);
  }
  SECTION("both are gone for good")
  {
    REQUIRE(world.RunFor(QuotaOwnership::kUnleasedMissedAfter + kSlowOwnerBound));
    CHECK(TotalLength(world.GrantedBy("a")) == kQuotaRingSize);
  }
}

// Each order of two events at any of three VMs, with short and long pauses between them.
TEST_CASE("After any two faults or planned changes each unit is granted by one VM")
{
  std::uint64_t seed = 1;
  for (const Event& first : kEvents) {
    for (const Event& second : kEvents) {
      for (const char* vm : { "a", "b" }) {
        for (const int pause : { 250, 2500, 20000 }) {
          Play({ { &first, "a", milliseconds(pause) }, { &second, vm, milliseconds(500) } },
               seed++);
        }
      }
    }
  }
}

TEST_CASE("After series of faults and planned changes each unit is granted by one VM")
{
  for (std::uint64_t seed = 1; seed <= kSeries; ++seed) {
    PlaySeries(seed, false);
  }
}

// A VM that had given a part away was restarted on the copy of its row and granted all of it, and
// the VM that had got the part slept meanwhile and went on granting it.
TEST_CASE("A part that was given away before the store went back to a copy is granted by one VM")
{
  for (const milliseconds sleep :
       { milliseconds(5000), milliseconds(12000), milliseconds(25000) }) {
    QuotaWorld world(1);
    world.Start("a");
    REQUIRE(world.RunFor(seconds(5)));
    world.Start("b");
    REQUIRE(world.RunFor(seconds(6)));
    REQUIRE(TotalLength(world.GrantedBy("b")) == kQuotaRingSize / 2);
    CAPTURE(sleep.count());
    world.Sleep("b", sleep);
    world.Rewind(seconds(7));
    world.Start("a");
    REQUIRE(world.RunFor(sleep + kOwnerBound));
    CAPTURE(world.Text());
    CHECK(world.GrantedLength() == kQuotaRingSize);
  }
}

TEST_CASE(
  "After a store came back from a copy, and any other event, each unit is granted by one VM")
{
  std::uint64_t seed = 1;
  for (const Event& rewind : kRewinds) {
    for (const Event& other : kEvents) {
      for (const int pause : { 0, 500, 3000, 16000 }) {
        Play({ { &rewind, "a", milliseconds(pause) }, { &other, "b", milliseconds(500) } }, seed++);
        Play({ { &other, "b", milliseconds(pause) }, { &rewind, "a", milliseconds(500) } }, seed++);
      }
    }
  }
}

TEST_CASE("After series of faults with stores from copies each unit is granted by one VM")
{
  for (std::uint64_t seed = 1; seed <= kSeries; ++seed) {
    PlaySeries(seed, true);
  }
}

} // namespace plantainhaven::placing
