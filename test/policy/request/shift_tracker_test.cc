#include "plantainhaven/policy/request/shift_tracker.h"

#include "policy/request/request_config.h"

#include <catch2/catch.hpp>

using namespace plantainhaven;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = RegionChoice::Kind;

namespace {

// The tracker of a VM in region a; the service has servers in a and b.
class TrackerFixture
{
public:
  TrackerFixture()
  {
    this->writer.AddService("s", 1000);
    this->writer.AddServer("sa", "s", "a", "a1");
    this->writer.AddServer("sb", "s", "b", "b1");
  }

  void Update(bool aWithPolicy)
  {
    if (aWithPolicy) {
      this->writer.AddPolicy("s", { 10, 90 }, 10, 1);
    }
    const auto tables = RequestTables::Build(this->writer.Apply());
    this->servers.Update(*tables, this->now);
    this->tracker.Update(*tables, this->now);
  }

  ConfigWriter writer;
  ServerChooser servers;
  ShiftTracker tracker{ { "a", seconds(2) } };
  BootTime now{ seconds(100) };
};

double
PercentOfA(const ShiftTracker& aTracker)
{
  const auto splits = aTracker.CurrentSplits();
  return splits.empty() ? -1 : splits[0].weights[0].percent;
}

} // namespace

TEST_CASE("without a policy the nearest region is chosen")
{
  TrackerFixture fixture;
  fixture.Update(false);
  CHECK(fixture.tracker.Choose("s", 0.5).kind == Kind::kNearest);
  CHECK(fixture.tracker.CurrentSplits().empty());
}

TEST_CASE("a restarted VM adopts its peers' split, but only once")
{
  TrackerFixture fixture;
  fixture.Update(true);
  fixture.tracker.OnPeerSplits({}, true, fixture.now);
  CHECK(fixture.tracker.Choose("s", 0.5).kind == Kind::kUnknown);
  fixture.tracker.OnPeerSplits({ { "s", { { "a", 70 }, { "b", 30 } } } }, true, fixture.now);
  CHECK(fixture.tracker.Choose("s", 0.69).region == "a");
  CHECK(fixture.tracker.Choose("s", 0.71).region == "b");
  fixture.tracker.OnPeerSplits({ { "s", { { "a", 10 }, { "b", 90 } } } }, true, fixture.now);
  CHECK(PercentOfA(fixture.tracker) == Approx(70));
}

TEST_CASE("a VM without peers, or whose peers report no split in time, starts at the target")
{
  const bool hasPeers = GENERATE(false, true);
  TrackerFixture fixture;
  fixture.Update(true);
  const BootTime reportedAt = fixture.now + (hasPeers ? seconds(2) : seconds(0));
  fixture.tracker.OnPeerSplits({}, hasPeers, reportedAt);
  CHECK(fixture.tracker.Choose("s", 0.05).region == "a");
  CHECK(fixture.tracker.Choose("s", 0.11).region == "b");
}

TEST_CASE("a policy that is added to a service with traffic starts at the current split")
{
  const bool hadTraffic = GENERATE(false, true);
  TrackerFixture fixture;
  fixture.Update(false);
  if (hadTraffic) {
    fixture.tracker.Choose("s", 0.5);
  }
  fixture.Update(true);
  const RegionChoice choice = fixture.tracker.Choose("s", 0.5);
  CHECK(choice.kind == Kind::kWeighted);
  CHECK(choice.region == (hadTraffic ? "a" : "b"));
}

TEST_CASE("a new target during a shift continues from the current split")
{
  TrackerFixture fixture;
  fixture.Update(false);
  fixture.tracker.Choose("s", 0.5);
  fixture.Update(true);
  for (int i = 0; i < 20; ++i) {
    fixture.now += milliseconds(50);
    fixture.tracker.Advance(fixture.servers, fixture.now);
  }
  const double reached = PercentOfA(fixture.tracker);
  CHECK(reached == Approx(100 - 10 / 1.1));
  fixture.writer.AddPolicy("s", { 100, 0 }, 10, 1);
  fixture.Update(false);
  CHECK(PercentOfA(fixture.tracker) == Approx(reached));
}
