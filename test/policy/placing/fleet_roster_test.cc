#include "plantainhaven/policy/placing/fleet_roster.h"

#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace plantainhaven::placing {
namespace {

using std::chrono::seconds;

// Lets the roster hear the VMs in `aHeard` shortly before `aNow` and returns the names of its
// members.
std::vector<std::string>
MembersAt(FleetRoster& aRoster, const std::vector<std::string>& aHeard, seconds aNow)
{
  for (const std::string& name : aHeard) {
    aRoster.OnHeard(name, "north", At(aNow - seconds(1)));
  }
  std::vector<std::string> names;
  for (const PlacingPeer& peer : aRoster.Members(At(aNow))) {
    names.push_back(peer.name);
  }
  return names;
}

TEST_CASE("A silent VM belongs to the fleet unless most others have been heard for long")
{
  struct Case
  {
    std::string name;
    std::vector<std::string> heard;
    seconds now;
    std::vector<std::string> expected;
  };
  const std::vector<std::string> all{ "a", "b", "c", "listed" };
  const Case cases[] = {
    { "just silent", { "b", "c" }, seconds(10), all },
    { "long silent", { "b", "c" }, seconds(130), { "b", "c" } },
    { "cut off from all", {}, seconds(1000), all },
    { "in the smaller part of a partition", { "b" }, seconds(1000), all },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    FleetRoster roster;
    roster.OnListed("listed", "north", At(seconds(0)));
    for (const char* const name : { "a", "b", "c" }) {
      roster.OnHeard(name, "north", At(seconds(0)));
    }
    CHECK(MembersAt(roster, entry.heard, entry.now) == entry.expected);
  }
}

TEST_CASE("A VM that was taken for gone belongs to the fleet again once it is heard")
{
  FleetRoster roster;
  roster.OnHeard("a", "north", At(seconds(0)));
  roster.OnHeard("b", "north", At(seconds(0)));
  REQUIRE(MembersAt(roster, { "b" }, seconds(130)) == std::vector<std::string>{ "b" });
  // The store still lists it.
  roster.OnListed("a", "north", At(seconds(140)));
  CHECK(MembersAt(roster, { "b" }, seconds(140)) == std::vector<std::string>{ "b" });
  roster.OnHeard("a", "north", At(seconds(150)));
  CHECK(MembersAt(roster, { "b" }, seconds(150)) == std::vector<std::string>{ "a", "b" });
}

} // namespace
} // namespace plantainhaven::placing
