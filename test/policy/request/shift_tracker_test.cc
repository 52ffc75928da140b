#include "plantainhaven/policy/request/shift_tracker.h"

#include "policy/request/request_config.h"

#include <catch2/catch.hpp>

using namespace plantainhaven;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = RegionChoice::Kind;

namespace {

// A board of a VM in region a; the service has servers in a and b.
class BoardFixture
{
public:
  BoardFixture()
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
    this->board.Update(*tables, this->now);
  }

  ConfigWriter writer;
  ServerChooser servers;
  ShiftTracker board{ { "a", seconds(2) } };
  BootTime now{ seconds(100) };
};

double
PercentOfA(const ShiftTracker& aBoard)
{
  const auto positions = aBoard.CurrentSplits();
  return positions.empty() ? -1 : positions[0].weights[0].percent;
}

} // namespace

TEST_CASE("without a policy the nearest region serves")
{
  BoardFixture fixture;
  fixture.Update(false);
  CHECK(fixture.board.Choose("s", 0.5).kind == Kind::kNearest);
  CHECK(fixture.board.CurrentSplits().empty());
}

TEST_CASE("a restarted VM takes its peers' position, and only once")
{
  BoardFixture fixture;
  fixture.Update(true);
  fixture.board.OnPeerSplits({}, true, fixture.now);
  CHECK(fixture.board.Choose("s", 0.5).kind == Kind::kUnknown);
  fixture.board.OnPeerSplits({ { "s", { { "a", 70 }, { "b", 30 } } } }, true, fixture.now);
  CHECK(fixture.board.Choose("s", 0.69).region == "a");
  CHECK(fixture.board.Choose("s", 0.71).region == "b");
  fixture.board.OnPeerSplits({ { "s", { { "a", 10 }, { "b", 90 } } } }, true, fixture.now);
  CHECK(PercentOfA(fixture.board) == Approx(70));
}

TEST_CASE("a VM without peers, or whose peers say nothing for long, starts at the target")
{
  const bool hasPeers = GENERATE(false, true);
  BoardFixture fixture;
  fixture.Update(true);
  const BootTime asked = fixture.now + (hasPeers ? seconds(2) : seconds(0));
  fixture.board.OnPeerSplits({}, hasPeers, asked);
  CHECK(fixture.board.Choose("s", 0.05).region == "a");
  CHECK(fixture.board.Choose("s", 0.11).region == "b");
}

TEST_CASE("a policy that comes while traffic runs starts where the traffic is")
{
  const bool hadTraffic = GENERATE(false, true);
  BoardFixture fixture;
  fixture.Update(false);
  if (hadTraffic) {
    fixture.board.Choose("s", 0.5);
  }
  fixture.Update(true);
  const RegionChoice choice = fixture.board.Choose("s", 0.5);
  CHECK(choice.kind == Kind::kWeighted);
  CHECK(choice.region == (hadTraffic ? "a" : "b"));
}

TEST_CASE("a new target before the old shift ended goes on from where it is")
{
  BoardFixture fixture;
  fixture.Update(false);
  fixture.board.Choose("s", 0.5);
  fixture.Update(true);
  for (int i = 0; i < 20; ++i) {
    fixture.now += milliseconds(50);
    fixture.board.Advance(fixture.servers, fixture.now);
  }
  const double reached = PercentOfA(fixture.board);
  CHECK(reached == Approx(100 - 10 / 1.1));
  fixture.writer.AddPolicy("s", { 100, 0 }, 10, 1);
  fixture.Update(false);
  CHECK(PercentOfA(fixture.board) == Approx(reached));
}
