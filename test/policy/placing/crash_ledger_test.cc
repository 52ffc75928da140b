#include "plantainhaven/policy/placing/crash_ledger.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BootTime kStart = BootTime(std::chrono::hours(1));

struct Event
{
  enum class Kind
  {
    kCrash,
    kAnswer,
    kOtherAnswer,
  };
  Kind kind = Kind::kCrash;
  std::uint64_t server = 0;
  seconds at{ 0 };
};

TEST_CASE("A request is quarantined after the ends of three servers, unless one has answered it")
{
  using enum Event::Kind;
  struct Case
  {
    const char* name;
    std::vector<Event> events;
    CrashVerdict verdict;
  };
  const Case cases[] = {
    { "nothing", {}, CrashVerdict::kUnsuspected },
    { "one end", { { kCrash, 1 } }, CrashVerdict::kUnsuspected },
    { "two ends", { { kCrash, 1 }, { kCrash, 2 } }, CrashVerdict::kSuspected },
    { "one server three times",
      { { kCrash, 1 }, { kCrash, 1 }, { kCrash, 1 } },
      CrashVerdict::kUnsuspected },
    { "three ends", { { kCrash, 1 }, { kCrash, 2 }, { kCrash, 3 } }, CrashVerdict::kQuarantined },
    { "answered between",
      { { kCrash, 1 }, { kCrash, 2 }, { kAnswer, 0, seconds(1) }, { kCrash, 3, seconds(2) } },
      CrashVerdict::kUnsuspected },
    { "answered at another VM",
      { { kCrash, 1 }, { kCrash, 2 }, { kCrash, 3 }, { kOtherAnswer, 0, seconds(1) } },
      CrashVerdict::kUnsuspected },
    { "forgotten",
      { { kCrash, 1 }, { kCrash, 2 }, { kCrash, 3, seconds(200) } },
      CrashVerdict::kUnsuspected },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    CrashLedger ledger;
    BootTime now = kStart;
    for (const Event& event : entry.events) {
      now = kStart + event.at;
      if (event.kind == kCrash) {
        ledger.OnCrash("r", event.server, now);
      } else if (event.kind == kAnswer) {
        ledger.OnAnswered("r", now);
      } else {
        ledger.Merge({ .request = "r", .answeredAt = now }, now);
      }
    }
    CHECK(ledger.VerdictOn("r", now) == entry.verdict);
    CHECK(ledger.VerdictOn("other", now) == CrashVerdict::kUnsuspected);
  }
}

TEST_CASE("A quarantine ends on trial, and lasts twice as long after each further crash")
{
  CrashLedger ledger;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    ledger.OnCrash("r", server, kStart);
  }
  CHECK(ledger.VerdictOn("r", kStart + seconds(59)) == CrashVerdict::kQuarantined);
  CHECK(ledger.TimeLeft("r", kStart + seconds(59)) == seconds(1));
  CHECK(ledger.VerdictOn("r", kStart + seconds(61)) == CrashVerdict::kSuspected);
  ledger.OnCrash("r", 4, kStart + seconds(61));
  CHECK(ledger.VerdictOn("r", kStart + seconds(180)) == CrashVerdict::kQuarantined);
  CHECK(ledger.VerdictOn("r", kStart + seconds(182)) == CrashVerdict::kSuspected);
  ledger.OnAnswered("r", kStart + seconds(183));
  CHECK(ledger.VerdictOn("r", kStart + seconds(183)) == CrashVerdict::kUnsuspected);
}

TEST_CASE("VMs agree on a request whose crashes each of them saw in part")
{
  std::vector<CrashLedger> vms(4);
  for (std::uint64_t vm = 0; vm < 3; ++vm) {
    vms[vm].OnCrash("r", vm, kStart);
    CHECK(vms[vm].VerdictOn("r", kStart) == CrashVerdict::kUnsuspected);
  }
  const BootTime later = kStart + seconds(1);
  for (std::size_t from = 0; from < 3; ++from) {
    for (const CrashRecord& record : vms[from].NextReport(later)) {
      for (std::size_t to = 0; to < vms.size(); ++to) {
        vms[to].Merge(record, later);
      }
    }
  }
  for (const CrashLedger& vm : vms) {
    CHECK(vm.VerdictOn("r", later) == CrashVerdict::kQuarantined);
  }
  // A VM that has just started learns of it from any other one, and an answer clears it for all.
  CrashLedger started;
  for (const CrashRecord& record : vms[3].NextReport(later + seconds(30))) {
    started.Merge(record, later + seconds(30));
  }
  CHECK(started.VerdictOn("r", later + seconds(30)) == CrashVerdict::kQuarantined);
  started.Clear(later + seconds(31));
  CHECK(started.VerdictOn("r", later + seconds(31)) == CrashVerdict::kUnsuspected);
  for (const CrashRecord& record : started.NextReport(later + seconds(31))) {
    vms[0].Merge(record, later + seconds(31));
  }
  CHECK(vms[0].VerdictOn("r", later + seconds(31)) == CrashVerdict::kUnsuspected);
}

TEST_CASE("A flood of different requests doesn't push out a quarantined one")
{
  CrashLedger ledger;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    ledger.OnCrash("r", server, kStart);
  }
  for (int i = 0; i < 5000; ++i) {
    ledger.OnCrash("flood-" + std::to_string(i), 9, kStart + milliseconds(i));
  }
  CHECK(ledger.Size() == CrashLedger::kMaxRequests);
  CHECK(ledger.VerdictOn("r", kStart + seconds(6)) == CrashVerdict::kQuarantined);
  CHECK(ledger.NextReport(kStart + seconds(6)).size() <=
        CrashLedger::kMaxOwnReported + CrashLedger::kMaxOthersReported);
}

// With 90 VMs, records that each VM passed on at once took the processors of all of them.
TEST_CASE("A VM doesn't pass on the ends of servers that others have told, unless they add up")
{
  CrashLedger ledger;
  for (int i = 0; i < 300; ++i) {
    ledger.Merge({ .request = std::to_string(i), .crashes = { { 1, kStart } } }, kStart);
  }
  CHECK(ledger.Size() == 300);
  CHECK(ledger.NextReport(kStart).empty());
  CHECK_FALSE(ledger.HasNews());
  for (int i = 0; i < 300; ++i) {
    ledger.Merge({ .request = std::to_string(i), .crashes = { { 2, kStart } } }, kStart);
  }
  CHECK(ledger.NextReport(kStart).size() == CrashLedger::kMaxOthersReported);
  CHECK_FALSE(ledger.HasNews());
  ledger.OnCrash("own", 3, kStart);
  CHECK(ledger.NextReport(kStart).front().request == "own");
}

// Servers end at random under many requests; some of the requests are repeated until they are
// served.
TEST_CASE("Requests that happen to run on servers that end aren't quarantined")
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    CrashLedger ledger;
    std::bernoulli_distribution ends(0.05);
    int refused = 0;
    for (int request = 0; request < 4000; ++request) {
      const BootTime now = kStart + milliseconds(request * 10);
      // A tenth of the requests are the same one.
      const std::string digest = request % 10 == 0 ? "common" : std::to_string(request);
      for (int attempt = 0; attempt < 4; ++attempt) {
        refused += ledger.VerdictOn(digest, now) == CrashVerdict::kQuarantined ? 1 : 0;
        if (!ends(random)) {
          ledger.OnAnswered(digest, now);
          break;
        }
        ledger.OnCrash(digest, random(), now);
      }
    }
    CHECK(refused <= 2);
  }
}

} // namespace
} // namespace plantainhaven::placing
