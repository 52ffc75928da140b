#include "policy/placing/placing_support.h"

#include "plantainhaven/policy/placing/rendezvous.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

std::vector<BackendServer>
TenServers()
{
  std::vector<BackendServer> servers;
  for (int i = 0; i < 10; ++i) {
    servers.push_back(MakeServer("s" + std::to_string(i)));
  }
  return servers;
}

std::string
ChosenId(Placement& aPlacement, std::uint64_t aObject, BootTime aNow)
{
  const Placing placing = aPlacement.Choose(MakeRequest(aObject), aNow);
  return placing.state == PlacingState::kSend ? placing.server->id : std::string();
}

std::unordered_map<std::string, Service>
PortalWithWarmup(double aRate)
{
  Service service;
  service.name = "portal";
  service.warmupRate = aRate;
  return { { "portal", service } };
}

TEST_CASE("VMs of a region send an object to the same server")
{
  Placement first("vm-1", "north");
  Placement second("vm-2", "north");
  first.SetServers(TenServers(), At(milliseconds(0)));
  second.SetServers(TenServers(), At(milliseconds(0)));
  std::set<std::string> used;
  for (std::uint64_t object = 0; object < 200; ++object) {
    const std::string id = ChosenId(first, object, At(milliseconds(1)));
    CHECK(id == ChosenId(second, object, At(milliseconds(1))));
    used.insert(id);
  }
  CHECK(used.size() == 10);
}

// After a burst, only requests for the full home region were left in the queue: 44 in 100 of the
// region's requests changed their region within two seconds.
TEST_CASE("Requests that wait for a full region keep the distribution near the plan")
{
  Placement placement("vm-1", "north");
  std::vector<BackendServer> servers;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(MakeServer("n" + std::to_string(i), "north", "north-a"));
    servers.push_back(MakeServer("s" + std::to_string(i), "south", "south-a"));
  }
  placement.SetServers(servers, At(milliseconds(0)));
  placement.SetPlan("portal", { { "north", 0.25 }, { "south", 0.75 } });
  const auto isNorth = [](const Placing& aPlacing) { return aPlacing.server->region == "north"; };
  // Two seconds according to the plan, then only requests for objects of the north.
  int north = 0;
  int sent = 0;
  std::vector<std::uint64_t> northern;
  for (std::uint64_t object = 0; sent < 400; ++object) {
    const BootTime now = At(milliseconds(5 * sent));
    const Placing placing = placement.Choose(MakeRequest(object), now);
    REQUIRE(placing.state == PlacingState::kSend);
    if (isNorth(placing)) {
      northern.push_back(object);
    }
    const std::string id = placing.server->id;
    placement.OnSent(id, now);
    placement.OnEnded(id, SendOutcome::kServed, milliseconds(5), now);
    ++sent;
  }
  std::vector<std::string> heldServers;
  int waiting = 0;
  for (int i = 0; i < 200; ++i) {
    const BootTime now = At(milliseconds(2000 + 10 * i));
    // A request of the north ends only when a new one has to wait; the others keep their slots.
    const Placing placing = placement.Choose(MakeRequest(northern[i % northern.size()]), now);
    if (placing.state != PlacingState::kSend) {
      ++waiting;
      if (!heldServers.empty()) {
        placement.OnEnded(heldServers.front(), SendOutcome::kServed, milliseconds(100), now);
        heldServers.erase(heldServers.begin());
      }
      continue;
    }
    north += isNorth(placing) ? 1 : 0;
    const std::string id = placing.server->id;
    placement.OnSent(id, now);
    if (isNorth(placing)) {
      heldServers.push_back(id);
    } else {
      placement.OnEnded(id, SendOutcome::kServed, milliseconds(5), now);
    }
  }
  CAPTURE(north, waiting);
  CHECK(north <= (0.25 + 0.15) * (200 - waiting));
}

// Without spillover, requests of a small region waited for its servers while other regions were
// idle. Under overload, spillover made the servers of every region evict their objects.
TEST_CASE("Requests spill over from a full region only while there is spare capacity")
{
  struct Case
  {
    bool hasSpareCapacity;
    PlacingState expected;
  };
  const Case cases[] = { { true, PlacingState::kSend }, { false, PlacingState::kBusy } };
  for (const Case& entry : cases) {
    CAPTURE(entry.hasSpareCapacity);
    Placement placement("vm-1", "north");
    placement.SetServers(
      { MakeServer("n0", "north", "north-a"), MakeServer("s0", "south", "south-a") },
      At(milliseconds(0)));
    placement.SetPlan("portal", { { "north", 0.5 }, { "south", 0.5 } });
    placement.SetSpareCapacity("portal", entry.hasSpareCapacity);
    std::uint64_t northern = 0;
    std::uint64_t southern = 0;
    for (std::uint64_t object = 0; object < 50; ++object) {
      const Placing placing = placement.Choose(MakeRequest(object), At(milliseconds(1)));
      (placing.server->region == "north" ? northern : southern) = object;
    }
    for (int i = 0; i < 400; ++i) {
      const BootTime now = At(milliseconds(10 * i));
      const std::string id = i % 2 == 0 ? "n0" : "s0";
      placement.OnSent(id, now);
      placement.OnEnded(id, SendOutcome::kServed, milliseconds(5), now);
    }
    const BootTime now = At(milliseconds(4000));
    for (int i = 0; i < 3; ++i) {
      placement.OnSent("n0", now);
    }
    const Placing placing = placement.Choose(MakeRequest(northern), now);
    CHECK(placing.state == entry.expected);
    CHECK(placement.Choose(MakeRequest(southern), now).state == PlacingState::kSend);
    // Even with free slots the distribution over the regions changes slowly.
    int spilledOver = 0;
    for (int i = 0; i < 60; ++i) {
      const Placing next = placement.Choose(MakeRequest(northern), now + milliseconds(10 * i));
      if (next.state == PlacingState::kSend) {
        placement.OnSent("s0", now + milliseconds(10 * i));
        placement.OnEnded("s0", SendOutcome::kServed, milliseconds(5), now + milliseconds(10 * i));
        ++spilledOver;
      }
    }
    CHECK(spilledOver < 30);
  }
}

// With 30 VMs in a region each VM receives a server's load only every few seconds. Without the
// reports of the other VMs it sent requests to full servers.
TEST_CASE("A server that other VMs report as full gets no requests until the report decays")
{
  Placement placement("vm-1", "north");
  placement.SetServers({ MakeServer("only") }, At(milliseconds(0)));
  const BootTime now = At(milliseconds(1000));
  CHECK(ChosenId(placement, 1, now) == "only");
  placement.OnPeerLoad(StableHash("only"), 9, now);
  CHECK(ChosenId(placement, 1, now).empty());
  CHECK(ChosenId(placement, 1, now + milliseconds(100)).empty());
  CHECK(ChosenId(placement, 1, now + std::chrono::seconds(2)) == "only");

  SECTION("a recent report to this VM takes precedence")
  {
    placement.OnLoad("only", { 0, 0, 3 }, now + milliseconds(100));
    placement.OnPeerLoad(StableHash("only"), 9, now + milliseconds(150));
    CHECK(ChosenId(placement, 1, now + milliseconds(150)) == "only");
  }
  SECTION("reports about unknown servers are ignored")
  {
    placement.OnPeerLoad(StableHash("other"), 9, now + std::chrono::seconds(2));
    CHECK(ChosenId(placement, 1, now + std::chrono::seconds(2)) == "only");
  }
}

TEST_CASE("A draining server moves only its own objects")
{
  Placement placement("vm-1", "north");
  placement.SetServers(TenServers(), At(milliseconds(0)));
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t object = 0; object < 200; ++object) {
    before[object] = ChosenId(placement, object, At(milliseconds(1)));
  }
  std::vector<BackendServer> fewer = TenServers();
  fewer.front().isDraining = true;
  placement.SetServers(fewer, At(milliseconds(2)));
  for (const auto& [object, id] : before) {
    const std::string now = ChosenId(placement, object, At(milliseconds(3)));
    CAPTURE(object, id, now);
    CHECK(now != "s0");
    CHECK((id == "s0" || id == now));
  }
}

TEST_CASE("Free slots are computed from own requests and load reports")
{
  Placement placement("vm-1", "north");
  placement.SetServers({ MakeServer("only") }, At(milliseconds(0)));
  const BootTime now = At(milliseconds(1));

  SECTION("own requests occupy slots")
  {
    for (int i = 0; i < 3; ++i) {
      placement.OnSent("only", now);
    }
    CHECK(placement.Choose(MakeRequest(1), now).state == PlacingState::kBusy);
    placement.OnEnded("only", SendOutcome::kServed, milliseconds(10), now);
    CHECK(placement.Choose(MakeRequest(1), now).state == PlacingState::kSend);
  }
  SECTION("requests of other VMs occupy slots until the report decays")
  {
    placement.OnLoad("only", { .running = 3, .waiting = 2, .slots = 3 }, now);
    CHECK(placement.Choose(MakeRequest(1), now).state == PlacingState::kBusy);
    CHECK(placement.Choose(MakeRequest(1), now + milliseconds(400)).state == PlacingState::kSend);
  }
  SECTION("a server that shed a request is briefly treated as full")
  {
    placement.OnSent("only", now);
    placement.OnEnded("only", SendOutcome::kShed, milliseconds(1), now);
    CHECK(placement.Choose(MakeRequest(1), now).state == PlacingState::kBusy);
    CHECK(placement.Choose(MakeRequest(1), now + milliseconds(60)).state == PlacingState::kSend);
  }
}

// Two seconds at twice the capacity made every server evict its objects, because waiting requests
// were tried on more and more servers. All requests then took three times as long, and the
// overload lasted as long as the load.
TEST_CASE("An object stays on one server even under overload")
{
  Placement placement("vm-1", "north");
  placement.SetServers(TenServers(), At(milliseconds(0)));
  std::map<std::uint64_t, std::set<std::string>> used;
  for (int i = 0; i < 20000; ++i) {
    const BootTime now = At(milliseconds(i));
    PlacingRequest request = MakeRequest(static_cast<std::uint64_t>(i % 200));
    placement.OnRequest(request.object, now);
    const Placing placing = placement.Choose(request, now);
    if (placing.state == PlacingState::kSend) {
      used[request.object].insert(placing.server->id);
      placement.OnSent(placing.server->id, now);
    }
    if (i >= 30 && i % 3 == 0) {
      placement.OnEnded(
        "s" + std::to_string(i / 3 % 10), SendOutcome::kServed, milliseconds(90), now);
    }
  }
  for (const auto& [object, servers] : used) {
    CAPTURE(object);
    CHECK(servers.size() == 1);
  }
}

// One object that is requested more often than a single server can handle.
TEST_CASE("An object whose load is too large for one server is spread over several")
{
  Placement placement("vm-1", "north");
  placement.SetServers(TenServers(), At(milliseconds(0)));
  std::set<std::string> used;
  std::deque<std::pair<BootTime, std::string>> running;
  int sent = 0;
  for (int i = 0; i < 10000; ++i) {
    const BootTime now = At(milliseconds(i));
    while (!running.empty() && running.front().first <= now) {
      placement.OnEnded(running.front().second, SendOutcome::kServed, milliseconds(90), now);
      running.pop_front();
    }
    // 100 requests a second of 90 ms occupy nine slots, three servers' worth.
    if (i % 10 != 0) {
      continue;
    }
    placement.OnRequest(7, now);
    const Placing placing = placement.Choose(MakeRequest(7), now);
    if (placing.state == PlacingState::kSend) {
      used.insert(placing.server->id);
      placement.OnSent(placing.server->id, now);
      running.emplace_back(now + milliseconds(90), placing.server->id);
      ++sent;
    }
  }
  CHECK(used.size() >= 3);
  CHECK(sent >= 900);
}

// Callers of both failure domains request the same objects. With responses of 90 KB, traffic
// between the domains was the largest cost of a day without incidents.
TEST_CASE("A large response comes from this VM's failure domain while its server has free slots")
{
  std::vector<BackendServer> servers;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(MakeServer("a" + std::to_string(i), "north", "north-a"));
    servers.push_back(MakeServer("b" + std::to_string(i), "north", "north-b"));
  }
  Placement here("vm-1", "north", "north-a");
  Placement there("vm-2", "north", "north-b");
  here.SetServers(servers, At(milliseconds(0)));
  there.SetServers(servers, At(milliseconds(0)));
  for (std::uint64_t object = 1; object <= 50; ++object) {
    CAPTURE(object);
    PlacingRequest request = MakeRequest(object);
    CHECK(here.Choose(request, At(milliseconds(1))).server->id ==
          there.Choose(request, At(milliseconds(1))).server->id);
    request.isLarge = true;
    const BackendServer own = *here.Choose(request, At(milliseconds(1))).server;
    const BackendServer other = *there.Choose(request, At(milliseconds(1))).server;
    CHECK(own.failureDomain == "north-a");
    CHECK(other.failureDomain == "north-b");
    for (int i = 0; i < own.slots; ++i) {
      here.OnSent(own.id, At(milliseconds(2)));
    }
    // The other domain's server has seen the object, too.
    CHECK(here.Choose(request, At(milliseconds(3))).server->id == other.id);
    for (int i = 0; i < own.slots; ++i) {
      here.OnEnded(own.id, SendOutcome::kServed, milliseconds(90), At(milliseconds(4)));
    }
  }
}

TEST_CASE("Unusable servers get no requests")
{
  struct Case
  {
    std::string name;
    void (*makeUnusable)(Placement&, std::vector<BackendServer>&);
  };
  const Case cases[] = {
    { "draining", [](Placement&, auto& aServers) { aServers[0].isDraining = true; } },
    { "drained failure domain",
      [](Placement& aPlacement, auto&) {
        aPlacement.SetAvoidedDomains({ "north-a" }, At(milliseconds(0)));
      } },
    { "removed", [](Placement&, auto& aServers) { aServers.clear(); } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    Placement placement("vm-1", "north");
    std::vector<BackendServer> servers{ MakeServer("only") };
    placement.SetServers(servers, At(milliseconds(0)));
    REQUIRE(ChosenId(placement, 1, At(milliseconds(1))) == "only");
    entry.makeUnusable(placement, servers);
    placement.SetServers(servers, At(milliseconds(2)));
    CHECK(placement.Choose(MakeRequest(1), At(milliseconds(3))).state == PlacingState::kNoServer);
  }
}

TEST_CASE("Requests stay in their allowed regions")
{
  Placement placement("vm-1", "north");
  placement.SetServers({ MakeServer("n", "north"), MakeServer("s", "south", "south-a") },
                       At(milliseconds(0)));
  PlacingRequest request = MakeRequest(7);
  request.allowed = IntersectRegions({ "south" }, {});
  CHECK(placement.Choose(request, At(milliseconds(1))).server->id == "s");
  request.allowed = IntersectRegions({ "south" }, { "north" });
  CHECK(placement.Choose(request, At(milliseconds(1))).state == PlacingState::kNoServer);
}

TEST_CASE("A server that keeps failing is ejected for a while")
{
  Placement placement("vm-1", "north");
  placement.SetServers({ MakeServer("only") }, At(milliseconds(0)));
  const BootTime now = At(milliseconds(1));
  for (int i = 0; i < 3; ++i) {
    placement.OnSent("only", now);
    placement.OnEnded("only", SendOutcome::kFailed, milliseconds(5), now);
  }
  CHECK(placement.Choose(MakeRequest(1), now).state == PlacingState::kNoServer);
  CHECK(placement.Choose(MakeRequest(1), now + milliseconds(600)).state == PlacingState::kSend);
}

// VMs that were cut off from one another took the others for gone, and each used the whole rate.
TEST_CASE("All VMs together stay below a cold server's rate in any second")
{
  const bool hearOneAnother = GENERATE(true, false);
  CAPTURE(hearOneAnother);
  constexpr double kRate = 15.0;
  constexpr int kVms = 10;
  std::vector<PlacingPeer> peers;
  std::vector<std::unique_ptr<Placement>> vms;
  for (int i = 0; i < kVms; ++i) {
    peers.push_back({ "vm-" + std::to_string(i), i < 4 ? "north" : "south" });
  }
  for (const PlacingPeer& peer : peers) {
    vms.push_back(std::make_unique<Placement>(peer.name, peer.region));
    BackendServer cold = MakeServer("cold");
    cold.slots = 1000;
    cold.warmupLeft = std::chrono::seconds(10);
    vms.back()->SetServers({ cold }, At(milliseconds(0)));
    vms.back()->SetServices(PortalWithWarmup(kRate));
    vms.back()->SetPeers(hearOneAnother ? peers : std::vector<PlacingPeer>{ peer });
    vms.back()->SetFleet(peers);
  }
  std::vector<BootTime> sent;
  for (int tick = 0; tick < 3000; ++tick) {
    const BootTime now = At(milliseconds(tick));
    for (const auto& vm : vms) {
      if (vm->Choose(MakeRequest(static_cast<std::uint64_t>(tick)), now).state ==
          PlacingState::kSend) {
        vm->OnSent("cold", now);
        sent.push_back(now);
      }
    }
  }
  CHECK(sent.size() > 20);
  for (std::size_t i = 0; i + 16 <= sent.size(); ++i) {
    CAPTURE(i);
    CHECK(sent[i + 15] - sent[i] > std::chrono::seconds(1));
  }
}

TEST_CASE("After a refused connection a server is treated as cold until it reports again")
{
  Placement placement("vm-1", "north");
  placement.SetServices(PortalWithWarmup(1.0));
  placement.SetPeers({ { "vm-1", "north" } });
  placement.SetServers({ MakeServer("only") }, At(milliseconds(0)));
  BootTime now = At(milliseconds(1));
  placement.OnSent("only", now);
  placement.OnEnded("only", SendOutcome::kNoConnection, milliseconds(5), now);
  now += milliseconds(400);
  REQUIRE(placement.Choose(MakeRequest(1), now).state == PlacingState::kSend);
  placement.OnSent("only", now);
  CHECK(placement.Choose(MakeRequest(1), now).state == PlacingState::kBusy);
  BackendServer report = MakeServer("only");
  report.reportNumber = 9;
  placement.SetServers({ report }, now);
  CHECK(placement.Choose(MakeRequest(1), now).state == PlacingState::kSend);
}

} // namespace
} // namespace plantainhaven::placing
