#include "plantainhaven/policy/placing/path_monitor.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BootTime kStart{ seconds(1000) };
const std::string kDomain = "north-a";

// A monitor with a manual clock.
struct Monitored
{
  PathMonitor monitor;
  BootTime now = kStart;

  bool Fail(const std::string& aServer, ConnectFailure aFailure = ConnectFailure::kSilent)
  {
    return this->monitor.OnConnectFailed(kDomain, aServer, aFailure, 5, this->now, this->now);
  }
  void Connect() { this->monitor.OnConnected(kDomain, this->now, this->now); }
  std::size_t ProbesDue()
  {
    std::size_t count = 0;
    for (const PathProbe& probe : this->monitor.TakeDueProbes(this->now)) {
      count += probe.count;
    }
    return count;
  }
};

TEST_CASE("One server without connections isn't a lost path")
{
  Monitored path;
  CHECK_FALSE(path.Fail("s1"));
  CHECK_FALSE(path.Fail("s1"));
  CHECK_FALSE(path.monitor.IsLost(kDomain));
  path.now += milliseconds(1);
  path.Connect();
  CHECK_FALSE(path.Fail("s2"));
  CHECK(path.Fail("s1"));
  CHECK(path.monitor.IsLost(kDomain));
  CHECK(path.monitor.LostDomains() == std::set<std::string>{ kDomain });
}

TEST_CASE("A failure that began before a success says nothing about the path")
{
  PathMonitor monitor;
  monitor.OnConnected(kDomain, kStart + milliseconds(10), kStart + milliseconds(11));
  const BootTime now = kStart + milliseconds(400);
  for (const char* const server : { "s1", "s2" }) {
    CHECK_FALSE(monitor.OnConnectFailed(kDomain, server, ConnectFailure::kSilent, 5, kStart, now));
  }
}

TEST_CASE("A domain with a single server is lost with it")
{
  PathMonitor monitor;
  CHECK(monitor.OnConnectFailed(kDomain, "s1", ConnectFailure::kRefused, 1, kStart, kStart));
}

TEST_CASE("Open connections count as usable while new ones are refused")
{
  struct Case
  {
    ConnectFailure failure;
    bool isSilent;
  };
  for (const Case& entry :
       { Case{ ConnectFailure::kRefused, false }, Case{ ConnectFailure::kSilent, true } }) {
    Monitored path;
    path.Fail("s1", entry.failure);
    path.Fail("s2", entry.failure);
    CHECK(path.monitor.IsSilent(kDomain) == entry.isSilent);
  }
}

TEST_CASE("Servers that have ended aren't taken for a lost path while others accept connections")
{
  Monitored path;
  CHECK_FALSE(path.Fail("s1", ConnectFailure::kRefused));
  CHECK(path.ProbesDue() == 0);
  CHECK_FALSE(path.Fail("s2", ConnectFailure::kRefused));
  CHECK(path.ProbesDue() == 5);
  CHECK_FALSE(path.Fail("s3", ConnectFailure::kRefused));
  CHECK_FALSE(path.Fail("s4", ConnectFailure::kRefused));
  path.now += milliseconds(1);
  path.Connect();
  CHECK_FALSE(path.Fail("s1", ConnectFailure::kRefused));
  CHECK_FALSE(path.monitor.IsLost(kDomain));
}

TEST_CASE("A lost path that works again is used although some servers have ended")
{
  Monitored path;
  for (int loss = 0; loss < 4; ++loss) {
    for (const char* const server : { "s1", "s2", "s3", "s4", "s5" }) {
      path.Fail(server, ConnectFailure::kRefused);
    }
    REQUIRE(path.monitor.IsLost(kDomain));
    // Every second probe meets a server that has ended.
    for (int probe = 0; probe < 8 && path.monitor.IsLost(kDomain); ++probe) {
      path.now += milliseconds(1);
      path.Connect();
      path.Fail("s1", ConnectFailure::kRefused);
    }
    CHECK_FALSE(path.monitor.IsLost(kDomain));
    path.now += seconds(1);
    path.Connect();
  }
}

TEST_CASE("Requests without a response make a path doubtful, and it is probed")
{
  Monitored path;
  path.monitor.OnSent(kDomain, path.now);
  path.now += milliseconds(100);
  path.monitor.OnResponse(kDomain, path.now);
  CHECK(path.ProbesDue() == 0);
  path.now += milliseconds(500);
  CHECK_FALSE(path.monitor.IsDoubtful(kDomain, path.now));
  CHECK(path.ProbesDue() == 0);
  path.now += milliseconds(200);
  CHECK(path.monitor.IsDoubtful(kDomain, path.now));
  CHECK(path.ProbesDue() == 2);
  CHECK(path.ProbesDue() == 0);
  path.monitor.OnEnded(kDomain);
  CHECK_FALSE(path.monitor.IsDoubtful(kDomain, path.now));
}

TEST_CASE("Slow requests lead to few probes of a path that works")
{
  Monitored path;
  path.monitor.OnSent(kDomain, path.now);
  std::size_t probes = 0;
  for (int i = 0; i < 3000; ++i) {
    path.now += milliseconds(10);
    const std::size_t due = path.ProbesDue();
    probes += due;
    if (due > 0) {
      path.Connect();
    }
  }
  CHECK(probes <= 20);
}

TEST_CASE("The loss of one path leads to a probe of those without a sign of life")
{
  Monitored path;
  path.monitor.OnConnected("south-a", path.now, path.now);
  path.monitor.OnConnected("south-b", path.now, path.now);
  path.now += seconds(2);
  path.Fail("s1");
  path.Fail("s2");
  path.monitor.OnConnected("south-b", path.now, path.now);
  const auto due = path.monitor.TakeDueProbes(path.now);
  REQUIRE(due.size() == 1);
  CHECK(due.front().failureDomain == "south-a");
}

TEST_CASE("A lost path is probed until connections succeed")
{
  Monitored path;
  path.Fail("s1");
  path.Fail("s2");
  std::size_t probes = 0;
  for (int i = 0; i < 1000; ++i) {
    path.now += milliseconds(10);
    probes += path.ProbesDue();
  }
  CHECK(probes >= 10);
  CHECK(probes <= 14);
  path.Connect();
  CHECK_FALSE(path.monitor.IsLost(kDomain));
}

// A path whose link comes and goes was used after each first success.
TEST_CASE("A path that is lost again and again is used after more successes each time")
{
  Monitored path;
  int needed = 0;
  for (const int expected : { 1, 2, 4, 8, 8 }) {
    path.now += seconds(1);
    path.Fail("s1");
    path.Fail("s2");
    REQUIRE(path.monitor.IsLost(kDomain));
    for (needed = 0; path.monitor.IsLost(kDomain); ++needed) {
      path.now += milliseconds(1);
      path.Connect();
    }
    CHECK(needed == expected);
  }
  path.now += seconds(60);
  path.Fail("s1");
  path.Fail("s2");
  path.now += milliseconds(1);
  path.Connect();
  CHECK_FALSE(path.monitor.IsLost(kDomain));
}

} // namespace
} // namespace plantainhaven::placing
