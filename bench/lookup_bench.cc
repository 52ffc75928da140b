// Cost of a look-up decision, and size and build time of its table.
//
//   lookup_bench --benchmark_min_time=1
#include "lookup_support.h"
#include "plantainhaven/policy/lookup/lookup_policy.h"

#include <map>
#include <memory>

#include <benchmark/benchmark.h>

namespace plantainhaven {
namespace {

constexpr std::size_t kAddresses = 1 << 16;

const LookupBenchConfiguration&
ConfigurationOf(std::size_t aBlocks)
{
  static std::map<std::size_t, std::unique_ptr<LookupBenchConfiguration>> sConfigurations;
  std::unique_ptr<LookupBenchConfiguration>& entry = sConfigurations[aBlocks];
  if (!entry) {
    entry = std::make_unique<LookupBenchConfiguration>(aBlocks);
  }
  return *entry;
}

std::vector<std::uint32_t>
RandomAddresses()
{
  std::mt19937_64 random(7);
  std::vector<std::uint32_t> addresses(kAddresses);
  for (std::uint32_t& address : addresses) {
    address = static_cast<std::uint32_t>(random());
  }
  return addresses;
}

void
TableFind(benchmark::State& aState)
{
  const auto blocks = static_cast<std::size_t>(aState.range(0));
  const LookupTable table(ConfigurationOf(blocks).Value());
  const std::vector<std::uint32_t> addresses = RandomAddresses();
  std::size_t next = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.Find(addresses[next++ % kAddresses]));
  }
  aState.counters["table_bytes"] = static_cast<double>(table.Footprint());
  aState.counters["ranges"] = static_cast<double>(table.RangeCount());
}

void
TableBuild(benchmark::State& aState)
{
  const auto blocks = static_cast<std::size_t>(aState.range(0));
  const Configuration& configuration = ConfigurationOf(blocks).Value();
  for (auto _ : aState) {
    const LookupTable table(configuration);
    benchmark::DoNotOptimize(table.RangeCount());
  }
}

LookupOptions
OptionsOfFirstVm()
{
  return { .vm = "region-0-vm-0", .region = "region-0" };
}

void
Decide(benchmark::State& aState)
{
  const LookupBenchConfiguration& bench =
    ConfigurationOf(static_cast<std::size_t>(aState.range(0)));
  const LookupView view{ BootTime::max(), false, bench.Vms() };
  const LookupPolicy policy(
    OptionsOfFirstVm(), std::make_shared<LookupTable>(bench.Value()), bench.Value(), view);
  const std::vector<std::uint32_t> addresses = RandomAddresses();
  std::mt19937_64 random(1);
  std::size_t next = 0;
  for (auto _ : aState) {
    const ClientAddress client{ addresses[next++ % kAddresses] };
    const LookupOutcome outcome = policy.Decide("trainee-portal", client, BootTime{}, random);
    benchmark::DoNotOptimize(&outcome);
  }
}

void
PolicyBuild(benchmark::State& aState)
{
  const LookupBenchConfiguration& bench =
    ConfigurationOf(static_cast<std::size_t>(aState.range(0)));
  const auto table = std::make_shared<const LookupTable>(bench.Value());
  const LookupView view{ BootTime::max(), false, bench.Vms() };
  for (auto _ : aState) {
    const LookupPolicy policy(OptionsOfFirstVm(), table, bench.Value(), view);
    benchmark::DoNotOptimize(policy.UsableVmCount());
  }
}

BENCHMARK(Decide)->Arg(10'000)->Arg(100'000)->Arg(340'000);
BENCHMARK(TableFind)->Arg(10'000)->Arg(100'000)->Arg(340'000);
BENCHMARK(TableBuild)->Arg(10'000)->Arg(100'000)->Arg(340'000)->Unit(benchmark::kMillisecond);
BENCHMARK(PolicyBuild)->Arg(340'000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace plantainhaven
