#include "plantainhaven/policy/request/server_chooser.h"

#include "policy/request/request_config.h"

#include <catch2/catch.hpp>

#include <map>

using namespace plantainhaven;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Four servers of one service in one region, two in each failure domain.
class ChooserFixture
{
public:
  ChooserFixture()
  {
    this->writer.AddService("s", 1000);
    for (const char* name : { "s1", "s2" }) {
      this->writer.AddServer(name, "s", "a", "a1");
    }
    for (const char* name : { "s3", "s4" }) {
      this->writer.AddServer(name, "s", "a", "a2");
    }
    this->Update();
  }

  void Update() { this->chooser.Update(*RequestTables::Build(this->writer.Apply()), this->now); }

  void Fail(const std::string& aServer, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      this->chooser.OnAttemptStart(aServer);
      this->chooser.OnAttemptEnd(aServer, AttemptOutcome::kFailed, this->now);
    }
  }

  // Returns how often each server is chosen in 1,000 calls without feedback.
  std::map<std::string, int> CountChoices(const AvoidedTargets& aAvoided = {})
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i) {
      const auto server = this->chooser.Choose("s", "a", aAvoided, this->now, this->random);
      ++counts[server == nullptr ? "none" : server->name];
    }
    return counts;
  }

  ConfigWriter writer;
  ServerChooser chooser;
  BootTime now{ seconds(100) };
  std::mt19937_64 random{ 7 };
};

} // namespace

TEST_CASE("servers of equal load are chosen about equally often")
{
  ChooserFixture fixture;
  for (const auto& [name, count] : fixture.CountChoices()) {
    INFO(name);
    CHECK(count > 150);
  }
}

TEST_CASE("own requests in flight count even when a load report is lower")
{
  ChooserFixture fixture;
  for (int i = 0; i < 5; ++i) {
    fixture.chooser.OnAttemptStart("s1");
  }
  fixture.chooser.OnReport("s1", { 0, false }, fixture.now);
  CHECK(fixture.CountChoices()["s1"] == 0);
}

TEST_CASE("the weight of a load report falls with its age to zero")
{
  ChooserFixture fixture;
  fixture.chooser.OnReport("s1", { 9, false }, fixture.now);
  CHECK(fixture.CountChoices()["s1"] == 0);
  fixture.now += seconds(3);
  CHECK(fixture.CountChoices()["s1"] > 150);
}

TEST_CASE("a report that was requested earlier doesn't replace a later one")
{
  ChooserFixture fixture;
  fixture.chooser.OnReport("s1", { 9, false }, fixture.now);
  fixture.chooser.OnReport("s1", { 0, false }, fixture.now - milliseconds(10));
  CHECK(fixture.CountChoices()["s1"] == 0);
}

TEST_CASE("a draining server gets no new requests, whichever source reports the drain")
{
  const int source = GENERATE(0, 1, 2);
  CAPTURE(source);
  ChooserFixture fixture;
  if (source == 0) {
    fixture.chooser.OnDraining("s1", fixture.now);
  }
  if (source == 1) {
    fixture.chooser.OnReport("s1", { 0, true }, fixture.now);
  }
  if (source == 2) {
    fixture.writer.AddServer("s1", "s", "a", "a1", 1, true);
    fixture.Update();
  }
  CHECK(fixture.CountChoices()["s1"] == 0);
  CHECK_FALSE(fixture.chooser.AcceptsNewRequests("s1", fixture.now));
  CHECK(fixture.chooser.AcceptsNewRequests("s2", fixture.now));
  CHECK_FALSE(fixture.chooser.AcceptsNewRequests("gone", fixture.now));
}

TEST_CASE("no server is chosen when all are draining")
{
  ChooserFixture fixture;
  for (const char* name : { "s1", "s2", "s3", "s4" }) {
    fixture.chooser.OnDraining(name, fixture.now);
  }
  CHECK(fixture.CountChoices()["none"] == 1000);
  CHECK(fixture.chooser.IsRegionUnavailable("s", "a", fixture.now));
}

TEST_CASE("failing servers are ejected, but at most half of them")
{
  ChooserFixture fixture;
  fixture.Fail("s1", 3);
  CHECK(fixture.CountChoices()["s1"] == 0);
  fixture.Fail("s2", 3);
  fixture.Fail("s3", 3);
  CHECK(fixture.CountChoices().size() == 2);
  fixture.Fail("s4", 3);
  CHECK(fixture.CountChoices().size() == 2);
  CHECK(fixture.CountChoices()["none"] == 0);
  CHECK(fixture.chooser.IsRegionUnavailable("s", "a", fixture.now));
}

TEST_CASE("an ejected server returns after its ejection time")
{
  ChooserFixture fixture;
  fixture.Fail("s1", 3);
  fixture.now += milliseconds(999);
  CHECK(fixture.CountChoices()["s1"] == 0);
  fixture.chooser.OnReportMissing("s1", fixture.now);
  fixture.now += milliseconds(2);
  CHECK(fixture.CountChoices()["s1"] == 0);
  fixture.now += seconds(1);
  CHECK(fixture.CountChoices()["s1"] > 0);
  fixture.Fail("s1", 1);
  CHECK(fixture.CountChoices()["s1"] == 0);
}

TEST_CASE("missing load reports alone don't eject a server")
{
  ChooserFixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.chooser.OnReportMissing("s1", fixture.now);
  }
  CHECK(fixture.CountChoices()["s1"] > 150);
}

TEST_CASE("a server that probes can't reach is ejected before a request fails")
{
  ChooserFixture fixture;
  fixture.chooser.OnUnreachable("s1", fixture.now);
  fixture.chooser.OnUnreachable("s1", fixture.now);
  fixture.chooser.OnReport("s1", { 0, false }, fixture.now);
  fixture.chooser.OnUnreachable("s1", fixture.now);
  CHECK(fixture.CountChoices()["s1"] > 150);
  fixture.chooser.OnUnreachable("s1", fixture.now);
  fixture.chooser.OnUnreachable("s1", fixture.now);
  CHECK(fixture.CountChoices()["s1"] == 0);
}

TEST_CASE("a server that has just shed a request is avoided while others are available")
{
  ChooserFixture fixture;
  fixture.chooser.OnAttemptStart("s1");
  fixture.chooser.OnAttemptEnd("s1", AttemptOutcome::kShed, fixture.now);
  CHECK(fixture.CountChoices()["s1"] == 0);
  fixture.now += milliseconds(51);
  CHECK(fixture.CountChoices()["s1"] > 150);
}

TEST_CASE("a retry prefers another failure domain, then another server, then any server")
{
  ChooserFixture fixture;
  auto counts = fixture.CountChoices({ { "s1" }, { "a1" } });
  CHECK(counts["s3"] + counts["s4"] == 1000);
  counts = fixture.CountChoices({ { "s1", "s3", "s4" }, { "a1", "a2" } });
  CHECK(counts["s2"] == 1000);
  counts = fixture.CountChoices({ { "s1", "s2", "s3", "s4" }, { "a1", "a2" } });
  CHECK(counts["none"] == 0);
}

TEST_CASE("a server that is added to a running fleet goes through slow start")
{
  ChooserFixture fixture;
  fixture.writer.AddServer("s5", "s", "a", "a1", 2);
  Service* service = fixture.writer.Add("s").mutable_service();
  service->mutable_timeout()->set_seconds(1);
  service->mutable_slow_start()->set_seconds(10);
  fixture.Update();
  // With one request in flight each, a server in slow start has a higher relative load.
  for (const char* name : { "s1", "s2", "s3", "s4", "s5" }) {
    fixture.chooser.OnAttemptStart(name);
  }
  CHECK(fixture.CountChoices()["s5"] == 0);
  fixture.now += seconds(10);
  CHECK(fixture.CountChoices()["s5"] > 100);
}
