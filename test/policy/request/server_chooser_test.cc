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

  // How often each server is chosen in 1,000 draws without feedback.
  std::map<std::string, int> Draw(const AvoidedTargets& aAvoided = {})
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

TEST_CASE("equal servers share the load")
{
  ChooserFixture fixture;
  for (const auto& [name, count] : fixture.Draw()) {
    INFO(name);
    CHECK(count > 150);
  }
}

TEST_CASE("own requests in flight count, whatever a report says")
{
  ChooserFixture fixture;
  for (int i = 0; i < 5; ++i) {
    fixture.chooser.OnAttemptStart("s1");
  }
  fixture.chooser.OnReport("s1", { 0, false }, fixture.now);
  CHECK(fixture.Draw()["s1"] == 0);
}

TEST_CASE("reported load counts less with age and not beyond its life")
{
  ChooserFixture fixture;
  fixture.chooser.OnReport("s1", { 9, false }, fixture.now);
  CHECK(fixture.Draw()["s1"] == 0);
  fixture.now += seconds(3);
  CHECK(fixture.Draw()["s1"] > 150);
}

TEST_CASE("a report that was asked for earlier doesn't replace a later one")
{
  ChooserFixture fixture;
  fixture.chooser.OnReport("s1", { 9, false }, fixture.now);
  fixture.chooser.OnReport("s1", { 0, false }, fixture.now - milliseconds(10));
  CHECK(fixture.Draw()["s1"] == 0);
}

TEST_CASE("draining servers get nothing new at once, however it was learned")
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
  CHECK(fixture.Draw()["s1"] == 0);
  CHECK_FALSE(fixture.chooser.AcceptsNewRequests("s1", fixture.now));
  CHECK(fixture.chooser.AcceptsNewRequests("s2", fixture.now));
  CHECK_FALSE(fixture.chooser.AcceptsNewRequests("gone", fixture.now));
}

TEST_CASE("with all servers draining there is none")
{
  ChooserFixture fixture;
  for (const char* name : { "s1", "s2", "s3", "s4" }) {
    fixture.chooser.OnDraining(name, fixture.now);
  }
  CHECK(fixture.Draw()["none"] == 1000);
  CHECK(fixture.chooser.IsRegionUnavailable("s", "a", fixture.now));
}

TEST_CASE("failing servers are ejected, but never more than half")
{
  ChooserFixture fixture;
  fixture.Fail("s1", 3);
  CHECK(fixture.Draw()["s1"] == 0);
  fixture.Fail("s2", 3);
  fixture.Fail("s3", 3);
  CHECK(fixture.Draw().size() == 2);
  fixture.Fail("s4", 3);
  CHECK(fixture.Draw().size() == 2);
  CHECK(fixture.Draw()["none"] == 0);
  CHECK(fixture.chooser.IsRegionUnavailable("s", "a", fixture.now));
}

TEST_CASE("an ejected server comes back after its time, or when it answers")
{
  ChooserFixture fixture;
  fixture.Fail("s1", 3);
  fixture.now += milliseconds(999);
  CHECK(fixture.Draw()["s1"] == 0);
  fixture.chooser.OnReportMissing("s1", fixture.now);
  fixture.now += milliseconds(2);
  CHECK(fixture.Draw()["s1"] == 0);
  fixture.now += seconds(1);
  CHECK(fixture.Draw()["s1"] > 0);
  fixture.Fail("s1", 1);
  CHECK(fixture.Draw()["s1"] == 0);
}

TEST_CASE("a missing report alone ejects nobody")
{
  ChooserFixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.chooser.OnReportMissing("s1", fixture.now);
  }
  CHECK(fixture.Draw()["s1"] > 150);
}

TEST_CASE("a server that probes can't reach is ejected without a request")
{
  ChooserFixture fixture;
  fixture.chooser.OnUnreachable("s1", fixture.now);
  fixture.chooser.OnUnreachable("s1", fixture.now);
  fixture.chooser.OnReport("s1", { 0, false }, fixture.now);
  fixture.chooser.OnUnreachable("s1", fixture.now);
  CHECK(fixture.Draw()["s1"] > 150);
  fixture.chooser.OnUnreachable("s1", fixture.now);
  fixture.chooser.OnUnreachable("s1", fixture.now);
  CHECK(fixture.Draw()["s1"] == 0);
}

TEST_CASE("a server that shed rests while others can take it")
{
  ChooserFixture fixture;
  fixture.chooser.OnAttemptStart("s1");
  fixture.chooser.OnAttemptEnd("s1", AttemptOutcome::kShed, fixture.now);
  CHECK(fixture.Draw()["s1"] == 0);
  fixture.now += milliseconds(51);
  CHECK(fixture.Draw()["s1"] > 150);
}

TEST_CASE("a retry goes to another failure domain, then another server, then anyone")
{
  ChooserFixture fixture;
  auto counts = fixture.Draw({ { "s1" }, { "a1" } });
  CHECK(counts["s3"] + counts["s4"] == 1000);
  counts = fixture.Draw({ { "s1", "s3", "s4" }, { "a1", "a2" } });
  CHECK(counts["s2"] == 1000);
  counts = fixture.Draw({ { "s1", "s2", "s3", "s4" }, { "a1", "a2" } });
  CHECK(counts["none"] == 0);
}

TEST_CASE("a server that joins a running fleet starts slowly")
{
  ChooserFixture fixture;
  fixture.writer.AddServer("s5", "s", "a", "a1", 2);
  Service* service = fixture.writer.Add("s").mutable_service();
  service->mutable_timeout()->set_seconds(1);
  service->mutable_slow_start()->set_seconds(10);
  fixture.Update();
  // With one request in flight each, a cold server looks fuller than warm ones.
  for (const char* name : { "s1", "s2", "s3", "s4", "s5" }) {
    fixture.chooser.OnAttemptStart(name);
  }
  CHECK(fixture.Draw()["s5"] == 0);
  fixture.now += seconds(10);
  CHECK(fixture.Draw()["s5"] > 100);
}
