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

// A VM of a schedule with its own clock: true time, an offset and a rate error.
struct ScheduledVm
{
  std::string name;
  std::uint64_t incarnation = 0;
  std::unique_ptr<FleetView> view;
  Revision applied = 0;
  Nanoseconds offset{ 0 };
  std::int64_t driftPpm = 0;
  bool paused = false;
  int side = 0;
  std::vector<std::function<void(ScheduledVm&)>> inbox;
};

// Runs a few FleetViews against a table and a network that fail at random: loss, delay,
// duplication, reordering, pauses, restarts, outages, splits, writes and changes of the
// member list, several at a time. Everything follows from the seed; time is manual.
class Schedule
{
public:
  using Effect = std::function<void(ScheduledVm&)>;

  explicit Schedule(std::uint64_t aSeed)
    : random(aSeed)
    , vms(static_cast<std::size_t>(3 + Draw(7)))
    , lists(1)
  {
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
      ScheduledVm& vm = this->vms[i];
      vm.name = std::to_string(i);
      vm.offset = 1s * (1 + Draw(1000));
      vm.driftPpm = Draw(801) - 400;
      if (Chance(700)) {
        this->lists[0].push_back({ vm.name, vm.name, "domain", 0, false });
      }
    }
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
      Start(i);
      At(1ms * Draw(50), [this, i] { Tick(i); });
      At(1ms * Draw(500), [this, i] { ReadTable(i); });
    }
  }

  // Runs until `aUntil`, with new faults on the way when asked; after every event it
  // calls `aCheck` and stops when that answers false.
  void Run(Nanoseconds aUntil, bool aFaults, const std::function<bool()>& aCheck)
  {
    for (; this->now < aUntil; this->now += 10ms) {
      if (aFaults && Chance(60)) {
        Fault();
      }
      while (!this->events.empty() && this->events.begin()->first <= this->now) {
        const auto event = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        event();
        if (!aCheck()) {
          return;
        }
      }
    }
  }

  void Heal()
  {
    this->storeDown = this->storeSlow = this->split = false;
    this->lossPerMille = 0;
    for (ScheduledVm& vm : this->vms) {
      Wake(vm);
    }
  }

  Nanoseconds Now() const { return this->now; }
  Revision Head() const { return this->lists.size() - 1; }
  const std::vector<ScheduledVm>& Vms() const { return this->vms; }
  BootTime ClockOf(const ScheduledVm& aVm) const
  {
    return BootTime(aVm.offset + this->now + this->now / 1000000 * aVm.driftPpm);
  }
  // True time until the VM's clock shows `aTime`.
  Nanoseconds TimeUntil(const ScheduledVm& aVm, BootTime aTime) const
  {
    const Nanoseconds ahead = aTime - ClockOf(aVm);
    return ahead - ahead / 1000000 * aVm.driftPpm;
  }

private:
  int Draw(int aBelow) { return static_cast<int>(this->random() % static_cast<unsigned>(aBelow)); }
  bool Chance(int aPerMille) { return Draw(1000) < aPerMille; }
  Nanoseconds Delay() { return Chance(30) ? 1ms * Draw(4000) : 1ms * (1 + Draw(40)); }
  void At(Nanoseconds aTime, std::function<void()> aEvent)
  {
    this->events.emplace(aTime, std::move(aEvent));
  }
  bool Reaches(const ScheduledVm& aFrom, const ScheduledVm& aTo) const
  {
    return !this->split || aFrom.side == aTo.side;
  }
  bool ReachesStore(const ScheduledVm& aVm) const
  {
    return !this->storeDown && (!this->split || aVm.side == 0);
  }

  // A paused process finds what came meanwhile when it wakes.
  void Deliver(ScheduledVm& aVm, const Effect& aEffect)
  {
    if (aVm.paused) {
      aVm.inbox.push_back(aEffect);
    } else {
      aEffect(aVm);
    }
  }

  // The answer to a call of this process; one that was restarted never gets it.
  void Return(std::size_t aVm, const Effect& aEffect)
  {
    At(this->now + Delay(), [this, aVm, incarnation = this->vms[aVm].incarnation, aEffect] {
      if (this->vms[aVm].incarnation == incarnation) {
        Deliver(this->vms[aVm], aEffect);
      }
    });
  }

  void Transmit(const ScheduledVm& aFrom, ScheduledVm& aTo, const Effect& aEffect)
  {
    const int copies = Chance(this->lossPerMille) ? 0 : Chance(50) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      At(this->now + Delay(), [this, &aFrom, &aTo, aEffect] {
        if (Reaches(aFrom, aTo)) {
          Deliver(aTo, aEffect);
        }
      });
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

  // Starts a new process from a snapshot, which is made of a recent accepted revision.
  void Start(std::size_t aVm)
  {
    ScheduledVm& vm = this->vms[aVm];
    vm.applied = this->accepted - std::min<Revision>(this->accepted, this->random() % 4);
    vm.incarnation += 1;
    vm.paused = false;
    vm.inbox.clear();
    FleetViewOptions options;
    options.self = options.endpoint = vm.name;
    options.incarnation = vm.incarnation;
    vm.view = std::make_unique<FleetView>(options, ClockOf(vm));
    vm.view->OnBase(vm.applied, this->lists[vm.applied], ClockOf(vm));
  }

  void Wake(ScheduledVm& aVm)
  {
    aVm.paused = false;
    for (const Effect& effect : std::exchange(aVm.inbox, {})) {
      effect(aVm);
    }
  }

  void Tick(std::size_t aVm)
  {
    ScheduledVm& vm = this->vms[aVm];
    At(this->now + 50ms, [this, aVm] { Tick(aVm); });
    if (vm.paused) {
      return;
    }
    Send(vm, vm.view->OnTick(ClockOf(vm)));
    this->accepted = std::max(this->accepted, vm.view->AcceptedRevision());
    // Changes come from the table or a peer.
    Revision source = ReachesStore(vm) ? Head() : 0;
    for (const ScheduledVm& peer : this->vms) {
      source = Reaches(vm, peer) && !peer.paused ? std::max(source, peer.applied) : source;
    }
    while (vm.applied < std::min(source, vm.view->KnownHead()) && Chance(500)) {
      vm.applied += 1;
      vm.view->OnApplied(vm.applied, this->lists[vm.applied], ClockOf(vm));
    }
  }

  void ReadTable(std::size_t aVm)
  {
    ScheduledVm& vm = this->vms[aVm];
    At(this->now + 500ms, [this, aVm] { ReadTable(aVm); });
    const Nanoseconds slow = this->storeSlow ? 1ms * Draw(3000) : 0ms;
    At(this->now + Delay() + slow,
       [this, &vm, aVm, askedAt = ClockOf(vm), incarnation = vm.incarnation, lost = vm.paused] {
         if (lost || vm.incarnation != incarnation || !ReachesStore(vm)) {
           return;
         }
         Return(aVm, [this, askedAt, head = Head()](ScheduledVm& aTo) {
           aTo.view->OnTableHead(head, askedAt, ClockOf(aTo));
         });
       });
  }

  void Write(std::size_t aVm)
  {
    if (this->vms[aVm].paused || !ReachesStore(this->vms[aVm])) {
      return;
    }
    this->lists.push_back(NextMembers());
    if (Chance(100)) {
      return; // The answer is lost after the write took effect.
    }
    Return(aVm, [this, revision = Head()](ScheduledVm& aWriter) {
      aWriter.view->OnWritten(revision, ClockOf(aWriter));
      for (ScheduledVm& to : this->vms) {
        Transmit(aWriter, to, [this, revision](ScheduledVm& aTo) {
          aTo.view->OnCommitted(revision, ClockOf(aTo));
        });
      }
    });
  }

  // Half of the writes leave the members alone; others toggle one or draw all anew.
  std::vector<FleetMember> NextMembers()
  {
    const std::vector<FleetMember>& members = this->lists.back();
    const int kind = Draw(10);
    const std::size_t toggled = this->random() % this->vms.size();
    std::vector<FleetMember> next;
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
      const std::string& name = this->vms[i].name;
      const auto isNamed = [&name](const FleetMember& aMember) { return aMember.name == name; };
      const bool listed = std::any_of(members.begin(), members.end(), isNamed);
      if (kind < 8 ? listed != (kind >= 5 && i == toggled) : Chance(600)) {
        next.push_back({ name, name, "domain", 0, false });
      }
    }
    return next.empty() ? members : next;
  }

  void Fault()
  {
    const std::size_t which = this->random() % this->vms.size();
    const std::vector<std::function<void()>> faults = {
      [&] { Write(which); },
      [&] { Write(which); },
      [&] { Start(which); },
      [&] { this->vms[which].paused = true; },
      [&] { Wake(this->vms[which]); },
      [&] { this->storeDown = Chance(700); },
      [&] { this->storeSlow = Chance(500); },
      [&] { this->lossPerMille = Draw(3) * 150; },
      [&] {
        this->split = Chance(600);
        std::for_each(this->vms.begin(), this->vms.end(), [&](auto& aVm) { aVm.side = Draw(2); });
      },
    };
    faults[this->random() % faults.size()]();
  }

  std::mt19937_64 random;
  Nanoseconds now{ 0 };
  std::multimap<Nanoseconds, std::function<void()>> events;
  std::vector<ScheduledVm> vms;
  // Member list of each revision; the last is the table's head.
  std::vector<std::vector<FleetMember>> lists;
  // Highest revision that any VM knew to be accepted.
  Revision accepted = 0;
  bool storeDown = false;
  bool storeSlow = false;
  bool split = false;
  int lossPerMille = 0;
};

} // namespace plantainhaven
