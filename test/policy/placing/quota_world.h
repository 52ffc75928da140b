#pragma once

#include "plantainhaven/policy/placing/quota_ownership.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace plantainhaven::placing {

using std::chrono::milliseconds;

// The store's rows that concern the quota, with the conditions of its transactions.
class QuotaStore
{
public:
  bool Commit(const QuotaChange& aChange, const std::string& aBy, std::uint64_t aIncarnation)
  {
    for (const auto& [vm, expected] : aChange.conditions) {
      const auto row = this->rows.vms.find(vm);
      if ((row == this->rows.vms.end() ? 0 : row->second.version) != expected) {
        return false;
      }
    }
    if (aChange.assignment && aChange.assignmentVersion != this->rows.assignmentVersion) {
      return false;
    }
    ++this->version;
    if (aChange.assignment) {
      this->rows.assignment = aChange.assignment;
      this->rows.assignmentVersion = this->version;
      this->rows.founding = aChange.founding;
    }
    if (aChange.writesSelf) {
      QuotaVmRow& row = this->rows.vms[aBy];
      row = QuotaVmRow();
      row.version = this->version;
      row.incarnation = aIncarnation;
      row.usesAssignment = true;
    }
    for (const std::string& vm : aChange.heirs) {
      this->rows.vms[vm].version = this->version;
    }
    for (const std::string& vm : aChange.suspects) {
      this->rows.vms[vm].version = this->version;
      this->rows.vms[vm].isSuspected = true;
    }
    for (const std::string& vm : aChange.removals) {
      this->rows.vms.erase(vm);
    }
    return true;
  }

  // Puts the era in which the writer believed into what it has just written.
  void SetEra(const QuotaChange& aChange, const std::string& aBy, std::uint64_t aEra)
  {
    if (aChange.assignment) {
      this->rows.assignmentEra = aEra;
    }
    if (aChange.writesSelf) {
      this->rows.vms[aBy].era = aEra;
    }
  }

  void Keep(BootTime aNow) { this->copies.emplace_back(aNow, this->rows, this->version); }

  void RewindTo(BootTime aTime)
  {
    const auto copy =
      std::find_if(this->copies.rbegin(), this->copies.rend(), [aTime](const auto& aCopy) {
        return std::get<0>(aCopy) <= aTime;
      });
    const std::uint64_t era = this->rows.era + 1;
    this->rows = copy == this->copies.rend() ? QuotaRows() : std::get<1>(*copy);
    this->version = copy == this->copies.rend() ? 0 : std::get<2>(*copy);
    this->rows.era = era;
  }

  const QuotaRows& Rows() const { return this->rows; }
  std::uint64_t Version() const { return this->version; }
  void SetFirstEra() { this->rows.era = 1; }
  // A VM whose build knows no assignment writes its row.
  void PutUnleased(const std::string& aVm, const QuotaRange& aRange)
  {
    QuotaVmRow& row = this->rows.vms[aVm];
    row = QuotaVmRow();
    row.version = ++this->version;
    row.era = this->rows.era;
    row.range = aRange;
  }

private:
  QuotaRows rows;
  std::uint64_t version = 0;
  std::deque<std::tuple<BootTime, QuotaRows, std::uint64_t>> copies;
};

// VMs that share a store and hear one another, in steps of simulated time. After each step no unit
// may be granted by two VMs.
class QuotaWorld
{
public:
  static constexpr milliseconds kStep{ 250 };

  explicit QuotaWorld(std::uint64_t aSeed)
    : random(aSeed)
  {
    this->store.SetFirstEra();
  }

  void Start(const std::string& aName)
  {
    Vm& vm = this->vms[aName];
    vm = Vm();
    vm.incarnation = ++this->incarnations;
    vm.ownership = std::make_unique<QuotaOwnership>(aName, vm.incarnation);
    vm.startedAt = this->now;
  }
  void Kill(const std::string& aName) { this->vms[aName].ownership.reset(); }
  // Sends SIGTERM: the VM ends when it has handed over, or after the given time.
  void Stop(const std::string& aName, milliseconds aAtMost)
  {
    Vm& vm = this->vms[aName];
    if (vm.ownership != nullptr && !vm.endsAt) {
      vm.ownership->BeginStop();
      vm.endsAt = this->now + aAtMost;
    }
  }
  void Sleep(const std::string& aName, milliseconds aTime)
  {
    this->vms[aName].sleepsUntil = this->now + aTime;
  }
  // Cuts the VM off from the store, from the other VMs, or from both.
  void CutFromStore(const std::string& aName, milliseconds aTime)
  {
    this->vms[aName].hasStoreFrom = this->now + aTime;
  }
  void CutFromVms(const std::string& aName, milliseconds aTime)
  {
    this->vms[aName].hasPeersFrom = this->now + aTime;
  }
  void StopStore(milliseconds aTime) { this->hasStoreFrom = this->now + aTime; }
  void LoseAnswers(milliseconds aTime) { this->losesUntil = this->now + aTime; }
  void DelayWrites(milliseconds aTime) { this->delaysUntil = this->now + aTime; }
  void Rewind(milliseconds aAge) { this->store.RewindTo(this->now - aAge); }

  bool IsRunning(const std::string& aName) const
  {
    const auto found = this->vms.find(aName);
    return found != this->vms.end() && found->second.ownership != nullptr;
  }

  // Returns false as soon as two VMs grant the same unit.
  bool RunFor(milliseconds aTime)
  {
    const BootTime until = this->now + aTime;
    while (this->now < until) {
      this->now += kStep;
      this->store.Keep(this->now);
      this->ApplyLateWrites();
      for (auto& [name, vm] : this->vms) {
        this->StepVm(name, vm);
      }
      if (!this->IsDisjoint()) {
        return false;
      }
    }
    return true;
  }

  // Ranges that a VM grants now; empty if it is asleep.
  QuotaRanges GrantedBy(const std::string& aName) const
  {
    const auto found = this->vms.find(aName);
    if (found == this->vms.end() || !this->IsAwake(found->second)) {
      return {};
    }
    const QuotaGrant grant = found->second.ownership->Grant(this->now);
    return this->now < grant.validUntil ? grant.ranges : QuotaRanges();
  }
  // Length of the ring whose units some VM grants.
  std::uint32_t GrantedLength() const
  {
    QuotaRanges all;
    for (const auto& [name, vm] : this->vms) {
      const QuotaRanges ranges = this->GrantedBy(name);
      all.insert(all.end(), ranges.begin(), ranges.end());
    }
    return TotalLength(Merged(std::move(all)));
  }
  QuotaStore& Store() { return this->store; }
  BootTime Now() const { return this->now; }
  // What the VMs did, for a failed check.
  std::string Text() const
  {
    std::string text = this->log;
    for (const auto& [name, vm] : this->vms) {
      text += name + " grants";
      for (const QuotaRange& range : this->GrantedBy(name)) {
        text += " " + std::to_string(range.begin) + "-" + std::to_string(range.end);
      }
      text += "\n";
    }
    return text;
  }
  void Note(const std::string& aText)
  {
    this->log += std::to_string(ToMs(this->now)) + " " + aText + "\n";
  }

private:
  static constexpr milliseconds kHeardFor{ 1800 };
  static constexpr milliseconds kSettleTime{ 2000 };

  struct Vm
  {
    std::unique_ptr<QuotaOwnership> ownership;
    std::uint64_t incarnation = 0;
    BootTime startedAt{};
    BootTime sleepsUntil{};
    BootTime hasStoreFrom{};
    BootTime hasPeersFrom{};
    std::optional<BootTime> endsAt;
    // The last report of each other VM, when it came, and since when the VM is known.
    std::map<std::string, QuotaPeer> heard;
    std::map<std::string, BootTime> knownAt;
    BootTime pausedUntil{};
  };
  struct LateWrite
  {
    QuotaChange change;
    std::string by;
    std::uint64_t incarnation = 0;
    std::uint64_t era = 0;
    BootTime at{};
  };

  static std::int64_t ToMs(BootTime aTime)
  {
    return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch()).count();
  }
  bool IsAwake(const Vm& aVm) const
  {
    return aVm.ownership != nullptr && this->now >= aVm.sleepsUntil;
  }
  bool ReachesStore(const Vm& aVm) const
  {
    return this->now >= this->hasStoreFrom && this->now >= aVm.hasStoreFrom;
  }

  void ApplyLateWrites()
  {
    std::erase_if(this->lateWrites, [this](const LateWrite& aWrite) {
      if (aWrite.at > this->now) {
        return false;
      }
      if (this->store.Commit(aWrite.change, aWrite.by, aWrite.incarnation)) {
        this->store.SetEra(aWrite.change, aWrite.by, aWrite.era);
        this->Note(aWrite.by + " late " + ToString(aWrite.change.kind));
      }
      return true;
    });
  }

  // The other VMs as this one knows them.
  std::vector<QuotaPeer> PeersOf(const std::string& aName, Vm& aVm)
  {
    for (const auto& [name, other] : this->vms) {
      const bool isLinked = this->now >= other.hasPeersFrom && this->now >= aVm.hasPeersFrom;
      if (name == aName || !this->IsAwake(other) || !isLinked) {
        continue;
      }
      QuotaPeer& peer = aVm.heard[name];
      const auto back = other.heard.find(aName);
      peer = this->ReportOf(name, other);
      peer.heardAt = this->now;
      peer.hearsSelf = back != other.heard.end() && this->now - back->second.heardAt < kHeardFor;
    }
    for (const auto& [name, row] : this->store.Rows().vms) {
      if (name != aName && !aVm.heard.contains(name) && this->ReachesStore(aVm)) {
        aVm.heard[name].name = name;
        aVm.heard[name].heardAt = this->now;
        aVm.heard[name].usesAssignment = row.usesAssignment;
      }
    }
    std::vector<QuotaPeer> peers;
    for (auto& [name, peer] : aVm.heard) {
      peer.isAlive = peer.era != 0 && this->now - peer.heardAt < kHeardFor;
      peers.push_back(peer);
    }
    return peers;
  }

  QuotaPeer ReportOf(const std::string& aName, const Vm& aVm) const
  {
    QuotaPeer report;
    report.name = aName;
    report.usesAssignment = true;
    report.isHeir = aVm.ownership->IsRegistered() && !aVm.endsAt;
    report.isSettled = this->now - aVm.startedAt >= kSettleTime;
    report.era = aVm.ownership->Era();
    report.granted = this->GrantedBy(aName);
    for (const auto& [name, peer] : aVm.heard) {
      const auto silence = this->now - peer.heardAt;
      if (silence >= QuotaOwnership::kMissedAfter && this->store.Rows().vms.contains(name)) {
        report.missedVms.push_back(name);
      }
      const bool isMissed =
        std::any_of(aVm.heard.begin(), aVm.heard.end(), [&name = name](const auto& aEntry) {
          const auto& missed = aEntry.second.missedVms;
          return std::find(missed.begin(), missed.end(), name) != missed.end();
        });
      if (isMissed && peer.isAlive) {
        report.heardVms.push_back(name);
      }
    }
    return report;
  }

  void StepVm(const std::string& aName, Vm& aVm)
  {
    if (!this->IsAwake(aVm)) {
      return;
    }
    if (aVm.endsAt && (this->now >= *aVm.endsAt || aVm.ownership->IsHandedOver())) {
      this->Note(aName + (aVm.ownership->IsHandedOver() ? " ends" : " is ended"));
      aVm.ownership.reset();
      return;
    }
    QuotaOwnership& ownership = *aVm.ownership;
    ownership.OnPeers(this->PeersOf(aName, aVm), this->now);
    for (const auto& [name, peer] : aVm.heard) {
      if (peer.isAlive) {
        ownership.OnEra(peer.era, this->now);
      }
    }
    if (this->now < aVm.pausedUntil || !this->ReachesStore(aVm)) {
      return;
    }
    if (ownership.NeedsRead(this->now)) {
      ownership.OnRead(this->store.Rows(), this->now, this->now);
    }
    const auto change = ownership.NextChange(this->now);
    if (change) {
      this->Write(aName, aVm, *change);
    }
  }

  void Write(const std::string& aName, Vm& aVm, const QuotaChange& aChange)
  {
    QuotaOwnership& ownership = *aVm.ownership;
    const std::uint64_t era = ownership.Era();
    if (this->now < this->delaysUntil && this->random() % 2 == 0) {
      const milliseconds delay(1000 + this->random() % 5000);
      this->lateWrites.push_back({ aChange, aName, aVm.incarnation, era, this->now + delay });
      ownership.OnWritten(aChange, QuotaWriteResult::kUnknown, 0, this->now, this->now);
      this->Note(aName + " delayed " + ToString(aChange.kind));
      return;
    }
    const bool isDone = this->store.Commit(aChange, aName, aVm.incarnation);
    if (isDone) {
      this->store.SetEra(aChange, aName, era);
    }
    const bool isLost = this->now < this->losesUntil && this->random() % 2 == 0;
    const QuotaWriteResult result = isLost   ? QuotaWriteResult::kUnknown
                                    : isDone ? QuotaWriteResult::kDone
                                             : QuotaWriteResult::kConflict;
    this->Note(aName + " " + ToString(aChange.kind) + (isDone ? " done" : " conflict") +
               (isLost ? ", answer lost" : ""));
    ownership.OnWritten(aChange, result, this->store.Version(), this->now, this->now);
    if (!isDone) {
      aVm.pausedUntil = this->now + milliseconds(250 + this->random() % 500);
    }
    for (const std::string& vm : aChange.heirs) {
      const auto found = this->vms.find(vm);
      if (isDone && !isLost && found != this->vms.end() && this->IsAwake(found->second) &&
          this->random() % 4 != 0) {
        found->second.ownership->RequestRead();
      }
    }
  }

  bool IsDisjoint() const
  {
    std::uint32_t sum = 0;
    for (const auto& [name, vm] : this->vms) {
      sum += TotalLength(this->GrantedBy(name));
    }
    return sum == this->GrantedLength();
  }

  std::mt19937_64 random;
  BootTime now{ std::chrono::hours(1) };
  QuotaStore store;
  std::map<std::string, Vm> vms;
  std::vector<LateWrite> lateWrites;
  std::uint64_t incarnations = 0;
  BootTime hasStoreFrom{};
  BootTime losesUntil{};
  BootTime delaysUntil{};
  std::string log;
};

} // namespace plantainhaven::placing
