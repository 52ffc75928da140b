#include "plantainhaven/policy/placing/rate_sharing.h"

#include "plantainhaven/policy/placing/rendezvous.h"
#include "plantainhaven/policy/placing/send_bucket.h"
#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The fractions of a rate add up to the whole for any number of VMs")
{
  struct Case
  {
    int vms;
    int regions;
    std::size_t maxSenders;
    int expectedSenders;
  };
  const Case cases[] = {
    { 1, 1, 4, 1 }, { 3, 1, 4, 3 }, { 11, 3, 4, 4 }, { 90, 3, 4, 4 }, { 90, 3, 60, 30 },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.vms, entry.regions, entry.maxSenders);
    std::vector<PlacingPeer> vms;
    for (int i = 0; i < entry.vms; ++i) {
      vms.push_back({ "vm-" + std::to_string(i), "r" + std::to_string(i % entry.regions) });
    }
    for (int server = 0; server < 20; ++server) {
      const std::uint64_t hash = StableHash("s" + std::to_string(server));
      double sum = 0;
      int senders = 0;
      for (const PlacingPeer& vm : vms) {
        RateSharing sharing(vm.name, vm.region);
        sharing.SetVms(vms);
        const double fraction = sharing.FractionOf(hash, "r0", entry.maxSenders);
        CHECK((fraction == 0 || vm.region == "r0"));
        sum += fraction;
        senders += fraction > 0 ? 1 : 0;
      }
      CHECK(sum == Approx(1.0));
      CHECK(senders == entry.expectedSenders);
    }
  }
}

TEST_CASE("VMs of other regions share the rate of a server whose region has no VM")
{
  RateSharing sharing("vm-1", "north");
  CHECK(sharing.FractionOf(7, "south", 4) == Approx(1.0));
  sharing.SetVms({ { "vm-2", "north" } });
  CHECK(sharing.FractionOf(7, "south", 4) == Approx(0.5));
  sharing.SetVms({ { "vm-2", "south" } });
  CHECK(sharing.FractionOf(7, "south", 4) == 0);
  CHECK(sharing.PositionOf(7, "south") == 1);
}

TEST_CASE("A bucket yields its rate and keeps no more than its burst")
{
  SendBucket bucket;
  const RateShare share{ .rate = 2, .burst = 1.5 };
  bucket.Drain(At(milliseconds(0)));
  CHECK_FALSE(bucket.HasToken(share, At(milliseconds(400))));
  CHECK(bucket.TimeToToken(share, At(milliseconds(400))).count() == Approx(0.1));
  CHECK(bucket.HasToken(share, At(milliseconds(500))));
  int taken = 0;
  for (milliseconds at{ 60000 }; at < seconds(64); at += milliseconds(10)) {
    if (bucket.HasToken(share, At(at))) {
      bucket.Take(share, At(at));
      ++taken;
    }
  }
  CHECK(taken == 9);
}

} // namespace
} // namespace plantainhaven::placing
