// What the fresh view costs one VM for each second: CPU, messages and bytes, by the
// number of members and by role. Figures are for an idle configuration with the table up.

#include "plantainhaven/policy/view/fleet_view.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <ctime>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace plantainhaven {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kDomains = 23;
constexpr Nanoseconds kTick = 10ms;
constexpr Nanoseconds kTableRead = 500ms;

Nanoseconds
ThreadTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + Nanoseconds(time.tv_nsec);
}

struct Traffic
{
  Nanoseconds cpu{ 0 };
  std::size_t messages = 0;
  std::size_t bytes = 0;
};

// A fleet whose messages arrive at once. One VM's work and traffic are measured.
class Fleet
{
public:
  Fleet(std::size_t aMembers, bool aMeasureVoter)
  {
    std::vector<FleetMember> members;
    for (std::size_t i = 0; i < aMembers; ++i) {
      const std::string name = "vm-" + std::to_string(i);
      const std::string domain = "domain-" + std::to_string(i % kDomains);
      members.push_back({ name, "tcp://10.0.0.1:" + std::to_string(20000 + i), domain, 1, false });
    }
    this->voters = VotersOf(members);
    for (const FleetMember& member : members) {
      if (IsVoter(member.name) == aMeasureVoter) {
        this->measured = member.endpoint;
      }
      FleetViewOptions options;
      options.self = member.name;
      options.endpoint = member.endpoint;
      options.incarnation = 1;
      auto view = std::make_unique<FleetView>(options, this->now);
      view->OnBase(1, members, this->now);
      view->OnTableHead(1, this->now, this->now);
      this->views[member.endpoint] = { member.name, std::move(view) };
    }
  }

  Traffic RunOneSecond()
  {
    this->traffic = {};
    for (const BootTime end = this->now + 1s; this->now < end; this->now += kTick) {
      for (auto& [endpoint, vm] : this->views) {
        const bool readsTable = this->now.time_since_epoch() % kTableRead == 0ns;
        if (readsTable && IsVoter(vm.name)) {
          vm.view->OnTableHead(1, this->now, this->now);
        }
        FleetView& view = *vm.view;
        Send(endpoint, Measure(endpoint, [&] { return view.OnTick(this->now); }));
      }
    }
    return this->traffic;
  }

private:
  struct Vm
  {
    std::string name;
    std::unique_ptr<FleetView> view;
  };

  bool IsVoter(const std::string& aName) const
  {
    return std::binary_search(this->voters.begin(), this->voters.end(), aName);
  }

  template<typename Call>
  std::vector<OutgoingEnvelope> Measure(const std::string& aEndpoint, Call aCall)
  {
    if (aEndpoint != this->measured) {
      return aCall();
    }
    const Nanoseconds begin = ThreadTime();
    std::vector<OutgoingEnvelope> outgoing = aCall();
    this->traffic.cpu += ThreadTime() - begin;
    return outgoing;
  }

  void Send(const std::string& aFrom, const std::vector<OutgoingEnvelope>& aMessages)
  {
    for (const OutgoingEnvelope& outgoing : aMessages) {
      if (aFrom == this->measured || outgoing.endpoint == this->measured) {
        this->traffic.messages += 1;
        this->traffic.bytes += outgoing.message.ByteSizeLong();
      }
      FleetView& view = *this->views.at(outgoing.endpoint).view;
      Send(outgoing.endpoint,
           Measure(outgoing.endpoint, [&] { return view.OnMessage(outgoing.message, this->now); }));
    }
  }

  BootTime now{ 1000s };
  std::map<std::string, Vm> views;
  std::vector<std::string> voters;
  std::string measured;
  Traffic traffic;
};

// Arguments: members; 1 to measure a voter, 0 another VM.
void
FleetViewSecond(benchmark::State& aState)
{
  Fleet fleet(static_cast<std::size_t>(aState.range(0)), aState.range(1) == 1);
  fleet.RunOneSecond();
  Traffic total;
  for (auto iteration : aState) {
    const Traffic traffic = fleet.RunOneSecond();
    total.messages += traffic.messages;
    total.bytes += traffic.bytes;
    aState.SetIterationTime(std::chrono::duration<double>(traffic.cpu).count());
  }
  const auto average = benchmark::Counter::kAvgIterations;
  aState.counters["messages"] = benchmark::Counter(static_cast<double>(total.messages), average);
  aState.counters["bytes"] = benchmark::Counter(static_cast<double>(total.bytes), average);
}

BENCHMARK(FleetViewSecond)
  ->ArgNames({ "members", "voter" })
  ->Args({ 11, 1 })
  ->Args({ 33, 1 })
  ->Args({ 33, 0 })
  ->Args({ 66, 1 })
  ->Args({ 66, 0 })
  ->Args({ 740, 1 })
  ->Args({ 740, 0 })
  ->Unit(benchmark::kMicrosecond)
  ->Iterations(20)
  ->UseManualTime();

} // namespace

} // namespace plantainhaven
