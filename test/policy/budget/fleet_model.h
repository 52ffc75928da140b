#pragma once

#include "plantainhaven/policy/budget/ledger.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace plantainhaven {

// The faults and delays of the simulated network.
struct NetworkFaults
{
  double loss = 0;
  double duplication = 0;
  std::chrono::nanoseconds shortestDelay{ std::chrono::milliseconds(1) };
  std::chrono::nanoseconds longestDelay{ std::chrono::milliseconds(1) };
};

// The part of a configuration revision that a budget depends on.
struct ModelRevision
{
  BudgetSpec spec;
  BudgetMembers members;
  // When the revision was accepted; the largest time until then.
  BootTime acceptedAt = BootTime::max();
};

struct ModelVm
{
  std::string name;
  std::unique_ptr<Ledger> ledger;
  bool alive = true;
  BootTime pausedUntil{};
  // The clocks of the VMs have different origins.
  std::chrono::nanoseconds clockOffset{ 0 };
  std::uint64_t applied = 0;
  BootTime appliesNextAt{};
  BootTime knowsAcceptedAt{};
  // When each use of a slot ends.
  std::vector<BootTime> uses;
};

// Simulates a few VMs that share one budget, with a manual clock and a faulty network. A
// VM that hasn't applied a revision is stale once that revision has been accepted for T
// (LedgerOptions::freshness).
class FleetModel
{
public:
  FleetModel(LedgerOptions aOptions, NetworkFaults aFaults, std::uint64_t aSeed)
    : options(aOptions)
    , faults(aFaults)
    , random(aSeed)
  {
  }

  void AddRevision(const BudgetSpec& aSpec, const std::vector<std::string>& aMembers)
  {
    auto list = std::make_shared<std::vector<BudgetMember>>();
    for (const std::string& name : aMembers) {
      list->push_back(BudgetMember{ name, "tcp://" + name, "", 1, false });
    }
    this->revisions.push_back(ModelRevision{ aSpec, list });
    for (auto& [name, vm] : this->vms) {
      // Some VMs apply the revision so late that their configuration becomes stale.
      const std::int64_t longest = this->longestApply.count() * (this->Chance(0.3) ? 5 : 1);
      vm.appliesNextAt = this->now + std::chrono::nanoseconds(this->Pick(0, longest));
    }
  }

  void StartVm(const std::string& aName)
  {
    ModelVm& vm = this->vms[aName];
    const bool restarted = vm.name == aName;
    vm.name = aName;
    vm.alive = true;
    vm.applied = 0;
    vm.appliesNextAt = this->now;
    // A restarted process receives the acceptance times from the controller on its VM.
    if (!restarted) {
      vm.clockOffset = std::chrono::seconds(this->Pick(1, 100'000));
      vm.knowsAcceptedAt = this->now;
    }
    vm.uses.clear();
    LedgerOptions vmOptions = this->options;
    vmOptions.self = aName;
    vmOptions.endpoint = "tcp://" + aName;
    vmOptions.incarnation = ++this->incarnations;
    vm.ledger =
      std::make_unique<Ledger>(this->revisions.back().spec.id, vmOptions, this->LocalTime(vm));
  }

  void Kill(ModelVm& aVm)
  {
    aVm.alive = false;
    aVm.uses.clear();
  }

  // Advances the clock, delivers due messages and runs the due ticks of all running VMs.
  void Step(std::chrono::nanoseconds aStep)
  {
    this->now += aStep;
    for (auto& [name, vm] : this->vms) {
      if (this->Running(vm)) {
        this->Learn(vm);
        this->EndUses(vm);
      }
    }
    this->DeliverDue();
    for (auto& [name, vm] : this->vms) {
      if (this->Running(vm) && vm.ledger->NextTick() <= this->LocalTime(vm)) {
        this->SendAll(vm.ledger->OnTick(this->LocalTime(vm)));
      }
    }
  }

  AcquireResult TryAcquire(ModelVm& aVm,
                           TokenThousandths aAmount,
                           std::chrono::nanoseconds aUse = std::chrono::nanoseconds(0),
                           Attempt aAttempt = Attempt::kFirst)
  {
    const AcquireResult result = aVm.ledger->TryAcquire(aAmount, this->LocalTime(aVm), aAttempt);
    if (result.Acquired() && aUse.count() > 0) {
      aVm.uses.push_back(this->now + aUse);
    }
    return result;
  }

  // The slots in use on all VMs; a use ends at its deadline even on a paused VM.
  std::int64_t InUse() const
  {
    std::int64_t sum = 0;
    for (const auto& [name, vm] : this->vms) {
      sum += std::count_if(
        vm.uses.begin(), vm.uses.end(), [&](BootTime aEnd) { return aEnd > this->now; });
    }
    return sum;
  }

  // The oldest revision whose limits a VM may still apply: the newest one that has been
  // accepted for so long that every VM which still admits requests has applied it. Later
  // revisions may be in effect too.
  std::size_t OldestInForce(std::chrono::nanoseconds aLongestUse) const
  {
    const std::chrono::nanoseconds wait = this->options.freshness + aLongestUse;
    std::size_t oldest = 0;
    for (std::size_t i = 1; i < this->revisions.size(); ++i) {
      if (this->revisions[i].acceptedAt <= this->now - wait) {
        oldest = i;
      }
    }
    return oldest;
  }

  bool Running(const ModelVm& aVm) const { return aVm.alive && aVm.pausedUntil <= this->now; }
  BootTime LocalTime(const ModelVm& aVm) const { return this->now + aVm.clockOffset; }
  std::int64_t Pick(std::int64_t aLow, std::int64_t aHigh)
  {
    return std::uniform_int_distribution<std::int64_t>(aLow, aHigh)(this->random);
  }
  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < aProbability;
  }

  LedgerOptions options;
  NetworkFaults faults;
  std::mt19937_64 random;
  BootTime now{ std::chrono::hours(1) };
  std::vector<ModelRevision> revisions;
  std::map<std::string, ModelVm> vms;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  // The longest usual time between a new revision and its application on a VM.
  std::chrono::nanoseconds longestApply{ 0 };

private:
  void Learn(ModelVm& aVm)
  {
    const BootTime local = this->LocalTime(aVm);
    while (aVm.applied < this->revisions.size() && aVm.appliesNextAt <= this->now) {
      // A VM that starts applies the newest revision at once, as from a snapshot.
      aVm.applied = aVm.applied == 0 ? this->revisions.size() : aVm.applied + 1;
      const ModelRevision& revision = this->revisions[aVm.applied - 1];
      aVm.ledger->OnConfiguration(aVm.applied, revision.spec, revision.members, local);
    }
    BudgetView view;
    const bool behind = aVm.applied < this->revisions.size();
    const BootTime missed = behind ? this->revisions[aVm.applied].acceptedAt : this->now;
    view.freshUntil = std::min(missed, this->now) + aVm.clockOffset + this->options.freshness;
    for (std::size_t i = 0; i < this->revisions.size(); ++i) {
      if (this->revisions[i].acceptedAt <= this->now) {
        view.acceptedRevision = i + 1;
        view.acceptedAt =
          std::max(this->revisions[i].acceptedAt, aVm.knowsAcceptedAt) + aVm.clockOffset;
      }
    }
    aVm.ledger->OnView(view, local);
  }

  void EndUses(ModelVm& aVm)
  {
    const auto ended = std::erase_if(aVm.uses, [&](BootTime aEnd) { return aEnd <= this->now; });
    aVm.ledger->Release(static_cast<TokenThousandths>(ended) * kOneToken, this->LocalTime(aVm));
  }

  void SendAll(const std::vector<BudgetMessage>& aMessages)
  {
    for (const BudgetMessage& message : aMessages) {
      ++this->messages;
      this->bytes += message.message.ByteSizeLong();
      const int copies = this->Chance(this->faults.duplication) ? 2 : 1;
      for (int i = 0; i < copies && !this->Chance(this->faults.loss); ++i) {
        const std::int64_t delay =
          this->Pick(this->faults.shortestDelay.count(), this->faults.longestDelay.count());
        this->inFlight.emplace(this->now + std::chrono::nanoseconds(delay), message);
      }
    }
  }

  void DeliverDue()
  {
    while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->now) {
      const BudgetMessage message = this->inFlight.begin()->second;
      this->inFlight.erase(this->inFlight.begin());
      const auto found = this->vms.find(message.message.to());
      if (found == this->vms.end() || !found->second.alive) {
        continue;
      }
      ModelVm& vm = found->second;
      if (!this->Running(vm)) {
        // The message stays in the socket buffer of the paused process.
        this->inFlight.emplace(vm.pausedUntil, message);
        continue;
      }
      this->SendAll(vm.ledger->OnMessage(message.message, this->LocalTime(vm)));
    }
  }

  std::multimap<BootTime, BudgetMessage> inFlight;
  std::uint64_t incarnations = 0;
};

} // namespace plantainhaven
