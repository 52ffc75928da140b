#include "plantainhaven/load/analysis.h"
#include "plantainhaven/load/report_text.h"

#include <catch2/catch.hpp>

#include "plantainhaven/common/settings.h"

namespace plantainhaven {

namespace {

using namespace std::chrono_literals;

Scenario
TwoAccounts()
{
  Scenario scenario;
  scenario.settings.mutable_run()->set_name("test");
  scenario.settings.mutable_bounds()->set_refused_wrongly_percent(100);
  scenario.settings.mutable_bounds()->set_failed_percent(100);
  scenario.accounts.push_back({ "small", "", 10, 10, 2, 1 });
  scenario.accounts.push_back({ "large", "", 100, 100, 50, 1 });
  scenario.requests.push_back({ "GET", "/lessons", "trainee-portal", 1, false });
  return scenario;
}

Sample
At(std::chrono::nanoseconds aTime,
   std::size_t aAccount,
   Outcome aOutcome,
   std::chrono::nanoseconds aLatency = 10ms)
{
  Sample sample;
  sample.start = aTime;
  sample.sent = aTime;
  sample.account = aAccount;
  sample.outcome = aOutcome;
  sample.latency = aLatency;
  sample.reason = aOutcome == Outcome::kAnswered ? "" : "rate";
  return sample;
}

struct QuantileCase
{
  double quantile;
  std::chrono::nanoseconds expected;
};

TEST_CASE("a quantile is the sample of nearest rank")
{
  std::vector<std::chrono::nanoseconds> sorted;
  for (int value = 1; value <= 1000; ++value) {
    sorted.emplace_back(value);
  }
  const QuantileCase cases[] = {
    { 0, 1ns }, { 0.5, 500ns }, { 0.99, 990ns }, { 0.999, 999ns }, { 1, 1000ns }
  };
  for (const QuantileCase& one : cases) {
    CAPTURE(one.quantile);
    CHECK(Quantile(sorted, one.quantile) == one.expected);
  }
  CHECK(Quantile({}, 0.5) == 0ns);
}

TEST_CASE("a request is inside while its account's ideal bucket admits it")
{
  const Scenario scenario = TwoAccounts();
  // Burst 2, then one token each 100 ms; the other account changes nothing.
  const std::vector<Sample> samples = {
    At(0ms, 0, Outcome::kAnswered),  At(0ms, 0, Outcome::kAnswered),
    At(0ms, 0, Outcome::kRefused),   At(50ms, 0, Outcome::kRefused),
    At(50ms, 1, Outcome::kAnswered), At(100ms, 0, Outcome::kRefused),
    At(150ms, 0, Outcome::kRefused), At(10s, 0, Outcome::kAnswered),
    At(10s, 0, Outcome::kAnswered),  At(10s, 0, Outcome::kRefused),
  };
  const std::vector<bool> expected = { true, true,  false, false, true,
                                       true, false, true,  true,  false };
  CHECK(FindInside(scenario, samples) == expected);
  const LoadReport report = Analyze(scenario, samples);
  CHECK(report.refused() == 5);
  CHECK(report.refused_inside() == 1);
  CHECK(report.accounts(0).inside() == 5);
  CHECK(report.accounts(0).refused_inside() == 1);
  CHECK(report.refused_wrongly() == 1);
}

TEST_CASE(
  "an account above its rate isn't wronged when other requests than the bucket's are served")
{
  const Scenario scenario = TwoAccounts();
  // The bucket admits the first two of three; the system served the last two.
  std::vector<Sample> samples = { At(0ms, 0, Outcome::kRefused),
                                  At(1ms, 0, Outcome::kAnswered),
                                  At(2ms, 0, Outcome::kAnswered) };
  LoadReport report = Analyze(scenario, samples);
  CHECK(report.refused_inside() == 1);
  CHECK(report.refused_wrongly() == 0);
  // One more refusal is one too many.
  samples[1].outcome = Outcome::kRefused;
  report = Analyze(scenario, samples);
  CHECK(report.refused_inside() == 2);
  CHECK(report.refused_wrongly() == 1);
}

TEST_CASE("a report counts outcomes, reasons and the worst-served account")
{
  const Scenario scenario = TwoAccounts();
  std::vector<Sample> samples = {
    At(0ms, 0, Outcome::kAnswered, 30ms),
    At(1ms, 1, Outcome::kAnswered, 10ms),
    At(2ms, 1, Outcome::kFailed),
    At(1500ms, 1, Outcome::kRefused),
    At(1600ms, 1, Outcome::kAnswered, 20ms),
  };
  samples[2].reason = "broken";
  samples[2].cuts = 2;
  const LoadReport report = Analyze(scenario, samples);
  CHECK(report.sent() == 5);
  CHECK(report.answered() == 3);
  CHECK(report.refused() == 1);
  CHECK(report.failed() == 1);
  CHECK(report.connections_cut() == 2);
  CHECK(report.latency().max_ms() == Approx(30));
  CHECK(report.worst_account() == "small");
  CHECK(report.worst_to_best() == Approx(1.5));
  REQUIRE(report.reasons_size() == 2);
  CHECK(report.reasons(0).reason() == "broken");
  REQUIRE(report.timeline_size() == 2);
  CHECK(report.timeline(1).sent() == 2);
}

TEST_CASE("requests of the warm-up are left out but empty the buckets")
{
  Scenario scenario = TwoAccounts();
  *scenario.settings.mutable_run()->mutable_warm_up() = FromChrono(1s);
  const LoadReport report = Analyze(scenario,
                                    { At(990ms, 0, Outcome::kAnswered),
                                      At(995ms, 0, Outcome::kAnswered),
                                      At(1000ms, 0, Outcome::kRefused) });
  CHECK(report.sent() == 1);
  CHECK(report.refused_inside() == 0);
}

struct BoundCase
{
  const char* name;
  void (*set)(LoadScenario&);
  bool held;
};

TEST_CASE("each bound is checked against its measure")
{
  LoadReport measured;
  measured.set_sent(1000);
  measured.set_refused_wrongly(10);
  measured.set_failed(20);
  measured.set_worst_to_best(1.6);
  measured.mutable_latency()->set_p50_ms(2);
  measured.mutable_latency()->set_p99_ms(9);
  measured.mutable_latency()->set_p999_ms(12);
  measured.set_drained(true);
  measured.set_drain_ms(800);
  RegionReport& region = *measured.add_regions();
  region.set_region("kochi");
  region.set_least_headroom_percent(10);

  const BoundCase cases[] = {
    { "none", [](LoadScenario&) {}, true },
    { "p50 held",
      [](LoadScenario& aIn) { *aIn.mutable_bounds()->mutable_p50() = FromChrono(2ms); },
      true },
    { "p50",
      [](LoadScenario& aIn) { *aIn.mutable_bounds()->mutable_p50() = FromChrono(1ms); },
      false },
    { "p99",
      [](LoadScenario& aIn) { *aIn.mutable_bounds()->mutable_p99() = FromChrono(8ms); },
      false },
    { "p999",
      [](LoadScenario& aIn) { *aIn.mutable_bounds()->mutable_p999() = FromChrono(11ms); },
      false },
    { "refused wrongly",
      [](LoadScenario& aIn) { aIn.mutable_bounds()->set_refused_wrongly_percent(0.9); },
      false },
    { "failed held", [](LoadScenario& aIn) { aIn.mutable_bounds()->set_failed_percent(2); }, true },
    { "failed", [](LoadScenario& aIn) { aIn.mutable_bounds()->set_failed_percent(1.9); }, false },
    { "worst account",
      [](LoadScenario& aIn) { aIn.mutable_bounds()->set_worst_to_best(1.5); },
      false },
    { "region held",
      [](LoadScenario& aIn) { aIn.mutable_bounds()->set_region_load_percent(90); },
      true },
    { "region",
      [](LoadScenario& aIn) { aIn.mutable_bounds()->set_region_load_percent(89); },
      false },
    { "drain held",
      [](LoadScenario& aIn) {
        aIn.mutable_drain()->set_server("portal-01");
        *aIn.mutable_bounds()->mutable_drain() = FromChrono(1s);
      },
      true },
    { "drain",
      [](LoadScenario& aIn) {
        aIn.mutable_drain()->set_server("portal-01");
        *aIn.mutable_bounds()->mutable_drain() = FromChrono(500ms);
      },
      false },
  };
  for (const BoundCase& one : cases) {
    CAPTURE(one.name);
    Scenario scenario = TwoAccounts();
    one.set(scenario.settings);
    LoadReport report = measured;
    CheckBounds(scenario, report);
    CHECK(report.broken_bounds().empty() == one.held);
  }
}

TEST_CASE("executions against the promises always break the run")
{
  LoadReport report;
  report.mutable_executions()->set_more_than_once(1);
  report.mutable_executions()->set_ran_after_not_run(1);
  CheckBounds(TwoAccounts(), report);
  CHECK(report.broken_bounds_size() == 2);
}

TEST_CASE("table and plot show the report")
{
  const Scenario scenario = TwoAccounts();
  LoadReport report = Analyze(scenario, { At(0ms, 0, Outcome::kAnswered) });
  report.add_broken_bounds("bounds.p99: too high");
  const std::string table = ReportTable(report);
  CHECK(table.find("1 sent, 1 answered") != std::string::npos);
  CHECK(table.find("bound broken: bounds.p99") != std::string::npos);
  CHECK(table.find("all bounds held") == std::string::npos);
  const std::string plot = ReportPlot(report);
  CHECK(plot.find("<svg") == 0);
  CHECK(plot.find("nan") == std::string::npos);
}

} // namespace

} // namespace plantainhaven
