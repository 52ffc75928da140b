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

// What the network does to a message.
struct NetworkFaults
{
  double loss = 0;
  double duplication = 0;
  std::chrono::nanoseconds shortestDelay{ std::chrono::milliseconds(1) };
  std::chrono::nanoseconds longestDelay{ std::chrono::milliseconds(1) };
};

// One revision of the configuration as far as a budget depends on it.
struct ModelRevision
{
  BudgetSpec spec;
  BudgetMembers members;
  // When it was accepted; the largest time while it isn't.
  BootTime acceptedAt = BootTime::max();
};

struct ModelVm
{
  std::string name;
  std::unique_ptr<Ledger> ledger;
  bool alive = true;
  BootTime pausedUntil{};
  // Every VM's clock has its own origin.
  std::chrono::nanoseconds clockOffset{ 0 };
  std::uint64_t applied = 0;
  BootTime appliesNextAt{};
  BootTime knowsAcceptedAt{};
  // When each use of a slot ends.
  std::vector<BootTime> uses;
};

// A few VMs with one budget, a manual clock and a faulty network. Configurations are
// given out under the rule of the fresh view: a VM that hasn't applied a revision is
// stale once it has been accepted for T.
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
      // Now and then a VM lags so far behind that its view goes stale.
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
    // A restarted process learns from its VM what was accepted when.
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

  // Advances the clock and lets every running VM handle what is due.
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

  // What is in use over all VMs; a use ends at its deadline even on a paused VM.
  std::int64_t InUse() const
  {
    std::int64_t sum = 0;
    for (const auto& [name, vm] : this->vms) {
      sum += std::count_if(
        vm.uses.begin(), vm.uses.end(), [&](BootTime aEnd) { return aEnd > this->now; });
    }
    return sum;
  }

  // The newest revision that every VM still admitting has applied: its successors may
  // count too.
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
  // Usual longest time between a revision and its application on a VM.
  std::chrono::nanoseconds longestApply{ 0 };

private:
  void Learn(ModelVm& aVm)
  {
    const BootTime local = this->LocalTime(aVm);
    while (aVm.applied < this->revisions.size() && aVm.appliesNextAt <= this->now) {
      // A VM that starts takes the newest revision at once, as from a snapshot.
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
        // It waits in the paused process's socket.
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
