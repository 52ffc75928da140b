#include "plantainhaven/policy/lookup/lookup_policy.h"

#include <cmath>
#include <functional>
#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

using namespace std::chrono_literals;

constexpr BootTime kFreshUntil{ 100s };
constexpr BootTime kNow{ 99s };
const ClientAddress kInKochi{ 0x0a000001 };
const ClientAddress kInMuscat{ 0x0b000001 };
const ClientAddress kInNoBlock{ 0x0c000001 };
const ClientAddress kIpv6{};

// Two regions, each with a client block. kochi-1 is the VM that answers.
class Fixture
{
public:
  Fixture()
  {
    this->change.set_revision(1);
    this->Add("trainee-portal").mutable_service();
    for (const char* name : { "kochi-1", "kochi-2", "kochi-3", "muscat-1", "muscat-2" }) {
      this->AddVm(name);
    }
    this->AddBlock("10.0.0.0", "kochi");
    this->AddBlock("11.0.0.0", "muscat");
  }

  Resource& Add(const std::string& aName)
  {
    Resource* const resource = this->change.add_puts();
    resource->set_name(aName);
    return *resource;
  }
  void AddVm(const std::string& aName)
  {
    EntryVm& vm = *this->Add(aName).mutable_entry_vm();
    vm.set_address("127.0.0.1");
    vm.set_entry_port(8000);
    vm.set_region(aName.substr(0, aName.find('-')));
    vm.set_state(EntryVm::ACTIVE);
    VmStatus status;
    status.set_name(aName);
    status.set_alive(true);
    status.set_fresh(true);
    status.set_state("ACTIVE");
    this->view.vms.push_back(status);
  }
  void AddBlock(const std::string& aAddress, const std::string& aRegion)
  {
    ClientBlock& block = *this->Add(aAddress + "_8").mutable_client_block();
    block.set_cidr(aAddress + "/8");
    block.set_region(aRegion);
  }
  EntryVm& Vm(const std::string& aName)
  {
    for (Resource& resource : *this->change.mutable_puts()) {
      if (resource.name() == aName) {
        return *resource.mutable_entry_vm();
      }
    }
    throw std::out_of_range(aName);
  }
  VmStatus& Status(const std::string& aName)
  {
    for (VmStatus& status : this->view.vms) {
      if (status.name() == aName) {
        return status;
      }
    }
    throw std::out_of_range(aName);
  }
  std::unique_ptr<LookupPolicy> Policy() const
  {
    Configuration configuration;
    REQUIRE(IsOk(configuration.Apply(this->change)));
    return std::make_unique<LookupPolicy>(
      this->options, std::make_shared<LookupTable>(configuration), configuration, this->view);
  }

  ChangeRecord change;
  LookupView view{ kFreshUntil, false, {} };
  LookupOptions options{ .vm = "kochi-1", .region = "kochi", .ttl = 2s, .targets = 3 };
};

std::set<std::string>
NamesIn(const LookupDecision& aDecision)
{
  std::set<std::string> names;
  for (std::size_t i = 0; i < aDecision.count; ++i) {
    names.insert(aDecision.targets[i].vm->name);
  }
  return names;
}

// Returns the names of all VMs that occur in many answers.
std::set<std::string>
NamesInAnswers(const LookupPolicy& aPolicy, const ClientAddress& aClient)
{
  constexpr int kAnswers = 200;
  std::mt19937_64 random(1);
  std::set<std::string> names;
  for (int i = 0; i < kAnswers; ++i) {
    const LookupOutcome outcome = aPolicy.Decide("trainee-portal", aClient, kNow, random);
    if (const auto* decision = std::get_if<LookupDecision>(&outcome)) {
      names.merge(NamesIn(*decision));
    }
  }
  return names;
}

} // namespace

TEST_CASE("LookupPolicy returns only VMs that are ACTIVE, alive, fresh and not leaving")
{
  using Names = std::set<std::string>;
  const Names kochi = { "kochi-1", "kochi-2", "kochi-3" };
  const Names muscat = { "muscat-1", "muscat-2" };
  struct Case
  {
    const char* name;
    std::function<void(Fixture&)> arrange;
    ClientAddress client;
    Names expected;
  };
  const auto noUsableInMuscat = [](Fixture& aFixture) {
    aFixture.Status("muscat-1").set_alive(false);
    aFixture.Status("muscat-2").set_fresh(false);
  };
  const auto noUsableInKochi = [](Fixture& aFixture) {
    aFixture.view.leaving = true;
    aFixture.Status("kochi-2").set_alive(false);
    aFixture.Vm("kochi-3").set_state(EntryVm::LEAVING);
  };
  const Case cases[] = {
    { "all usable", [](Fixture&) {}, kInKochi, kochi },
    { "block of another region", [](Fixture&) {}, kInMuscat, muscat },
    { "no block: own region", [](Fixture&) {}, kInNoBlock, kochi },
    { "IPv6: own region", [](Fixture&) {}, kIpv6, kochi },
    { "dead",
      [](Fixture& aFixture) { aFixture.Status("kochi-2").set_alive(false); },
      kInKochi,
      { "kochi-1", "kochi-3" } },
    { "stale",
      [](Fixture& aFixture) { aFixture.Status("kochi-2").set_fresh(false); },
      kInKochi,
      { "kochi-1", "kochi-3" } },
    { "status says leaving",
      [](Fixture& aFixture) { aFixture.Status("kochi-2").set_state("LEAVING"); },
      kInKochi,
      { "kochi-1", "kochi-3" } },
    { "status says leaving, other case",
      [](Fixture& aFixture) { aFixture.Status("kochi-2").set_state("leaving"); },
      kInKochi,
      { "kochi-1", "kochi-3" } },
    { "configuration says leaving",
      [](Fixture& aFixture) { aFixture.Vm("kochi-2").set_state(EntryVm::LEAVING); },
      kInKochi,
      { "kochi-1", "kochi-3" } },
    { "status unknown",
      [](Fixture& aFixture) { aFixture.Status("kochi-2").set_name("another"); },
      kInKochi,
      { "kochi-1", "kochi-3" } },
    { "this VM is leaving",
      [](Fixture& aFixture) { aFixture.view.leaving = true; },
      kInKochi,
      { "kochi-2", "kochi-3" } },
    { "own status unknown",
      [](Fixture& aFixture) { aFixture.Status("kochi-1").set_name("another"); },
      kInKochi,
      kochi },
    { "no usable VM in the region", noUsableInMuscat, kInMuscat, kochi },
    { "no usable VM in the own region", noUsableInKochi, kInNoBlock, muscat },
    { "no usable VM",
      [&](Fixture& aFixture) {
        noUsableInMuscat(aFixture);
        noUsableInKochi(aFixture);
      },
      kInKochi,
      {} },
  };
  for (const Case& testCase : cases) {
    CAPTURE(testCase.name);
    Fixture fixture;
    testCase.arrange(fixture);
    const std::unique_ptr<LookupPolicy> policy = fixture.Policy();
    CHECK(NamesInAnswers(*policy, testCase.client) == testCase.expected);
  }
}

TEST_CASE("LookupPolicy returns the reason of a refusal")
{
  struct Case
  {
    const char* name;
    const char* service;
    BootTime now;
    bool empty;
    LookupRefusal refusal;
  };
  const Case cases[] = {
    { "stale at the limit", "trainee-portal", kFreshUntil, false, LookupRefusal::kStaleView },
    { "stale before unknown", "nothing", kFreshUntil, false, LookupRefusal::kStaleView },
    { "unknown service", "nothing", kNow, false, LookupRefusal::kUnknownService },
    { "no VM", "trainee-portal", kNow, true, LookupRefusal::kNoTarget },
  };
  for (const Case& testCase : cases) {
    CAPTURE(testCase.name);
    Fixture fixture;
    fixture.view.leaving = testCase.empty;
    if (testCase.empty) {
      fixture.view.vms.clear();
    }
    std::mt19937_64 random(1);
    const LookupOutcome outcome =
      fixture.Policy()->Decide(testCase.service, kInKochi, testCase.now, random);
    REQUIRE(std::holds_alternative<LookupRefusal>(outcome));
    CHECK(ToString(std::get<LookupRefusal>(outcome)) == std::string(ToString(testCase.refusal)));
  }
}

TEST_CASE("LookupPolicy: an answer has distinct VMs, weights that add up to 100, TTL and revision")
{
  for (const std::size_t targets : { 1U, 2U, 3U, 7U, 32U }) {
    CAPTURE(targets);
    Fixture fixture;
    for (int vm = 4; vm <= 40; ++vm) {
      fixture.AddVm("kochi-" + std::to_string(vm));
    }
    fixture.options.targets = targets;
    const std::unique_ptr<LookupPolicy> policy = fixture.Policy();
    std::mt19937_64 random(targets);
    for (int i = 0; i < 100; ++i) {
      const LookupOutcome outcome = policy->Decide("trainee-portal", kInKochi, kNow, random);
      const auto& decision = std::get<LookupDecision>(outcome);
      REQUIRE(decision.count == targets);
      REQUIRE(NamesIn(decision).size() == targets);
      const LookupAnswer answer = ToLookupAnswer(decision);
      std::uint32_t weights = 0;
      for (const LookupAnswer::Target& target : answer.targets()) {
        weights += target.weight();
        REQUIRE(target.weight() >= 100 / targets);
        REQUIRE(target.port() == 8000);
      }
      REQUIRE(weights == 100);
      REQUIRE(answer.ttl_seconds() == 2);
      REQUIRE(answer.revision() == 1);
      REQUIRE(answer.region() == "kochi");
    }
  }
}

// Each position of an answer is a uniform draw over n VMs, so the number of times that a VM
// is drawn in k answers has mean k/n and variance k/n * (1 - 1/n). A uniform distribution
// exceeds six standard deviations with a probability below 1e-8. The seeds are also fixed.
TEST_CASE("LookupPolicy spreads callers with the same address evenly over the VMs")
{
  constexpr double kDeviations = 6;
  constexpr int kAnswers = 20'000;
  for (const int vms : { 3, 4, 11, 40 }) {
    for (const bool fallback : { false, true }) {
      CAPTURE(vms, fallback);
      Fixture fixture;
      for (int vm = 4; vm <= vms; ++vm) {
        fixture.AddVm("kochi-" + std::to_string(vm));
      }
      fixture.Status("muscat-1").set_alive(false);
      fixture.Status("muscat-2").set_alive(false);
      const std::unique_ptr<LookupPolicy> policy = fixture.Policy();
      std::mt19937_64 random(vms);
      std::map<std::string, int> first;
      std::map<std::string, int> last;
      for (int i = 0; i < kAnswers; ++i) {
        const LookupOutcome outcome =
          policy->Decide("trainee-portal", fallback ? kInMuscat : kInKochi, kNow, random);
        const auto& decision = std::get<LookupDecision>(outcome);
        ++first[decision.targets[0].vm->name];
        ++last[decision.targets[decision.count - 1].vm->name];
      }
      const double mean = static_cast<double>(kAnswers) / vms;
      const double bound = kDeviations * std::sqrt(mean * (1 - 1.0 / vms));
      for (const auto& counts : { first, last }) {
        REQUIRE(counts.size() == static_cast<std::size_t>(vms));
        for (const auto& [name, count] : counts) {
          CAPTURE(name, count, mean);
          CHECK(std::abs(count - mean) <= bound);
        }
      }
    }
  }
}

TEST_CASE("LookupPolicy spreads the callers of an unavailable region over all usable VMs")
{
  Fixture fixture;
  fixture.AddBlock("12.0.0.0", "salalah");
  const std::unique_ptr<LookupPolicy> policy = fixture.Policy();
  std::mt19937_64 random(5);
  std::map<std::string, int> first;
  constexpr int kAnswers = 20'000;
  for (int i = 0; i < kAnswers; ++i) {
    const LookupOutcome outcome = policy->Decide("trainee-portal", kInNoBlock, kNow, random);
    const auto& decision = std::get<LookupDecision>(outcome);
    // All VMs of one answer are in the same region.
    REQUIRE(NamesIn(decision).size() == (decision.region == "kochi" ? 3 : 2));
    ++first[decision.targets[0].vm->name];
  }
  constexpr double kVms = 5;
  const double mean = kAnswers / kVms;
  const double bound = 6 * std::sqrt(mean * (1 - 1 / kVms));
  REQUIRE(first.size() == 5);
  for (const auto& [name, count] : first) {
    CAPTURE(name, count, mean);
    CHECK(std::abs(count - mean) <= bound);
  }
}

} // namespace plantainhaven
