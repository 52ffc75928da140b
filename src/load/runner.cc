#include "plantainhaven/load/runner.h"

#include "plantainhaven/common/settings.h"
#include "plantainhaven/load/backend_watch.h"
#include "plantainhaven/load/caller.h"
#include "plantainhaven/load/schedule.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kStopPoll{ 20 };
constexpr std::chrono::seconds kProgressInterval{ 1 };
// Outcome has this many values.
constexpr std::size_t kOutcomes = 3;

// One run: its callers, their threads and what they saw.
class Run
{
public:
  Run(const Scenario& aScenario, const RunOptions& aOptions)
    : scenario(aScenario)
    , options(aOptions)
    , schedule(aScenario.settings.run().mode() == "open" ? MakeSchedule(aScenario)
                                                         : std::vector<Arrival>{})
    , samples(aScenario.settings.run().connections())
  {
  }

  // Starts every caller, reports progress, and returns when all have ended.
  void Play()
  {
    this->begin = Clock::now();
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < this->samples.size(); ++index) {
      threads.emplace_back([this, index] { this->PlayCaller(index); });
    }
    this->WatchProgress();
    for (std::thread& thread : threads) {
      thread.join();
    }
    this->length = Clock::now() - this->begin;
  }

  std::vector<Sample> TakeSamples()
  {
    std::vector<Sample> all;
    for (std::vector<Sample>& some : this->samples) {
      std::move(some.begin(), some.end(), std::back_inserter(all));
    }
    return all;
  }

  Clock::duration Length() const { return this->length; }

private:
  using NextArrival = bool (Run::*)(std::size_t, std::mt19937_64&, Arrival&);

  void PlayCaller(std::size_t aIndex)
  {
    const NextArrival next =
      this->scenario.settings.run().mode() == "open" ? &Run::NextOpen : &Run::NextClosed;
    Caller caller(this->scenario, this->MakeDirectory(aIndex), aIndex);
    std::mt19937_64 random(this->scenario.settings.run().seed() + aIndex);
    Arrival arrival;
    while ((this->*next)(aIndex, random, arrival)) {
      this->samples[aIndex].push_back(caller.Send(arrival, this->begin));
      ++this->counts[static_cast<std::size_t>(this->samples[aIndex].back().outcome)];
    }
    ++this->ended;
  }

  std::unique_ptr<Directory> MakeDirectory(std::size_t aIndex) const
  {
    if (this->options.direct) {
      return std::make_unique<FixedDirectory>(*this->options.direct);
    }
    const auto& clients = this->scenario.settings.lookup().clients();
    const std::string client =
      clients.empty() ? std::string() : clients[static_cast<int>(aIndex) % clients.size()];
    return std::make_unique<LookupDirectory>(this->scenario.lookups, client, aIndex);
  }

  // Takes the next arrival of the schedule and waits for its moment.
  bool NextOpen(std::size_t /*aIndex*/, std::mt19937_64& /*aRandom*/, Arrival& aArrival)
  {
    const std::size_t index = this->nextArrival++;
    if (index >= this->schedule.size()) {
      return false;
    }
    aArrival = this->schedule[index];
    return this->SleepUntil(this->begin + aArrival.at);
  }

  // Takes the next request of a caller that belongs to one account for the whole run.
  bool NextClosed(std::size_t aIndex, std::mt19937_64& aRandom, Arrival& aArrival)
  {
    const auto think = ToChrono(this->scenario.settings.run().think());
    if (!this->SleepUntil(Clock::now() + think)) {
      return false;
    }
    std::uniform_real_distribution<double> share(0, 1);
    aArrival.at = Clock::now() - this->begin;
    aArrival.account = aIndex % this->scenario.accounts.size();
    aArrival.request = PickRequest(this->scenario.requests, share(aRandom));
    return aArrival.at < ToChrono(this->scenario.settings.run().duration());
  }

  // False when the run was stopped meanwhile.
  bool SleepUntil(Clock::time_point aTime) const
  {
    while (!this->stopped && Clock::now() < aTime) {
      const Clock::duration longest = kStopPoll;
      std::this_thread::sleep_for(std::min(aTime - Clock::now(), longest));
    }
    return !this->stopped;
  }

  void WatchProgress()
  {
    Clock::time_point next = this->begin + kProgressInterval;
    SecondReport last;
    while (this->ended < this->samples.size()) {
      std::this_thread::sleep_for(kStopPoll);
      this->stopped = this->stopped || (this->options.stop && this->options.stop());
      if (Clock::now() >= next) {
        next += kProgressInterval;
        this->ReportProgress(last);
      }
    }
  }

  void ReportProgress(SecondReport& aLast)
  {
    SecondReport now;
    now.set_second(aLast.second() + 1);
    now.set_answered(this->counts[static_cast<std::size_t>(Outcome::kAnswered)]);
    now.set_refused(this->counts[static_cast<std::size_t>(Outcome::kRefused)]);
    now.set_failed(this->counts[static_cast<std::size_t>(Outcome::kFailed)]);
    SecondReport step = now;
    step.set_answered(now.answered() - aLast.answered());
    step.set_refused(now.refused() - aLast.refused());
    step.set_failed(now.failed() - aLast.failed());
    step.set_sent(step.answered() + step.refused() + step.failed());
    aLast = now;
    if (this->options.progress) {
      this->options.progress(step);
    }
  }

  const Scenario& scenario;
  const RunOptions& options;
  const std::vector<Arrival> schedule;
  std::vector<std::vector<Sample>> samples;
  Clock::time_point begin;
  Clock::duration length{ 0 };
  std::atomic<std::size_t> nextArrival{ 0 };
  std::atomic<std::size_t> ended{ 0 };
  std::atomic<bool> stopped{ false };
  std::array<std::atomic<std::uint64_t>, kOutcomes> counts{};
};

} // namespace

LoadReport
RunScenario(const Scenario& aScenario, const RunOptions& aOptions)
{
  BackendWatch watch(aScenario);
  Run run(aScenario, aOptions);
  watch.Start();
  run.Play();
  watch.Stop();
  const std::vector<Sample> samples = run.TakeSamples();
  LoadReport report = Analyze(aScenario, samples);
  report.set_seconds(std::chrono::duration<double>(run.Length()).count());
  watch.Report(report);
  if (aScenario.settings.backends().executions()) {
    CompareExecutions(aScenario, samples, report);
  }
  CheckBounds(aScenario, report);
  return report;
}

} // namespace plantainhaven
