#include "plantainhaven/policy/view/fleet_view.h"

#include "policy/view/limits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantainhaven {

namespace {

using namespace std::chrono_literals;

constexpr Nanoseconds kFreshness = 3s;
constexpr Nanoseconds kFreshFor = kFreshness - kFreshness / kClockDriftDivisor;

BootTime
At(Nanoseconds aTime)
{
  return BootTime(1000s + aTime);
}

std::vector<FleetMember>
MembersNamed(const std::vector<std::string>& aNames)
{
  std::vector<FleetMember> members;
  members.reserve(aNames.size());
  for (const std::string& name : aNames) {
    members.push_back({ name, name, "domain", 0, false });
  }
  return members;
}

// FleetViews that start at revision 0 and are all members of the fleet.
class Fleet
{
public:
  explicit Fleet(const std::vector<std::string>& aNames)
    : members(MembersNamed(aNames))
  {
    for (const std::string& name : aNames) {
      Start(name, 1, At(0s));
    }
  }

  FleetView& Start(const std::string& aName, std::uint64_t aIncarnation, BootTime aNow)
  {
    FleetViewOptions options;
    options.self = options.endpoint = aName;
    options.incarnation = aIncarnation;
    options.pollInterval = 250ms;
    this->views[aName] = std::make_unique<FleetView>(options, aNow);
    this->views[aName]->OnBase(0, this->members, aNow);
    return *this->views[aName];
  }

  FleetView& operator[](const std::string& aName) { return *this->views.at(aName); }

  // Passes a table read to every view, so that none is recovering.
  void ReadTable(Revision aHead, BootTime aNow)
  {
    for (auto& [name, view] : this->views) {
      view->OnTableHead(aHead, aNow, aNow);
    }
  }

  // `aFrom` sends its polls. Those to `aReachable` are received and answered immediately, the
  // others are lost.
  void Poll(const std::string& aFrom, const std::vector<std::string>& aReachable, BootTime aNow)
  {
    for (const OutgoingEnvelope& poll : this->views.at(aFrom)->OnTick(aNow)) {
      if (std::find(aReachable.begin(), aReachable.end(), poll.endpoint) == aReachable.end()) {
        continue;
      }
      for (const auto& answer : this->views.at(poll.endpoint)->OnMessage(poll.message, aNow)) {
        this->views.at(aFrom)->OnMessage(answer.message, aNow);
      }
    }
  }

  std::vector<FleetMember> members;

private:
  std::map<std::string, std::unique_ptr<FleetView>> views;
};

TEST_CASE("An answer that doesn't match a pending poll is ignored", "[view]")
{
  struct Case
  {
    const char* name;
    void (*modify)(Envelope&);
    bool isAccepted;
  };
  const auto modification = GENERATE(values<Case>(
    { { "matching answer", [](Envelope&) {}, true },
      { "for another poll", [](Envelope& aM) { aM.set_ask_id(aM.ask_id() + 7); }, false },
      { "from another voter", [](Envelope& aM) { aM.set_from("c"); }, false },
      { "for another VM", [](Envelope& aM) { aM.set_to("c"); }, false },
      { "from an earlier process of the voter",
        [](Envelope& aM) { aM.set_from_incarnation(0); },
        false },
      { "for an earlier process of the poller",
        [](Envelope& aM) { aM.mutable_head_answer()->set_asker_incarnation(0); },
        false },
      { "recovering voter",
        [](Envelope& aM) {
          aM.mutable_head_answer()->set_voting(false);
          aM.mutable_head_answer()->set_has_evidence(false);
        },
        false },
      { "negative age",
        [](Envelope& aM) {
          aM.mutable_head_answer()->set_voting(false);
          aM.mutable_head_answer()->set_evidence_age_us(-1);
        },
        false },
      { "unknown body", [](Envelope& aM) { aM.clear_head_answer(); }, false } }));
  INFO(modification.name);
  Fleet fleet({ "a", "b", "c" });
  fleet.ReadTable(0, At(0s));
  fleet.Poll("a", { "b" }, At(100ms));
  for (const OutgoingEnvelope& poll : fleet["a"].OnTick(At(1s))) {
    if (poll.endpoint == "b") {
      Envelope answer = fleet["b"].OnMessage(poll.message, At(1s)).at(0).message;
      modification.modify(answer);
      fleet["a"].OnMessage(answer, At(1s));
    }
  }
  CHECK((fleet["a"].FreshUntil() == At(1s) + kFreshFor) == modification.isAccepted);
}

TEST_CASE("A VM that is no voter uses the evidence of one voter, minus its age", "[view]")
{
  Fleet fleet({ "a", "b", "c" });
  FleetViewOptions options;
  options.self = options.endpoint = "observer";
  FleetView observer(options, At(0s));
  observer.OnBase(0, fleet.members, At(0s));
  fleet.ReadTable(0, At(0s));
  const std::vector<OutgoingEnvelope> polls = observer.OnTick(At(2s));
  REQUIRE(polls.size() == 1);
  const auto answers = fleet[polls[0].endpoint].OnMessage(polls[0].message, At(2500ms));
  observer.OnMessage(answers.at(0).message, At(2600ms));
  // The poll was sent at 2 s. The voter's own evidence was 2.5 s old by the voter's clock,
  // which may drift.
  const Nanoseconds age = 2502500us + 1us;
  CHECK(observer.FreshUntil() == At(2s) - age + kFreshFor);
}

TEST_CASE("A restarted voter resumes voting after a table read or newer answers of a majority",
          "[view]")
{
  Fleet fleet({ "a", "b", "c" });
  fleet.ReadTable(0, At(0s));
  FleetView& restarted = fleet.Start("a", 2, At(10s));
  SECTION("a table read that was sent before the start is too old")
  {
    restarted.OnTableHead(5, At(9s), At(11s));
    CHECK_FALSE(restarted.IsVoting());
    restarted.OnTableHead(5, At(10s), At(11s));
    CHECK(restarted.IsVoting());
  }
  SECTION("answers of peers suffice after the recovery wait while the store is down")
  {
    fleet.Poll("a", { "b", "c" }, At(10s) + kRecoveryWait - 1ms);
    CHECK_FALSE(restarted.IsVoting());
    fleet.Poll("a", { "b", "c" }, At(11s) + kRecoveryWait);
    CHECK(restarted.IsVoting());
  }
  SECTION("the answer of one peer doesn't suffice")
  {
    fleet.Poll("a", { "b" }, At(20s));
    CHECK_FALSE(restarted.IsVoting());
  }
}

TEST_CASE("An acknowledgement lost in a restart doesn't make a revision accepted", "[view]")
{
  // b acknowledges revision 1 to the writer a, restarts, and receives answers from c, d, e
  // that the head is 0. Then c acknowledges revision 1 too. If the acknowledgement from
  // before the restart still counted, a, b and c would be a majority.
  Fleet fleet({ "a", "b", "c", "d", "e" });
  fleet.ReadTable(0, At(0s));
  fleet["a"].OnLocalWriteCommitted(1, At(10s));
  fleet["a"].OnApplied(1, fleet.members, At(10s));
  fleet["b"].OnCommitted(1, At(10s));
  fleet.Poll("a", { "b" }, At(10s));
  fleet.Start("b", 2, At(10100ms));
  const Nanoseconds later = GENERATE(values<Nanoseconds>({ 200ms, 2700ms }));
  CAPTURE(later.count());
  fleet.Poll("b", { "c", "d", "e" }, At(10s) + later);
  fleet["c"].OnCommitted(1, At(10s) + later);
  fleet.Poll("a", { "c" }, At(10s) + later);
  fleet.Poll("d", { "b", "e" }, At(10500ms) + later);
  const bool dIsFresh = fleet["d"].FreshUntil() == At(10500ms) + later + kFreshFor;
  const bool accepted = fleet["a"].AcceptedRevision() == 1;
  CHECK_FALSE((accepted && dIsFresh));
  CHECK((accepted || dIsFresh));
}

TEST_CASE("Acceptance takes a majority of every voter list since the last accepted revision",
          "[view]")
{
  struct Case
  {
    std::vector<std::string> newList;
    std::vector<std::string> acknowledging;
    std::vector<std::string> missing;
  };
  // The writer a, a member of the old list a, b, c, replaces the list.
  const auto change = GENERATE(values<Case>({
    { { "a", "b", "c" }, { "b" }, {} },
    { { "a", "b", "c" }, {}, { "b", "c" } },
    { { "a" }, {}, { "b", "c" } },
    { { "a" }, { "c" }, {} },
    { { "d", "e" }, { "d", "e" }, { "b", "c" } },
    { { "d", "e" }, { "b", "d" }, { "c", "e" } },
    { { "d", "e" }, { "b", "d", "e" }, {} },
  }));
  CAPTURE(change.newList, change.acknowledging);
  Fleet fleet({ "a", "b", "c" });
  for (const std::string name : { "d", "e" }) {
    fleet.Start(name, 1, At(0s));
  }
  fleet.ReadTable(0, At(0s));
  fleet["a"].OnLocalWriteCommitted(1, At(1s));
  fleet["a"].OnApplied(1, MembersNamed(change.newList), At(1s));
  for (const std::string& name : change.acknowledging) {
    fleet[name].OnCommitted(1, At(1s));
  }
  fleet.Poll("a", change.acknowledging, At(1s));
  CHECK(fleet["a"].AcceptedRevision() == (change.missing.empty() ? 1 : 0));
  CHECK(fleet["a"].MissingVoters(1) == change.missing);
}

TEST_CASE("A member is dead if it is silent and leaving, no longer listed or never listed",
          "[view]")
{
  struct Case
  {
    const char* name;
    std::vector<std::string> firstList;
    std::vector<std::string> secondList;
    bool leaving;
    Nanoseconds silence;
    bool dead;
  };
  const auto row = GENERATE(values<Case>({
    { "listed, possibly paused", { "b" }, { "b" }, false, 100s, false },
    { "listed as leaving", { "b" }, { "b" }, true, 5s, true },
    { "leaving, silent for too short a time", { "b" }, { "b" }, true, 4900ms, false },
    { "no longer listed", { "b" }, {}, false, 5s, true },
    { "never listed, silent for too short a time", {}, {}, false, 59s, false },
    { "never listed", {}, {}, false, 60s, true },
  }));
  INFO(row.name);
  Fleet fleet({ "a", "b" });
  for (const auto* names : { &row.firstList, &row.secondList }) {
    VmListAnswer list;
    list.add_vms()->set_name("a");
    for (const std::string& name : *names) {
      list.add_vms()->set_name(name);
      list.mutable_vms()->rbegin()->set_leaving(row.leaving);
    }
    fleet["a"].OnVmList(list, At(0s));
  }
  for (Nanoseconds time = 0s; time <= row.silence; time += 100ms) {
    fleet["a"].OnTick(At(time));
  }
  const std::vector<std::string> expected =
    row.dead ? std::vector<std::string>{ "b" } : std::vector<std::string>{};
  CHECK(fleet["a"].DeadMembers(At(row.silence)) == expected);
}

TEST_CASE("After a pause of the process, other members aren't considered silent", "[view]")
{
  Fleet fleet({ "a", "b" });
  VmListAnswer list;
  fleet["a"].OnVmList(list, At(0s));
  fleet["a"].OnTick(At(100s));
  CHECK(fleet["a"].DeadMembers(At(100s)).empty());
  CHECK(fleet["a"].EndpointsToReconnect(At(100s)).empty());
}

TEST_CASE("A VM that isn't serving is reported as not fresh in polls and in answers", "[view]")
{
  const bool nonServingPolls = GENERATE(true, false);
  CAPTURE(nonServingPolls);
  Fleet fleet({ "a", "b", "c" });
  fleet.ReadTable(0, At(0s));
  const std::string nonServing = nonServingPolls ? "a" : "b";
  const std::string other = nonServingPolls ? "b" : "a";
  const auto isFresh = [&](BootTime aNow) {
    const std::vector<MemberHealth> members = fleet[other].Members(aNow);
    return std::any_of(members.begin(), members.end(), [&](const MemberHealth& aMember) {
      return aMember.name == nonServing && aMember.fresh;
    });
  };
  fleet[nonServing].SetServing(false);
  fleet.Poll("a", { "b" }, At(100ms));
  CHECK_FALSE(isFresh(At(100ms)));
  fleet[nonServing].SetServing(true);
  fleet.Poll("a", { "b" }, At(1s));
  CHECK(isFresh(At(1s)));
}

TEST_CASE("An unanswered endpoint is returned once per reconnect interval", "[view]")
{
  Fleet fleet({ "a", "b", "c" });
  std::vector<std::string> returned;
  for (Nanoseconds time = 0s; time < 2400ms; time += 50ms) {
    fleet.Poll("a", { "c" }, At(time));
    for (const std::string& endpoint : fleet["a"].EndpointsToReconnect(At(time))) {
      returned.push_back(endpoint);
    }
  }
  CHECK(returned == std::vector<std::string>{ "b", "b" });
}

TEST_CASE("Voters are all members of a small fleet, or one per failure domain of a large one",
          "[view]")
{
  struct Case
  {
    std::size_t members;
    std::size_t domains;
    std::size_t voters;
  };
  const auto row = GENERATE(
    values<Case>({ { 0, 1, 0 }, { 11, 6, 11 }, { 15, 6, 15 }, { 16, 6, 6 }, { 740, 23, 23 } }));
  CAPTURE(row.members);
  std::vector<FleetMember> members;
  for (std::size_t i = 0; i < row.members; ++i) {
    const std::string name = "vm-" + std::to_string(i);
    members.push_back({ name, name, "domain-" + std::to_string(i % row.domains), 0, i % 3 == 0 });
  }
  const std::vector<std::string> voters = VotersOf(members);
  CHECK(voters.size() == row.voters);
  std::reverse(members.begin(), members.end());
  CHECK(VotersOf(members) == voters);
}

} // namespace

} // namespace plantainhaven
