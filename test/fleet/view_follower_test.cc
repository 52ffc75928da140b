#include "plantainhaven/fleet/view_follower.h"

#include <random>

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

constexpr std::uint64_t kControld = 5;

Resource
RegionNamed(const std::string& aName)
{
  Resource region;
  region.set_name(aName);
  region.mutable_region()->add_failure_domains(aName + "-a");
  return region;
}

ChangeRecord
ChangeTo(Revision aRevision)
{
  ChangeRecord change;
  change.set_revision(aRevision);
  *change.add_puts() = RegionNamed("region-" + std::to_string(aRevision));
  return change;
}

// What a controld that has applied `aRevision` answers, without any change.
ViewAnswer
AnswerAt(Revision aRevision, std::chrono::nanoseconds aFreshUntil)
{
  ViewAnswer answer;
  answer.set_vm("vm-a");
  answer.set_controld_incarnation(kControld);
  answer.set_applied_revision(aRevision);
  answer.set_fresh_until_boottime_ns(aFreshUntil.count());
  return answer;
}

ViewAnswer
WithChanges(ViewAnswer aAnswer, Revision aFirst, Revision aLast)
{
  for (Revision revision = aFirst; revision <= aLast; ++revision) {
    *aAnswer.add_changes() = ChangeTo(revision);
  }
  return aAnswer;
}

ViewAnswer
WithWhole(ViewAnswer aAnswer, Revision aRevision)
{
  aAnswer.set_whole(true);
  aAnswer.set_whole_revision(aRevision);
  SnapshotChunk* const chunk = aAnswer.add_chunks();
  for (Revision revision = 1; revision <= aRevision; ++revision) {
    Resource* const resource = chunk->add_resources();
    *resource = ChangeTo(revision).puts(0);
    resource->set_version(revision);
  }
  return aAnswer;
}

BootTime
At(std::chrono::nanoseconds aTime)
{
  return BootTime(aTime);
}

} // namespace

TEST_CASE("ViewFollower takes each kind of answer")
{
  using namespace std::chrono_literals;
  // The follower has applied revision 3, fresh until 10 s.
  struct Case
  {
    const char* what;
    ViewAnswer answer;
    Revision revision;
    std::chrono::seconds freshUntil;
    bool configuration;
    bool whole;
    bool failed;
    Revision nextAsk;
  };
  ViewAnswer unusableChunk = WithWhole(AnswerAt(6, 20s), 6);
  *unusableChunk.mutable_chunks(0)->add_resources() = Resource();
  const Case cases[] = {
    { "no change", AnswerAt(3, 20s), 3, 20s, false, false, false, 3 },
    { "next changes", WithChanges(AnswerAt(5, 20s), 4, 5), 5, 20s, true, false, false, 5 },
    { "known and new", WithChanges(AnswerAt(5, 20s), 2, 5), 5, 20s, true, false, false, 5 },
    { "duplicate", WithChanges(AnswerAt(3, 20s), 1, 3), 3, 20s, false, false, false, 3 },
    { "late: older freshness", AnswerAt(3, 5s), 3, 10s, false, false, false, 3 },
    { "part of the changes", WithChanges(AnswerAt(9, 20s), 4, 5), 5, 10s, true, false, false, 5 },
    { "gap", WithChanges(AnswerAt(6, 20s), 5, 6), 3, 10s, false, false, true, 0 },
    { "whole ahead", WithWhole(AnswerAt(6, 20s), 6), 6, 20s, true, true, false, 6 },
    { "whole, then changes",
      WithChanges(WithWhole(AnswerAt(8, 20s), 6), 7, 8),
      8,
      20s,
      true,
      true,
      false,
      8 },
    { "whole behind", WithWhole(AnswerAt(2, 20s), 2), 3, 20s, false, false, false, 3 },
    { "whole unusable", unusableChunk, 3, 10s, false, false, true, 0 },
  };
  for (const Case& each : cases) {
    CAPTURE(each.what);
    ViewFollower follower("entry");
    follower.OnAnswer(WithChanges(AnswerAt(3, 10s), 1, 3));
    REQUIRE(follower.Current().AppliedRevision() == 3);
    const ViewChange change = follower.OnAnswer(each.answer);
    CHECK(follower.Current().AppliedRevision() == each.revision);
    CHECK(follower.FreshUntil().time_since_epoch() == each.freshUntil);
    CHECK(change.configurationChanged == each.configuration);
    CHECK(change.configurationReplaced == each.whole);
    CHECK(change.failed == each.failed);
    CHECK(follower.BuildRequest().applied_revision() == each.nextAsk);
    CHECK(follower.Current().Count("region") == each.revision);
  }
}

TEST_CASE("ViewFollower recovers from an unusable answer by a whole configuration")
{
  using namespace std::chrono_literals;
  ViewFollower follower("lookup");
  follower.OnAnswer(WithChanges(AnswerAt(3, 10s), 1, 3));
  REQUIRE(follower.OnAnswer(WithChanges(AnswerAt(6, 20s), 5, 6)).failed);
  // Of the same revision too, since this copy may be the damaged one.
  const ViewChange change = follower.OnAnswer(WithWhole(AnswerAt(3, 30s), 3));
  CHECK(change.configurationReplaced);
  CHECK(follower.FreshUntil().time_since_epoch() == 30s);
  CHECK(follower.BuildRequest().applied_revision() == 3);
}

TEST_CASE("ViewFollower notices a restarted controld and keeps what it knows")
{
  using namespace std::chrono_literals;
  ViewFollower follower("entry");
  ViewAnswer first = WithChanges(AnswerAt(3, 10s), 1, 3);
  first.set_accepted_revision(3);
  first.set_accepted_at_boottime_ns(std::chrono::nanoseconds(2s).count());
  CHECK_FALSE(follower.OnAnswer(first).controldRestarted);
  ViewAnswer restarted = AnswerAt(1, 12s);
  restarted.set_controld_incarnation(kControld + 1);
  restarted.set_leaving(true);
  CHECK(follower.OnAnswer(restarted).controldRestarted);
  CHECK(follower.Current().AppliedRevision() == 3);
  CHECK(follower.BuildRequest().controld_incarnation() == kControld + 1);
  CHECK(follower.AcceptedRevision() == 3);
  CHECK(follower.AcceptedAt() == At(2s));
  CHECK(follower.Leaving());
  CHECK(follower.IsFresh(At(11s)));
  CHECK_FALSE(follower.IsFresh(At(12s)));
}

TEST_CASE("ViewFollower names the kinds that changed")
{
  ViewFollower follower("entry");
  ViewAnswer answer = WithChanges(AnswerAt(2, std::chrono::seconds(1)), 1, 2);
  ResourceId* const removed = answer.mutable_changes(1)->add_deletes();
  removed->set_kind("client_block");
  removed->set_name("10.0.0.0_8");
  CHECK(follower.OnAnswer(answer).changedKinds ==
        std::vector<std::string>{ "client_block", "region" });
}

TEST_CASE("ViewFollower never goes back, whatever order answers come in")
{
  constexpr Revision kLast = 40;
  constexpr int kSeeds = 200;
  for (int seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    ViewFollower follower("lookup");
    Revision before = 0;
    for (int step = 0; step < 100; ++step) {
      const Revision head = 1 + random() % kLast;
      const std::chrono::nanoseconds freshUntil(head);
      const Revision from = 1 + random() % head;
      const ViewAnswer answer = random() % 2 == 0
                                  ? WithWhole(AnswerAt(head, freshUntil), head)
                                  : WithChanges(AnswerAt(head, freshUntil), from, head);
      follower.OnAnswer(answer);
      const Revision now = follower.Current().AppliedRevision();
      REQUIRE(now >= before);
      REQUIRE(follower.Current().Count("region") == now);
      // Evidence of head N is worth N here, so freshness can't exceed the revision.
      REQUIRE(follower.FreshUntil() <= At(std::chrono::nanoseconds(now)));
      before = now;
    }
  }
}

} // namespace plantainhaven
