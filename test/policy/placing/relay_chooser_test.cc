#include "plantainhaven/policy/placing/relay_chooser.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <random>
#include <string>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

const BootTime kNow{ std::chrono::seconds(1000) };
const RelayTarget kTarget{ "south", "south-a" };

RelayVm
MakeRelay(const std::string& aName, const std::string& aRegion)
{
  return { aName, aName + ":1", aRegion, {}, 0 };
}

AllowedRegions
Only(const std::string& aRegion)
{
  return { .all = false, .names = { aRegion } };
}

TEST_CASE("A request is relayed by a VM that may see it and has a path")
{
  RelayVm near = MakeRelay("near", "north");
  RelayVm atServer = MakeRelay("at-server", "south");
  const RelayVm far = MakeRelay("far", "west");
  RelayVm cut = near;
  cut.lostDomains = { "south-a" };
  struct Case
  {
    std::string name;
    std::vector<RelayVm> relays;
    AllowedRegions allowed;
    std::string chosen;
  };
  const Case cases[] = {
    { "the own region first", { far, atServer, near }, {}, "near" },
    { "then the server's region", { far, atServer }, {}, "at-server" },
    { "then the others", { far }, {}, "far" },
    { "not without a path", { far, atServer, cut }, {}, "at-server" },
    { "not in a region where the request may not be",
      { far, atServer, near },
      Only("south"),
      "at-server" },
    { "none", { cut }, {}, "" },
    { "none in an allowed region", { far, near }, Only("south"), "" },
  };
  std::mt19937_64 random(7);
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    RelayChooser chooser("north");
    chooser.SetRelays(entry.relays);
    const auto chosen = chooser.Choose(kTarget, entry.allowed, random, kNow);
    CHECK((chosen ? chosen->name : "") == entry.chosen);
  }
}

TEST_CASE("A VM that rejects a request isn't chosen for a short time")
{
  RelayChooser chooser("north");
  chooser.SetRelays({ MakeRelay("vm-1", "north") });
  std::mt19937_64 random(7);
  chooser.OnRejected("vm-1", kNow);
  CHECK_FALSE(chooser.Choose(kTarget, {}, random, kNow + milliseconds(400)));
  CHECK(chooser.Choose(kTarget, {}, random, kNow + milliseconds(600)));
}

// The load on a relaying VM is bounded at any size of the fleet.
TEST_CASE("Relayed requests are spread evenly over the VMs that have a path")
{
  struct Case
  {
    int vms;
    int cut;
  };
  for (const Case& entry : { Case{ 11, 6 }, Case{ 90, 54 }, Case{ 740, 600 } }) {
    CAPTURE(entry.vms);
    std::vector<RelayVm> relays;
    for (int i = entry.cut; i < entry.vms; ++i) {
      relays.push_back(MakeRelay("vm-" + std::to_string(i), "north"));
    }
    std::mt19937_64 random(7);
    std::map<std::string, int> load;
    constexpr int kInFlight = 25;
    for (int vm = 0; vm < entry.cut; ++vm) {
      RelayChooser chooser("north");
      chooser.SetRelays(relays);
      for (int i = 0; i < kInFlight; ++i) {
        const auto chosen = chooser.Choose(kTarget, {}, random, kNow);
        REQUIRE(chosen);
        chooser.OnSent(chosen->name);
        ++load[chosen->name];
      }
    }
    const double mean = static_cast<double>(entry.cut * kInFlight) / (entry.vms - entry.cut);
    for (const auto& [name, count] : load) {
      CHECK(count <= 2 * mean);
    }
  }
}

} // namespace
} // namespace plantainhaven::placing
