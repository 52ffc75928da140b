#include "plantainhaven/load/analysis.h"

#include "plantainhaven/common/settings.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace plantainhaven {

namespace {

using Latencies = std::vector<std::chrono::nanoseconds>;

double
Milliseconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

// Token bucket of an account's rate and burst, full at the first request.
class IdealBucket
{
public:
  explicit IdealBucket(const LoadAccount& aAccount)
    : rate(aAccount.rate)
    , burst(aAccount.burst)
    , level(aAccount.burst)
  {
  }

  bool Admit(std::chrono::nanoseconds aNow)
  {
    const double passed = std::chrono::duration<double>(aNow - this->filled).count();
    this->level = std::min(this->burst, this->level + std::max(0.0, passed) * this->rate);
    this->filled = std::max(this->filled, aNow);
    if (this->level < 1) {
      return false;
    }
    this->level -= 1;
    return true;
  }

private:
  double rate;
  double burst;
  double level;
  std::chrono::nanoseconds filled{ 0 };
};

// Adds one sample to the counters that every report message has.
template<typename Report>
void
AddOutcome(const Sample& aSample, Report& aReport)
{
  aReport.set_sent(aReport.sent() + 1);
  switch (aSample.outcome) {
    case Outcome::kAnswered:
      aReport.set_answered(aReport.answered() + 1);
      break;
    case Outcome::kRefused:
      aReport.set_refused(aReport.refused() + 1);
      break;
    case Outcome::kFailed:
      aReport.set_failed(aReport.failed() + 1);
      break;
  }
}

void
AddInside(const Sample& aSample, bool aInside, AccountReport& aAccount)
{
  if (!aInside) {
    return;
  }
  aAccount.set_inside(aAccount.inside() + 1);
  if (aSample.outcome == Outcome::kRefused) {
    aAccount.set_refused_inside(aAccount.refused_inside() + 1);
  }
}

// Refusals beyond the number of requests that the ideal bucket refuses.
std::uint64_t
RefusedWrongly(const AccountReport& aAccount)
{
  const std::uint64_t outside = aAccount.sent() - aAccount.inside();
  return aAccount.refused() > outside ? aAccount.refused() - outside : 0;
}

// Latencies of answered requests, all and by account, and counts by reason.
struct Groups
{
  Latencies all;
  std::vector<Latencies> accounts;
  std::map<std::string, std::uint64_t> reasons;
};

void
AddSample(const Sample& aSample, bool aInside, Groups& aGroups, LoadReport& aReport)
{
  AccountReport& account = *aReport.mutable_accounts(static_cast<int>(aSample.account));
  AddOutcome(aSample, aReport);
  AddOutcome(aSample, account);
  AddInside(aSample, aInside, account);
  aReport.set_connections_cut(aReport.connections_cut() + aSample.cuts);
  if (aSample.outcome == Outcome::kAnswered) {
    aGroups.all.push_back(aSample.latency);
    aGroups.accounts[aSample.account].push_back(aSample.latency);
  } else {
    ++aGroups.reasons[aSample.reason];
  }
}

void
AddTimeline(const std::vector<Sample>& aSamples, LoadReport& aReport)
{
  std::map<std::int64_t, std::vector<const Sample*>> seconds;
  for (const Sample& sample : aSamples) {
    seconds[std::chrono::floor<std::chrono::seconds>(sample.start).count()].push_back(&sample);
  }
  for (const auto& [second, samples] : seconds) {
    SecondReport& report = *aReport.add_timeline();
    report.set_second(static_cast<std::uint32_t>(second));
    Latencies latencies;
    for (const Sample* sample : samples) {
      AddOutcome(*sample, report);
      if (sample->outcome == Outcome::kAnswered) {
        latencies.push_back(sample->latency);
      }
    }
    std::sort(latencies.begin(), latencies.end());
    report.set_p50_ms(Milliseconds(Quantile(latencies, 0.5)));
    report.set_p99_ms(Milliseconds(Quantile(latencies, 0.99)));
  }
}

// Names the account with the highest 99th percentile and its ratio to the lowest.
void
FindWorstServed(LoadReport& aReport)
{
  const AccountReport* worst = nullptr;
  const AccountReport* best = nullptr;
  for (const AccountReport& account : aReport.accounts()) {
    if (account.latency().count() == 0) {
      continue;
    }
    if (worst == nullptr || account.latency().p99_ms() > worst->latency().p99_ms()) {
      worst = &account;
    }
    if (best == nullptr || account.latency().p99_ms() < best->latency().p99_ms()) {
      best = &account;
    }
  }
  if (worst != nullptr && best->latency().p99_ms() > 0) {
    aReport.set_worst_account(worst->account());
    aReport.set_worst_to_best(worst->latency().p99_ms() / best->latency().p99_ms());
  }
}

} // namespace

std::chrono::nanoseconds
Quantile(const Latencies& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return std::chrono::nanoseconds(0);
  }
  const double rank = std::ceil(aQuantile * static_cast<double>(aSorted.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return aSorted[std::min(index, aSorted.size() - 1)];
}

LatencySummary
Summarize(Latencies aLatencies)
{
  std::sort(aLatencies.begin(), aLatencies.end());
  LatencySummary summary;
  summary.set_count(aLatencies.size());
  if (aLatencies.empty()) {
    return summary;
  }
  const auto sum =
    std::accumulate(aLatencies.begin(), aLatencies.end(), std::chrono::nanoseconds(0));
  summary.set_mean_ms(Milliseconds(sum) / static_cast<double>(aLatencies.size()));
  summary.set_p50_ms(Milliseconds(Quantile(aLatencies, 0.5)));
  summary.set_p99_ms(Milliseconds(Quantile(aLatencies, 0.99)));
  summary.set_p999_ms(Milliseconds(Quantile(aLatencies, 0.999)));
  summary.set_max_ms(Milliseconds(aLatencies.back()));
  return summary;
}

std::vector<bool>
FindInside(const Scenario& aScenario, const std::vector<Sample>& aSamples)
{
  std::vector<IdealBucket> buckets(aScenario.accounts.begin(), aScenario.accounts.end());
  std::vector<bool> inside;
  inside.reserve(aSamples.size());
  for (const Sample& sample : aSamples) {
    inside.push_back(buckets[sample.account].Admit(sample.sent));
  }
  return inside;
}

LoadReport
Analyze(const Scenario& aScenario, std::vector<Sample> aSamples)
{
  std::stable_sort(aSamples.begin(), aSamples.end(), [](const Sample& aLeft, const Sample& aRight) {
    return aLeft.sent < aRight.sent;
  });
  const std::chrono::nanoseconds warmUp = ToChrono(aScenario.settings.run().warm_up());
  const std::vector<bool> inside = FindInside(aScenario, aSamples);
  LoadReport report;
  report.set_scenario(aScenario.settings.run().name());
  report.set_seed(aScenario.settings.run().seed());
  for (const LoadAccount& account : aScenario.accounts) {
    report.add_accounts()->set_account(account.name);
  }
  Groups groups;
  groups.accounts.resize(aScenario.accounts.size());
  for (std::size_t index = 0; index < aSamples.size(); ++index) {
    if (aSamples[index].start >= warmUp) {
      AddSample(aSamples[index], inside[index], groups, report);
    }
  }
  *report.mutable_latency() = Summarize(std::move(groups.all));
  for (std::size_t index = 0; index < groups.accounts.size(); ++index) {
    AccountReport& account = *report.mutable_accounts(static_cast<int>(index));
    *account.mutable_latency() = Summarize(std::move(groups.accounts[index]));
    account.set_refused_wrongly(RefusedWrongly(account));
    report.set_refused_inside(report.refused_inside() + account.refused_inside());
    report.set_refused_wrongly(report.refused_wrongly() + account.refused_wrongly());
  }
  for (const auto& [reason, count] : groups.reasons) {
    ReasonCount& line = *report.add_reasons();
    line.set_reason(reason);
    line.set_count(count);
  }
  FindWorstServed(report);
  AddTimeline(aSamples, report);
  return report;
}

} // namespace plantainhaven
