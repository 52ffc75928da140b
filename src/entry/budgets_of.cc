#include "plantainhaven/common/settings.h"
#include "plantainhaven/entry/control_thread.h"

#include <map>
#include <tuple>

namespace plantainhaven {

namespace {

// Beyond the longest request a slot is in use no longer than this.
constexpr std::chrono::seconds kSlotUseMargin{ 1 };

struct RegionService
{
  std::string service;
  std::string region;
  bool operator<(const RegionService& aOther) const
  {
    return std::tie(this->service, this->region) < std::tie(aOther.service, aOther.region);
  }
};

std::chrono::nanoseconds
TimeoutOf(const Configuration& aConfiguration, const std::string& aService)
{
  const Resource* service = aConfiguration.Find("service", aService);
  return service == nullptr ? std::chrono::nanoseconds(0) : ToChrono(service->service().timeout());
}

void
AddServerBudgets(const Configuration& aConfiguration, std::vector<BudgetSpec>& aSpecs)
{
  std::map<RegionService, std::int64_t> slots;
  aConfiguration.ForEach("backend_server", [&](const Resource& aResource) {
    const BackendServer& server = aResource.backend_server();
    const std::chrono::nanoseconds longest =
      TimeoutOf(aConfiguration, server.service()) + kConnectionUseMargin;
    aSpecs.push_back(ServerConnectionsBudget(aResource.name(), server.max_connections(), longest));
    if (!server.draining()) {
      slots[{ server.service(), server.region() }] += server.slots();
    }
  });
  for (const auto& [name, count] : slots) {
    const std::chrono::nanoseconds longest =
      TimeoutOf(aConfiguration, name.service) + kSlotUseMargin;
    aSpecs.push_back(RegionSlotsBudget(name.service, name.region, count, longest));
  }
}

std::vector<BudgetMember>
MembersOf(const Configuration& aConfiguration)
{
  std::vector<BudgetMember> members;
  aConfiguration.ForEach("entry_vm", [&](const Resource& aResource) {
    const EntryVm& vm = aResource.entry_vm();
    BudgetMember member;
    member.name = aResource.name();
    member.endpoint = "tcp://" + vm.address() + ":" + std::to_string(vm.budget_port());
    member.failureDomain = vm.failure_domain();
    member.incarnation = vm.incarnation();
    member.leaving = vm.state() == EntryVm::LEAVING;
    members.push_back(std::move(member));
  });
  return members;
}

} // namespace

BudgetConfiguration
BudgetsOf(const Configuration& aConfiguration)
{
  BudgetConfiguration budgets;
  budgets.revision = aConfiguration.AppliedRevision();
  aConfiguration.ForEach("client_account", [&](const Resource& aResource) {
    const ClientAccount& account = aResource.client_account();
    budgets.specs.push_back(AccountBudget(aResource.name(), account.rate(), account.burst()));
  });
  AddServerBudgets(aConfiguration, budgets.specs);
  aConfiguration.ForEach("link", [&](const Resource& aResource) {
    const Link& link = aResource.link();
    budgets.specs.push_back(
      LinkBudget(link.from_region(), link.to_region(), link.megabits_per_second()));
  });
  budgets.members = MembersOf(aConfiguration);
  return budgets;
}

} // namespace plantainhaven
