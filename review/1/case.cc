// A VM skips a change of the configuration for good, because another VM forwards an old answer of
// the store under a newer version. See claim.txt.
#include "../standin/standin.h"

using namespace standin;

namespace {

constexpr int kVms = 3;
// Bounds of the pages (site glra-collect).
constexpr long kContactMs = 4000;
constexpr long kConfigApplyMs = 2500;
// The longest time for which an answer of the store is held up: 4 ms times 97, the slowest store
// in the site file.
constexpr long kLongestHoldMs = 385;
constexpr long kLastRoundAtMs = 88000;

std::string
Configuration(int aVersion)
{
  const Json route{ { "name", "page" },
                    { "prefix", "/page/" },
                    { "route_type", "safe" },
                    { "timeout_ms", 2000 },
                    { "target_latency_ms", 400 },
                    { "priority", 1 },
                    { "service", "shop" },
                    { "max_attempts", 2 },
                    { "public", false },
                    { "session_affinity", false },
                    { "allowed_regions", Json::array() } };
  return Json{
    { "version", aVersion },
    { "services",
      { { { "name", "shop" },
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
          { "api_keys", { "key-" + std::to_string(aVersion) } },
          { "priority", 1 },
          { "rate_per_s", 374 },
          { "burst", 374 },
          { "allowed_regions", Json::array() } } } },
    { "hosts", { { { "host", "site.example" }, { "paths", { route } } } } }
  }.dump();
}

// The last poll of the table `op` by each VM, as the store sees it.
struct Polls
{
  std::mutex mutex;
  std::map<std::string, StoreCall> last;
  // Polls that haven't been answered yet.
  std::set<std::string> open;
  // The VM whose next answer is held up, and whether it is held now and still.
  std::string heldVm;
  bool isHeld = false;
  long heldSinceMs = 0;
  std::uint64_t heldVersion = 0;
};

int
Case(int /*aCount*/, char** aArguments)
{
  const std::string program = aArguments[1];
  const std::string folder = aArguments[2];
  static Record record(aArguments[3]);
  const char* const setting = std::getenv("TROUBLE");
  const bool hasTrouble = setting == nullptr || std::string(setting) != "0";

  static Store store;
  static Polls polls;
  store.onCall = [](const StoreCall& aCall) {
    if (aCall.path == "/v1/rows-feed" && aCall.table == "op") {
      const std::lock_guard guard(polls.mutex);
      polls.last[aCall.vm] = aCall;
      polls.open.insert(aCall.vm);
    }
  };
  store.beforeFeedAnswer = [](const StoreCall& aCall, std::uint64_t aVersion) {
    if (aCall.table != "op") {
      return;
    }
    std::unique_lock guard(polls.mutex);
    if (polls.heldVm == aCall.vm) {
      polls.heldVm.clear();
      polls.isHeld = true;
      polls.heldSinceMs = NowMs();
      polls.heldVersion = aVersion;
      while (polls.isHeld && NowMs() - polls.heldSinceMs < kLongestHoldMs) {
        guard.unlock();
        SleepMs(1);
        guard.lock();
      }
      polls.isHeld = false;
    }
    polls.open.erase(aCall.vm);
  };

  int version = 1;
  store.Put("op", "config", Configuration(version));
  const std::string domains = "north-a=north,north-b=north";
  static std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Server>(
      store,
      record,
      ServerOptions{ .id = "i-" + std::to_string(i),
                     .service = "shop",
                     .domain = i % 2 == 0 ? "north-a" : "north-b" }));
  }
  std::vector<std::unique_ptr<Vm>> vms;
  for (int i = 0; i < kVms; ++i) {
    vms.push_back(std::make_unique<Vm>(store,
                                       folder,
                                       std::string("edge-") + static_cast<char>('a' + i),
                                       i % 2 == 0 ? "north-a" : "north-b",
                                       "north",
                                       domains,
                                       "contact_ms=4000,config_apply_ms=2500,grace_s=6"));
    vms.back()->Start(program);
  }
  for (const auto& vm : vms) {
    if (!WaitUntil(15000, [&] { return vm->IsReady(); })) {
      record.Line("%s isn't ready: the case can't run", vm->Name().c_str());
      return 2;
    }
  }
  SleepMs(kContactMs);
  const auto key = [](int aVersion) { return "key-" + std::to_string(aVersion); };
  const auto ask = [&](const Vm& aVm, int aKeyOf) {
    const Outcome outcome = AskOnce(aVm.Callers(), "GET", "/page/1", key(aKeyOf), 2000);
    record.Line("caller: %s to %s with %s: status %d, %s",
                outcome.id.c_str(),
                aVm.Name().c_str(),
                key(aKeyOf).c_str(),
                outcome.status,
                outcome.isSigned ? "run by a server" : "not run");
    return outcome;
  };
  for (const auto& vm : vms) {
    if (ask(*vm, version).status != 200) {
      record.Line("no service before the trouble: the case can't run");
      return 2;
    }
  }

  int rounds = 0;
  int skipped = 0;
  while (NowMs() < kLastRoundAtMs) {
    SleepMs(1500);
    // The VM that polls for its region, just as its poll begins.
    std::string poller;
    std::string other;
    WaitUntil(3000, [&] {
      const std::lock_guard guard(polls.mutex);
      for (const auto& [vm, call] : polls.last) {
        if (polls.open.contains(vm) && call.waitMs > 600 && NowMs() - call.startedMs < 40) {
          poller = vm;
          if (hasTrouble) {
            polls.heldVm = vm;
          }
          return true;
        }
      }
      return false;
    });
    if (poller.empty()) {
      ++skipped;
      continue;
    }
    // Its answer is late, so another VM polls for the region.
    const Vm* frozen = nullptr;
    if (hasTrouble) {
      WaitUntil(1100, [&] {
        const std::lock_guard guard(polls.mutex);
        for (const auto& [vm, call] : polls.last) {
          if (vm != poller && polls.open.contains(vm) && call.waitMs > 300) {
            other = vm;
          }
        }
        return !other.empty();
      });
      const std::lock_guard guard(polls.mutex);
      if (other.empty() || !polls.isHeld ||
          NowMs() - polls.heldSinceMs > kLongestHoldMs - 120) {
        polls.heldVm.clear();
        polls.isHeld = false;
        ++skipped;
        continue;
      }
    }
    for (const auto& vm : vms) {
      if (vm->Name() != poller && vm->Name() != other) {
        frozen = vm.get();
      }
    }
    ++rounds;
    if (hasTrouble) {
      frozen->Signal(SIGSTOP);
      SleepMs(5);
    }
    ++version;
    const std::uint64_t acknowledged = store.Put("op", "config", Configuration(version));
    const long acknowledgedMs = NowMs();
    record.Line("operator: configuration %d (row %llu) withdraws %s and adds %s",
                version,
                static_cast<unsigned long long>(acknowledged),
                key(version - 1).c_str(),
                key(version).c_str());
    if (hasTrouble) {
      SleepMs(60);
      {
        const std::lock_guard guard(polls.mutex);
        polls.isHeld = false;
        record.Line("store: the answer to %s (as of row %llu) was held up for %ld ms",
                    poller.c_str(),
                    static_cast<unsigned long long>(polls.heldVersion),
                    NowMs() - polls.heldSinceMs);
      }
      SleepMs(50);
      frozen->Signal(SIGCONT);
      record.Line("%s stood still for 115 ms", frozen->Name().c_str());
    }
    // A quick look after which most rounds end.
    SleepMs(1200);
    const Vm* stale = nullptr;
    for (const auto& vm : vms) {
      if (ask(*vm, version).status != 200) {
        stale = vm.get();
      }
    }
    if (stale == nullptr) {
      continue;
    }
    record.Line("%s may have missed configuration %d; no more trouble from here on",
                stale->Name().c_str(),
                version);
    SleepMs(acknowledgedMs + kConfigApplyMs + kContactMs + 500 - NowMs());
    int wrong = 0;
    for (int i = 0; i < 10; ++i) {
      const bool runsOld = ask(*stale, version - 1).isSigned;
      const bool refusesNew = ask(*stale, version).status == 401;
      wrong += (runsOld ? 1 : 0) + (refusesNew ? 1 : 0);
      SleepMs(1000);
    }
    if (wrong > 0) {
      record.Line("CONFIG is broken: %d of 20 requests at %s, in touch, sent %ld to %ld ms after "
                  "the acknowledgement, were handled as only an older version allows",
                  wrong,
                  stale->Name().c_str(),
                  kConfigApplyMs + kContactMs + 500,
                  NowMs() - acknowledgedMs);
      return 1;
    }
  }
  record.Line("CONFIG held in %d rounds (%d didn't come about)", rounds, skipped);
  return rounds > 0 ? 0 : 2;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(Case, aCount, aArguments);
}
