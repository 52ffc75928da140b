#include "plantainhaven/load/scenario.h"
#include "plantainhaven/load/schedule.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "plantainhaven/common/settings.h"

namespace plantainhaven {

namespace {

constexpr char kGoodScenario[] = R"([run]
name = test
seed = 7
duration = 20s

[lookup]
endpoints = 127.0.0.11:8001, 127.0.0.12:8001

[traffic]
accounts = small 10 20 5, large 200 100 50 4
requests = GET /lessons trainee-portal 90, POST /fees trainee-portal 10 once

[backends]
servers = portal-01 kochi 127.0.0.1:9000 9
)";

LoadScenario
ReadText(const std::string& aText)
{
  std::istringstream input(aText);
  LoadScenario settings;
  const Result<Done> read = ReadSettings(input, "test.ini", settings);
  REQUIRE(IsOk(read));
  return settings;
}

Scenario
GoodScenario()
{
  Result<Scenario> scenario = ParseScenario(ReadText(kGoodScenario));
  REQUIRE(IsOk(scenario));
  return ValueOf(scenario);
}

TEST_CASE("a scenario file becomes typed lists")
{
  const Scenario scenario = GoodScenario();
  REQUIRE(scenario.lookups.size() == 2);
  CHECK(scenario.lookups[1].address == "127.0.0.12");
  REQUIRE(scenario.accounts.size() == 2);
  CHECK(scenario.accounts[0].group == 1);
  CHECK(scenario.accounts[1].offered == 200);
  CHECK(scenario.accounts[1].rate == 100);
  CHECK(scenario.accounts[1].burst == 50);
  CHECK(scenario.accounts[1].group == 4);
  REQUIRE(scenario.requests.size() == 2);
  CHECK_FALSE(scenario.requests[0].once);
  CHECK(scenario.requests[1].once);
  CHECK(scenario.servers.at(0).endpoint.port == 9000);
}

struct WrongEntryCase
{
  const char* from;
  const char* to;
  const char* field;
};

TEST_CASE("a wrong entry names its key")
{
  const WrongEntryCase cases[] = {
    { "small 10 20 5", "small 10 20", "traffic.accounts" },
    { "small 10 20 5", "small 10 20 0", "traffic.accounts" },
    { "small 10 20 5", "small ten 20 5", "traffic.accounts" },
    { "small 10 20 5", "small 10 20 5 0", "traffic.accounts" },
    { "GET /lessons", "GET lessons", "traffic.requests" },
    { "10 once", "10 twice", "traffic.requests" },
    { "127.0.0.11:8001", "127.0.0.11", "endpoint" },
    { "127.0.0.11:8001", "127.0.0.11:80011", "endpoint" },
    { "127.0.0.1:9000 9", "127.0.0.1:9000", "backends.servers" },
    { "127.0.0.1:9000 9", "127.0.0.1:9000 0", "backends.servers" },
    { "seed = 7", "mode = ajar", "run.mode" },
  };
  for (const WrongEntryCase& wrong : cases) {
    CAPTURE(wrong.from, wrong.to);
    std::string text = kGoodScenario;
    text.replace(text.find(wrong.from), std::string(wrong.from).size(), wrong.to);
    const Result<Scenario> scenario = ParseScenario(ReadText(text));
    REQUIRE_FALSE(IsOk(scenario));
    CHECK(ErrorOf(scenario).kind == ErrorKind::kInvalid);
    CHECK(ErrorOf(scenario).field == wrong.field);
  }
}

TEST_CASE("keys reach their accounts and never an error message")
{
  const std::string path = std::tmpnam(nullptr);
  Scenario scenario = GoodScenario();
  std::ofstream(path) << "large secret-key\nother some-key\n";
  REQUIRE(IsOk(ReadKeys(path, scenario)));
  CHECK(scenario.accounts[0].key.empty());
  CHECK(scenario.accounts[1].key == "secret-key");

  std::ofstream(path) << "large secret-key more\n";
  const Result<Done> wrong = ReadKeys(path, scenario);
  REQUIRE_FALSE(IsOk(wrong));
  CHECK(ErrorOf(wrong).message.find(":1:") != std::string::npos);
  CHECK(ErrorOf(wrong).message.find("secret") == std::string::npos);
  std::remove(path.c_str());
  CHECK_FALSE(IsOk(ReadKeys(path, scenario)));
}

TEST_CASE("a schedule is ordered, repeatable and of the offered rates")
{
  const Scenario scenario = GoodScenario();
  const std::vector<Arrival> schedule = MakeSchedule(scenario);
  const std::vector<Arrival> again = MakeSchedule(scenario);
  REQUIRE(schedule.size() == again.size());
  CHECK(std::is_sorted(schedule.begin(), schedule.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.at < aRight.at;
  }));
  std::size_t large = 0;
  std::size_t once = 0;
  for (std::size_t index = 0; index < schedule.size(); ++index) {
    CHECK(schedule[index].at == again[index].at);
    large += schedule[index].account;
    once += schedule[index].request;
  }
  // 200/s and 10/s over 20 s, within five standard deviations.
  CHECK(large == Approx(4000).margin(5 * 126));
  CHECK(schedule.size() - large == Approx(200).margin(5 * 14));
  CHECK(static_cast<double>(once) / static_cast<double>(schedule.size()) ==
        Approx(0.1).margin(0.03));
}

TEST_CASE("one account's arrivals don't depend on another's settings")
{
  Scenario scenario = GoodScenario();
  const auto ofLarge = [](const std::vector<Arrival>& aSchedule) {
    std::vector<std::chrono::nanoseconds> times;
    for (const Arrival& arrival : aSchedule) {
      if (arrival.account == 1) {
        times.push_back(arrival.at);
      }
    }
    return times;
  };
  const auto before = ofLarge(MakeSchedule(scenario));
  scenario.accounts[0].offered = 500;
  CHECK(ofLarge(MakeSchedule(scenario)) == before);
}

TEST_CASE("groups are sent at the same moment")
{
  Scenario scenario = GoodScenario();
  scenario.accounts[0].offered = 0;
  const std::vector<Arrival> schedule = MakeSchedule(scenario);
  REQUIRE(schedule.size() % 4 == 0);
  REQUIRE(schedule.size() >= 8);
  for (std::size_t index = 0; index < schedule.size(); index += 4) {
    CHECK(schedule[index].at == schedule[index + 3].at);
  }
  CHECK(schedule[3].at != schedule[4].at);
}

} // namespace

} // namespace plantainhaven
