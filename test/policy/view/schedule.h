#pragma once

#include "plantainhaven/policy/view/fleet_view.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace plantainhaven {

using namespace std::chrono_literals;

// A simulated VM. Its clock is the simulated time plus an offset and a rate error.
struct ScheduledVm
{
  std::string name;
  std::uint64_t incarnation = 0;
  std::unique_ptr<FleetView> view;
  Revision applied = 0;
  Nanoseconds offset{ 0 };
  std::int64_t driftPpm = 0;
  Nanoseconds readInterval{ 0 };
  bool listed = true;
  bool paused = false;
  int partition = 0;
  std::vector<std::function<void(ScheduledVm&)>> inbox;
};

// Simulates a few FleetViews with a table and a network under random faults: message loss,
// delay, duplication and reordering, pauses, restarts, store outages and network partitions,
// together with writes and changes of the member list. Several may occur at a time. The run
// is determined by the seed and uses simulated time.
class Schedule
{
public:
  using Effect = std::function<void(ScheduledVm&)>;

  explicit Schedule(std::uint64_t aSeed)
    : random(aSeed)
    , vms(static_cast<std::size_t>(3 + Draw(7)))
  {
    for (ScheduledVm& vm : this->vms) {
      vm.name = std::to_string(&vm - this->vms.data());
      vm.offset = 1s * (1 + Draw(1000));
      vm.driftPpm = Draw(801) - 400;
      vm.readInterval = Chance(500) ? 500ms : 6s;
    }
    this->memberLists.push_back(NextMembers());
    for (ScheduledVm& vm : this->vms) {
      Start(vm);
      this->events.emplace(1ms * Draw(50), [this, &vm] { Tick(vm); });
      this->events.emplace(1ms * Draw(500), [this, &vm] { ReadTable(vm); });
    }
  }

  // Runs until `aUntil`, injecting new faults if `aFaults`. Calls `aCheck` after every event
  // and stops if it returns false.
  void Run(Nanoseconds aUntil, bool aFaults, const std::function<bool()>& aCheck)
  {
    for (; this->now < aUntil; this->now += 10ms) {
      if (aFaults && Chance(60)) {
        InjectFault();
      }
      while (this->events.begin()->first <= this->now) {
        this->events.extract(this->events.begin()).mapped()();
        if (!aCheck()) {
          return;
        }
      }
    }
  }

  void Heal()
  {
    this->storeDown = false;
    this->storeDelay = 0ms;
    this->lossPerMille = 0;
    for (ScheduledVm& vm : this->vms) {
      vm.readInterval = 500ms;
      vm.partition = 0;
      vm.paused = false;
      ProcessInbox(vm);
    }
  }

  Nanoseconds Now() const { return this->now; }
  Revision Head() const { return this->memberLists.size() - 1; }
  const std::vector<ScheduledVm>& Vms() const { return this->vms; }
  BootTime ClockOf(const ScheduledVm& aVm) const
  {
    return BootTime(aVm.offset + this->now + this->now / 1000000 * aVm.driftPpm);
  }

private:
  int Draw(int aBelow) { return static_cast<int>(this->random() % static_cast<unsigned>(aBelow)); }
  bool Chance(int aPerMille) { return Draw(1000) < aPerMille; }
  Nanoseconds Delay() { return Chance(30) ? 1ms * Draw(4000) : 1ms * (1 + Draw(40)); }
  bool ReachesStore(const ScheduledVm& aVm) const { return !this->storeDown && aVm.partition == 0; }

  // Delivers `aEffect` after a delay, unless `aIsDelivered` returns false at that time. A
  // paused process handles what was delivered once it resumes.
  void Deliver(ScheduledVm& aVm, std::function<bool()> aIsDelivered, Effect aEffect)
  {
    this->events.emplace(this->now + Delay(), [this, &aVm, aIsDelivered, aEffect] {
      if (aIsDelivered()) {
        aVm.inbox.push_back(aEffect);
        ProcessInbox(aVm);
      }
    });
  }

  void Transmit(const ScheduledVm& aFrom, ScheduledVm& aTo, const Effect& aEffect)
  {
    const int copies = Chance(this->lossPerMille) ? 0 : Chance(50) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Deliver(
        aTo, [&aFrom, &aTo] { return aFrom.partition == aTo.partition; }, aEffect);
    }
  }

  // Returns a predicate that holds until the current process is replaced.
  std::function<bool()> SameProcess(const ScheduledVm& aVm)
  {
    return [&aVm, incarnation = aVm.incarnation] { return aVm.incarnation == incarnation; };
  }

  void ProcessInbox(ScheduledVm& aVm)
  {
    for (const Effect& effect : aVm.paused ? std::vector<Effect>() : std::exchange(aVm.inbox, {})) {
      effect(aVm);
    }
  }

  void Send(const ScheduledVm& aFrom, const std::vector<OutgoingEnvelope>& aMessages)
  {
    for (const OutgoingEnvelope& outgoing : aMessages) {
      ScheduledVm& to = this->vms[std::stoul(outgoing.endpoint)];
      Transmit(aFrom, to, [this, message = outgoing.message](ScheduledVm& aVm) {
        Send(aVm, aVm.view->OnMessage(message, ClockOf(aVm)));
      });
    }
  }

  // Starts a new process from a snapshot of a recent accepted revision.
  void Start(ScheduledVm& aVm)
  {
    aVm.applied = this->accepted - std::min<Revision>(this->accepted, this->random() % 4);
    aVm.incarnation += 1;
    aVm.paused = false;
    aVm.inbox.clear();
    FleetViewOptions options;
    options.self = options.endpoint = aVm.name;
    options.incarnation = aVm.incarnation;
    aVm.view = std::make_unique<FleetView>(options, ClockOf(aVm));
    aVm.view->OnBase(aVm.applied, this->memberLists[aVm.applied], ClockOf(aVm));
  }

  void Tick(ScheduledVm& aVm)
  {
    this->events.emplace(this->now + 50ms, [this, &aVm] { Tick(aVm); });
    if (aVm.paused) {
      return;
    }
    Send(aVm, aVm.view->OnTick(ClockOf(aVm)));
    this->accepted = std::max(this->accepted, aVm.view->AcceptedRevision());
    // Changes are fetched from the table or from a peer.
    Revision source = ReachesStore(aVm) ? Head() : 0;
    for (const ScheduledVm& peer : this->vms) {
      const bool reached = !peer.paused && peer.partition == aVm.partition;
      source = reached ? std::max(source, peer.applied) : source;
    }
    while (aVm.applied < std::min(source, aVm.view->KnownHead()) && Chance(500)) {
      aVm.applied += 1;
      aVm.view->OnApplied(aVm.applied, this->memberLists[aVm.applied], ClockOf(aVm));
    }
  }

  void ReadTable(ScheduledVm& aVm)
  {
    this->events.emplace(this->now + aVm.readInterval, [this, &aVm] { ReadTable(aVm); });
    const Nanoseconds slow = this->storeDelay / 1000 * Draw(1000);
    const auto same = SameProcess(aVm);
    this->events.emplace(this->now + Delay() + slow, [this, &aVm, same, sentAt = ClockOf(aVm)] {
      const auto deliver = [this, sentAt, head = Head()](ScheduledVm& aTo) {
        aTo.view->OnTableHead(head, sentAt, ClockOf(aTo));
      };
      Deliver(
        aVm, ReachesStore(aVm) ? same : [] { return false; }, deliver);
    });
  }

  // With a probability of 10% the response is lost after the write took effect.
  void Write(ScheduledVm& aVm)
  {
    if (aVm.paused || !ReachesStore(aVm)) {
      return;
    }
    this->memberLists.push_back(NextMembers());
    const bool answered = Chance(900);
    Deliver(
      aVm,
      answered ? SameProcess(aVm) : [] { return false; },
      [this, revision = Head()](ScheduledVm& aWriter) {
        aWriter.view->OnLocalWriteCommitted(revision, ClockOf(aWriter));
        for (ScheduledVm& to : this->vms) {
          Transmit(aWriter, to, [this, revision](ScheduledVm& aTo) {
            aTo.view->OnCommitted(revision, ClockOf(aTo));
          });
        }
      });
  }

  // Half of the writes leave the member list unchanged. The others add or remove one member,
  // or draw a new list.
  std::vector<FleetMember> NextMembers()
  {
    const int kind = Draw(10);
    ScheduledVm& toggled = this->vms[this->random() % this->vms.size()];
    toggled.listed = toggled.listed != (kind >= 5 && kind < 8);
    std::vector<FleetMember> next;
    for (ScheduledVm& vm : this->vms) {
      vm.listed = kind < 8 ? vm.listed : Chance(600);
      if (vm.listed) {
        next.push_back({ vm.name, vm.name, "domain", 0, false });
      }
    }
    return next;
  }

  void InjectFault()
  {
    ScheduledVm& vm = this->vms[this->random() % this->vms.size()];
    const std::vector<std::function<void()>> kinds = {
      [&] { Write(vm); },
      [&] { Write(vm); },
      [&] { Start(vm); },
      [&] { vm.paused = !vm.paused; },
      [&] { this->storeDown = Chance(600); },
      [&] { this->storeDelay = 1s * Draw(4); },
      [&] { this->lossPerMille = Draw(3) * 150; },
      [&] { vm.partition = 1 - vm.partition; },
    };
    kinds[this->random() % kinds.size()]();
    ProcessInbox(vm);
  }

  std::mt19937_64 random;
  Nanoseconds now{ 0 };
  std::multimap<Nanoseconds, std::function<void()>> events;
  std::vector<ScheduledVm> vms;
  // Member list of each revision. The last revision is the head of the table.
  std::vector<std::vector<FleetMember>> memberLists;
  // Highest revision that any VM has known to be accepted.
  Revision accepted = 0;
  bool storeDown = false;
  Nanoseconds storeDelay{ 0 };
  int lossPerMille = 0;
};

} // namespace plantainhaven
