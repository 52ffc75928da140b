#include "platform/platform_subject.h"

#include "platform/json.h"
#include "platform/lagging_vm_list.h"

#include <functional>
#include <thread>

#include "plantainhaven/http/client.h"

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortTimeout{ 150 };
constexpr std::uint32_t kBeyondTimeoutMs = 400;
constexpr milliseconds kPollStep{ 10 };
constexpr int kMostPolls = 1000;

PlatformFault
FaultOf(const char* aJson)
{
  PlatformFault fault;
  REQUIRE(IsOk(ReadJson(aJson, fault)));
  return fault;
}

// True once the condition holds; false when it doesn't for a long time.
bool
Eventually(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < kMostPolls && !aCondition(); ++i) {
    std::this_thread::sleep_for(kPollStep);
  }
  return aCondition();
}

HttpResponse
CallServer(const PlatformSubject& aSubject, const char* aMethod, const char* aTarget)
{
  HttpClientOptions options;
  options.address = "127.0.0.1";
  options.port = aSubject.port;
  HttpConnection connection(options);
  HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  const auto outcome = connection.Exchange(request, PlatformSubject::kLongTimeout);
  REQUIRE(std::holds_alternative<HttpResponse>(outcome));
  return std::get<HttpResponse>(outcome);
}

std::vector<std::string>
NamesOf(const VmListAnswer& aList)
{
  std::vector<std::string> names;
  for (const VmListEntry& vm : aList.vms()) {
    names.push_back(vm.name());
  }
  return names;
}

} // namespace

TEST_CASE("Faults show the kinds of error that the interfaces promise", "[platform]")
{
  struct Case
  {
    SubjectKind subject;
    const char* fault;
    const char* commit;
    // The row right after the fault has ended.
    const char* row;
    const char* read;
    const char* put;
    const char* list;
  };
  const Case cases[] = {
    { SubjectKind::kMemory, "{}", "ok", "new", "ok", "ok", "ok" },
    { SubjectKind::kMemory,
      R"({"down":true})",
      "unavailable",
      "old",
      "unavailable",
      "unavailable",
      "unavailable" },
    { SubjectKind::kMemory,
      R"({"silent":true})",
      "unknown",
      "old",
      "timeout",
      "timeout",
      "timeout" },
    { SubjectKind::kMemory, R"({"lose_commit_answers":1})", "unknown", "new", "ok", "ok", "ok" },
    { SubjectKind::kMemory, R"({"delay_commits":1})", "unknown", "old", "ok", "ok", "ok" },
    { SubjectKind::kHttp, "{}", "ok", "new", "ok", "ok", "ok" },
    { SubjectKind::kHttp,
      R"({"down":true})",
      "unavailable",
      "old",
      "unavailable",
      "unavailable",
      "unavailable" },
    { SubjectKind::kHttp, R"({"silent":true})", "unknown", "old", "timeout", "unknown", "timeout" },
    { SubjectKind::kHttp, R"({"lose_commit_answers":1})", "unknown", "new", "ok", "ok", "ok" },
    { SubjectKind::kHttp,
      R"({"delay_ms":400})",
      "unknown",
      "new",
      "timeout",
      "unknown",
      "timeout" },
  };
  const Case& item = cases[GENERATE(range(0, 10))];
  CAPTURE(item.fault, static_cast<int>(item.subject));
  PlatformSubject subject(item.subject, kShortTimeout);
  MustPut(subject.Table(), "row", "old");
  subject.memory.SetFault(FaultOf(item.fault));

  CHECK(OutcomeOf(subject.Table().Commit(TransactionBuilder().Put("row", "new"))) == item.commit);
  CHECK(OutcomeOf(subject.Table().Read("row")) == item.read);
  CHECK(OutcomeOf(subject.Table().ReadPrefix("row", "", 1)) == item.read);
  CHECK(OutcomeOf(subject.Objects().Put("object", "bytes")) == item.put);
  CHECK(OutcomeOf(subject.Vms().List()) == item.list);

  subject.memory.SetFault(PlatformFault());
  CHECK(ValueAt(subject.Table(), "row") == item.row);
  CHECK(OutcomeOf(subject.Table().Commit(TransactionBuilder().Put("row", "later"))) == "ok");
}

TEST_CASE("A commit may take effect after its client gave up", "[platform]")
{
  const SubjectKind kind = GENERATE(SubjectKind::kMemory, SubjectKind::kHttp);
  PlatformSubject subject(kind, kShortTimeout);
  MustPut(subject.Table(), "row", "old");
  const std::uint64_t version = MustPut(subject.Table(), "fenced", "old");
  PlatformFault fault;
  fault.set_delay_commits(2);
  fault.set_commit_delay_ms(kBeyondTimeoutMs);
  subject.memory.SetFault(fault);

  CHECK(OutcomeOf(subject.Table().Commit(TransactionBuilder().Put("row", "late"))) == "unknown");
  CHECK(OutcomeOf(subject.Table().Commit(
          TransactionBuilder().If("fenced", version).Put("fenced", "late"))) == "unknown");
  // The client writes on in the meantime. A condition keeps the late one off.
  CHECK(OutcomeOf(subject.Table().Commit(TransactionBuilder().Put("fenced", "new"))) == "ok");
  subject.memory.ReleaseHeldCommits();

  CHECK(Eventually([&] { return ValueAt(subject.Table(), "row") == "late"; }));
  if (kind == SubjectKind::kHttp) {
    CHECK(Eventually([&] { return subject.server->Stats().conflicts() == 1; }));
  }
  CHECK(ValueAt(subject.Table(), "fenced") == "new");
}

TEST_CASE("A platform that can't be reached has surely done nothing", "[platform]")
{
  HttpPlatform platform({ "127.0.0.1", FreePort(), kShortTimeout });
  CHECK(OutcomeOf(platform.Commit(TransactionBuilder().Put("row", "value"))) == "unavailable");
  CHECK(OutcomeOf(platform.Read("row")) == "unavailable");
  CHECK(OutcomeOf(platform.Put("object", "bytes")) == "unavailable");
  CHECK(OutcomeOf(platform.Delete("object")) == "unavailable");
  CHECK(OutcomeOf(platform.List()) == "unavailable");
}

TEST_CASE("Kept connections that died with the platform cost no call", "[platform]")
{
  PlatformSubject subject(SubjectKind::kHttp);
  MustPut(subject.Table(), "row", "before");
  subject.StopServer();
  subject.StartServer();

  SECTION("a write")
  {
    CHECK(OutcomeOf(subject.Table().Commit(TransactionBuilder().Put("row", "after"))) == "ok");
    CHECK(ValueAt(subject.Table(), "row") == "after");
  }
  SECTION("a read")
  {
    CHECK(ValueAt(subject.Table(), "row") == "before");
  }
}

TEST_CASE("Faults leave the stand-in's own calls alone", "[platform]")
{
  const char* faultJson = GENERATE(R"({"down":true})", R"({"silent":true})");
  CAPTURE(faultJson);
  PlatformSubject subject(SubjectKind::kHttp, kShortTimeout);
  MustPut(subject.Table(), "row", "value");
  subject.memory.SetFault(FaultOf(faultJson));
  CHECK(!IsOk(subject.Table().Read("row")));

  CHECK(CallServer(subject, "GET", "/fault").status == 200);
  CHECK(CallServer(subject, "PUT", "/vms/vm-9").status == 400);
  StandinStats stats;
  REQUIRE(IsOk(ReadJson(CallServer(subject, "GET", "/stats").body, stats)));
  CHECK(stats.commits() == 1);
  CHECK(stats.faulted() == 1);
  CHECK(stats.bytes_received() > 0);
  REQUIRE(IsOk(ReadJson(CallServer(subject, "DELETE", "/stats").body, stats)));
  CHECK(subject.server->Stats().commits() == 0);
}

TEST_CASE("The VM list lags by the set time", "[platform]")
{
  const auto at = [](int aSeconds) { return BootTime(std::chrono::seconds(aSeconds)); };
  VmListEntry first;
  first.set_name("first");
  VmListEntry second;
  second.set_name("second");
  LaggingVmList list;
  list.SetLag(std::chrono::seconds(10));
  list.Set(first, at(100));
  list.Set(second, at(105));
  list.Remove("first", at(120));

  struct Case
  {
    int second;
    std::vector<std::string> names;
  };
  const Case cases[] = {
    { 109, {} },
    { 110, { "first" } },
    { 115, { "first", "second" } },
    { 129, { "first", "second" } },
    { 130, { "second" } },
  };
  for (const Case& item : cases) {
    CAPTURE(item.second);
    CHECK(NamesOf(list.At(at(item.second))) == item.names);
  }
}

} // namespace plantainhaven
