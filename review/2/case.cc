// At the end of its grace period a VM closes the connections of requests that still wait for a
// server, without an answer. See claim.txt.
#include "../standin/standin.h"

using namespace standin;

namespace {

constexpr long kContactMs = 4000;
constexpr long kGraceMs = 6000;
constexpr long kLossSlackMs = 200;
// Work, deadline, time-out and aim of `lot-history` on glra-collect-grown.
constexpr long kWorkMs = 5600;
constexpr long kDeadlineMs = 30000;
constexpr long kTimeoutMs = 6000;
constexpr long kAimMs = 4000;
constexpr int kServers = 2;
constexpr int kSlots = 2;

std::string
Configuration()
{
  const Json route{ { "name", "lot-history" },
                    { "prefix", "/lots/" },
                    { "route_type", "safe" },
                    { "timeout_ms", kTimeoutMs },
                    { "target_latency_ms", kAimMs },
                    { "priority", 2 },
                    { "service", "audit-vault" },
                    { "max_attempts", 2 },
                    { "public", false },
                    { "session_affinity", false },
                    { "allowed_regions", Json::array() } };
  return Json{
    { "version", 1 },
    { "services",
      { { { "name", "audit-vault" },
          { "health_path", "/health" },
          { "max_connections", 390 },
          { "warmup_s", 0 },
          { "warmup_per_s", 0 } } } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 67108864 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants",
      { { { "name", "academy" },
          { "api_keys", { "key-1" } },
          { "priority", 1 },
          { "rate_per_s", 374 },
          { "burst", 374 },
          { "allowed_regions", Json::array() } } } },
    { "hosts", { { { "host", "site.example" }, { "paths", { route } } } } }
  }.dump();
}

int
Case(int /*aCount*/, char** aArguments)
{
  static Record record(aArguments[3]);
  const char* const setting = std::getenv("TROUBLE");
  const bool hasTrouble = setting == nullptr || std::string(setting) != "0";

  static Store store;
  store.Put("op", "config", Configuration());
  static std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Server>(store,
                                               record,
                                               ServerOptions{ .id = "i-" + std::to_string(i),
                                                              .service = "audit-vault",
                                                              .domain = "north-a",
                                                              .workMs = kWorkMs,
                                                              .slots = kSlots }));
  }
  static std::vector<std::unique_ptr<Vm>> vms;
  for (const char* const name : { "edge-a", "edge-b" }) {
    vms.push_back(std::make_unique<Vm>(store,
                                       aArguments[2],
                                       name,
                                       "north-a",
                                       "north",
                                       "north-a=north",
                                       "contact_ms=4000,grace_s=6,loss_slack_ms=200"));
    vms.back()->Start(aArguments[1]);
  }
  const auto end = [](int aStatus) {
    for (const auto& vm : vms) {
      vm->Kill();
    }
    return aStatus;
  };
  for (const auto& vm : vms) {
    if (!WaitUntil(15000, [&] { return vm->IsReady(); })) {
      record.Line("%s isn't ready: the case can't run", vm->Name().c_str());
      return end(2);
    }
  }
  SleepMs(kContactMs);

  static std::mutex mutex;
  static std::vector<Outcome> outcomes;
  std::vector<std::thread> callers;
  const auto ask = [&callers](const Vm& aVm, bool aIsJudged) {
    callers.emplace_back([&aVm, aIsJudged] {
      const Outcome outcome =
        AskOnce(aVm.Callers(), "GET", "/lots/1", "key-1", kDeadlineMs);
      record.Line("caller: %s to %s, sent at %.3f: %s (%d) after %ld ms",
                  outcome.id.c_str(),
                  aVm.Name().c_str(),
                  outcome.sentMs / 1000.0,
                  outcome.status > 0 ? "answered" : "connection ended without an answer",
                  outcome.status,
                  outcome.tookMs);
      if (aIsJudged) {
        const std::lock_guard guard(mutex);
        outcomes.push_back(outcome);
      }
    });
  };
  const long stoppedAt = NowMs();
  if (hasTrouble) {
    vms[0]->Signal(SIGTERM);
    record.Line("platform: SIGTERM to edge-a, grace 6 s");
  }
  SleepMs(700);
  for (int i = 0; i < kServers * kSlots; ++i) {
    ask(*vms[1], false);
    SleepMs(20);
  }
  SleepMs(stoppedAt + 1000 - NowMs());
  for (int i = 0; i < 6; ++i) {
    ask(*vms[0], true);
    SleepMs(20);
  }
  SleepMs(stoppedAt + 2000 - NowMs());
  for (int i = 0; i < 4; ++i) {
    ask(*vms[0], true);
    SleepMs(20);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int lost = 0;
  int answered = 0;
  for (const Outcome& outcome : outcomes) {
    long beganMs = -1;
    for (const auto& server : servers) {
      for (const Run& run : server->Runs()) {
        beganMs = run.id == outcome.id ? run.startedMs : beganMs;
      }
    }
    const long endedMs = outcome.sentMs + outcome.tookMs;
    const bool wasAtWork = beganMs >= 0 && beganMs < endedMs;
    answered += outcome.status > 0 ? 1 : 0;
    if (outcome.status == 0 && !wasAtWork && outcome.tookMs > kLossSlackMs &&
        outcome.tookMs < kTimeoutMs - 200 && endedMs < stoppedAt + kGraceMs) {
      ++lost;
    }
  }
  record.Line("edge-a: %d of %zu requests sent 1 to 2.1 s after the SIGTERM were answered", answered,
              outcomes.size());
  record.Line("%d were read and ended without an answer before the grace period, the time-out and "
              "the deadline, while no server was at work on them: LOST %s",
              lost,
              lost > 0 ? "is broken" : "held");
  return end(outcomes.size() == 10 ? (lost > 0 ? 1 : 0) : 2);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(Case, aCount, aArguments);
}
