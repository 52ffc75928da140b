// Answers per second of one plantain-lookupd. Plays its plantain-controld with a given
// number of client blocks, and the callers in a closed loop, each on one connection:
//
//   lookup_http_bench CONTROL_PORT LOOKUP_PORT [BLOCKS [CALLERS [SECONDS]]]
//
// plantain-lookupd runs beside it on 127.0.0.1 as VM region-0-vm-0 of region-0.
#include "lookup_support.h"
#include "plantainhaven/common/time.h"
#include "plantainhaven/fleet/local_link.h"
#include "plantainhaven/http/client.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

namespace plantainhaven {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr const char* kAddress = "127.0.0.1";
constexpr milliseconds kExchangeTimeout{ 1000 };
constexpr milliseconds kStartTimeout{ 20000 };
constexpr std::chrono::seconds kFreshFor{ 3 };

struct BenchOptions
{
  std::uint16_t controlPort = 0;
  std::uint16_t lookupPort = 0;
  std::size_t blocks = 340'000;
  std::size_t callers = 16;
  std::chrono::seconds duration{ 5 };
};

struct CallerCounts
{
  std::vector<std::chrono::nanoseconds> latencies;
  std::size_t failed = 0;
};

// Answers plantain-lookupd as its plantain-controld would, in its own thread.
class ControldPart
{
public:
  explicit ControldPart(const BenchOptions& aOptions)
    : bench(aOptions.blocks)
    , chunks(this->bench.Value().ToChunks())
  {
    const Result<Done> bound = this->server.Bind(kAddress, aOptions.controlPort);
    if (!IsOk(bound)) {
      std::fprintf(stderr, "%s\n", ErrorOf(bound).message.c_str());
      std::exit(1);
    }
    this->thread = std::thread([this] { this->Run(); });
  }
  ~ControldPart()
  {
    this->stopping = true;
    this->thread.join();
  }

private:
  void Run()
  {
    while (!this->stopping) {
      this->server.ProcessRequests([this](const ViewAsk& aAsk) { return this->Answer(aAsk); });
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  ViewAnswer Answer(const ViewAsk& aAsk)
  {
    const Revision revision = this->bench.Value().AppliedRevision();
    ViewAnswer answer;
    answer.set_vm("region-0-vm-0");
    answer.set_applied_revision(revision);
    answer.set_fresh_until_boottime_ns(ToBootNanoseconds(BootClock::Now() + kFreshFor));
    answer.mutable_vms()->Add(this->bench.Vms().begin(), this->bench.Vms().end());
    if (aAsk.applied_revision() != revision) {
      answer.set_whole(true);
      answer.set_whole_revision(revision);
      for (const std::string& chunk : this->chunks) {
        answer.add_chunks()->ParseFromString(chunk);
      }
      std::printf("whole configuration sent: %zu bytes\n", answer.ByteSizeLong());
    }
    return answer;
  }

  LookupBenchConfiguration bench;
  std::vector<std::string> chunks;
  LocalServer server;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

HttpRequest
LookupOf(const std::string& aClient)
{
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/lookup?service=trainee-portal&client=" + aClient;
  request.path = "/v1/lookup";
  return request;
}

bool
WaitUntilFresh(const BenchOptions& aOptions)
{
  const Clock::time_point deadline = Clock::now() + kStartTimeout;
  HttpConnection connection({ .address = kAddress, .port = aOptions.lookupPort });
  while (Clock::now() < deadline) {
    const auto answer = connection.Exchange(LookupOf("10.0.0.1"), kExchangeTimeout);
    const auto* response = std::get_if<HttpResponse>(&answer);
    if (response != nullptr && response->status == 200) {
      std::printf("answer: %s\n", response->body.c_str());
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

CallerCounts
Call(const BenchOptions& aOptions, std::size_t aCaller)
{
  CallerCounts counts;
  HttpConnection connection({ .address = kAddress, .port = aOptions.lookupPort });
  const Clock::time_point end = Clock::now() + aOptions.duration;
  std::mt19937_64 random(aCaller);
  while (Clock::now() < end) {
    const std::string client = std::to_string(1 + random() % 223) + "." +
                               std::to_string(random() % 256) + "." +
                               std::to_string(random() % 256) + ".1";
    const Clock::time_point start = Clock::now();
    const auto answer = connection.Exchange(LookupOf(client), kExchangeTimeout);
    const auto* response = std::get_if<HttpResponse>(&answer);
    if (response != nullptr && response->status == 200) {
      counts.latencies.push_back(Clock::now() - start);
    } else {
      ++counts.failed;
    }
  }
  return counts;
}

void
Report(const BenchOptions& aOptions, const std::vector<CallerCounts>& aCallers)
{
  CallerCounts all;
  for (const CallerCounts& caller : aCallers) {
    all.latencies.insert(all.latencies.end(), caller.latencies.begin(), caller.latencies.end());
    all.failed += caller.failed;
  }
  if (all.latencies.empty()) {
    std::printf("answers=0 failed=%zu\n", all.failed);
    return;
  }
  std::sort(all.latencies.begin(), all.latencies.end());
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const std::size_t count = all.latencies.size();
  std::printf("blocks=%zu callers=%zu answers=%zu failed=%zu answers_per_second=%.0f "
              "median_ms=%.3f p99_ms=%.3f\n",
              aOptions.blocks,
              aOptions.callers,
              count,
              all.failed,
              static_cast<double>(count) / static_cast<double>(aOptions.duration.count()),
              Milliseconds(all.latencies[count / 2]).count(),
              Milliseconds(all.latencies[count * 99 / 100]).count());
}

int
Run(const BenchOptions& aOptions)
{
  const ControldPart controld(aOptions);
  if (!WaitUntilFresh(aOptions)) {
    std::fprintf(stderr, "plantain-lookupd gave no answer\n");
    return 1;
  }
  std::vector<CallerCounts> counts(aOptions.callers);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < aOptions.callers; ++i) {
    callers.emplace_back([&, i] { counts[i] = Call(aOptions, i); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  Report(aOptions, counts);
  return 0;
}

} // namespace
} // namespace plantainhaven

int
main(int aArgc, char** aArgv)
{
  const std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  if (arguments.size() < 2) {
    std::fprintf(stderr,
                 "usage: lookup_http_bench CONTROL_PORT LOOKUP_PORT [BLOCKS [CALLERS "
                 "[SECONDS]]]\n");
    return 2;
  }
  plantainhaven::BenchOptions options;
  options.controlPort = static_cast<std::uint16_t>(std::stoul(arguments[0]));
  options.lookupPort = static_cast<std::uint16_t>(std::stoul(arguments[1]));
  options.blocks = arguments.size() > 2 ? std::stoul(arguments[2]) : options.blocks;
  options.callers = arguments.size() > 3 ? std::stoul(arguments[3]) : options.callers;
  if (arguments.size() > 4) {
    options.duration = std::chrono::seconds(std::stoul(arguments[4]));
  }
  return plantainhaven::Run(options);
}
