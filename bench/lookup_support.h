#pragma once

#include "plantainhaven/policy/config/configuration.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "local.pb.h"

namespace plantainhaven {

// Configurations for the look-up benches: SITES regions with VMS entry VMs each, one
// service, and client blocks of 16 to 24 bits, some of them nested.
class LookupBenchConfiguration
{
public:
  static constexpr std::size_t kSites = 190;
  static constexpr std::size_t kVmsPerSite = 4;
  static constexpr std::uint64_t kSeed = 20261204;

  explicit LookupBenchConfiguration(std::size_t aBlocks)
  {
    ChangeRecord change;
    change.set_revision(1);
    this->AddSites(change);
    this->AddBlocks(aBlocks, change);
    this->configuration.Apply(change);
  }

  const Configuration& Value() const { return this->configuration; }
  // Every VM alive and fresh.
  const std::vector<VmStatus>& Vms() const { return this->vms; }

private:
  void AddSites(ChangeRecord& aChange)
  {
    Resource* const service = aChange.add_puts();
    service->set_name("trainee-portal");
    service->mutable_service();
    for (std::size_t site = 0; site < kSites; ++site) {
      const std::string region = "region-" + std::to_string(site);
      Resource* const resource = aChange.add_puts();
      resource->set_name(region);
      resource->mutable_region()->add_failure_domains(region + "-a");
      for (std::size_t vm = 0; vm < kVmsPerSite; ++vm) {
        this->AddVm(region, vm, aChange);
      }
    }
  }

  void AddVm(const std::string& aRegion, std::size_t aNumber, ChangeRecord& aChange)
  {
    Resource* const resource = aChange.add_puts();
    resource->set_name(aRegion + "-vm-" + std::to_string(aNumber));
    EntryVm* const vm = resource->mutable_entry_vm();
    vm->set_address("10.0.0." + std::to_string(aNumber + 1));
    vm->set_region(aRegion);
    vm->set_failure_domain(aRegion + "-a");
    vm->set_entry_port(8000);
    vm->set_state(EntryVm::ACTIVE);
    VmStatus status;
    status.set_name(resource->name());
    status.set_alive(true);
    status.set_fresh(true);
    status.set_state("ACTIVE");
    this->vms.push_back(status);
  }

  static void AddBlocks(std::size_t aBlocks, ChangeRecord& aChange)
  {
    std::mt19937_64 random(kSeed);
    std::vector<bool> used(std::size_t{ 1 } << 24);
    std::size_t added = 0;
    while (added < aBlocks) {
      // One block in eight is wider and holds others.
      const unsigned length = random() % 8 == 0 ? 16 + random() % 8 : 24;
      const auto address = static_cast<std::uint32_t>(random()) & (~0U << (32 - length));
      const std::size_t slot = (address >> 8) | (length - 16);
      if (used[slot]) {
        continue;
      }
      used[slot] = true;
      AddBlock(address, length, random() % kSites, aChange);
      ++added;
    }
  }

  static void AddBlock(std::uint32_t aAddress,
                       unsigned aLength,
                       std::size_t aSite,
                       ChangeRecord& aChange)
  {
    std::string address;
    for (int shift = 24; shift >= 0; shift -= 8) {
      address += std::to_string(aAddress >> shift & 0xff);
      address += shift == 0 ? "" : ".";
    }
    const std::string length = std::to_string(aLength);
    Resource* const block = aChange.add_puts();
    block->set_name(address + "_" + length);
    block->mutable_client_block()->set_cidr(address + "/" + length);
    block->mutable_client_block()->set_region("region-" + std::to_string(aSite));
  }

  Configuration configuration;
  std::vector<VmStatus> vms;
};

} // namespace plantainhaven
