#include "plantainhaven/load/schedule.h"

#include "plantainhaven/common/settings.h"

#include <algorithm>
#include <random>

namespace plantainhaven {

namespace {

using Seconds = std::chrono::duration<double>;

std::vector<Arrival>
ScheduleAccount(const Scenario& aScenario, std::size_t aAccount, std::chrono::nanoseconds aEnd)
{
  const LoadAccount& account = aScenario.accounts[aAccount];
  std::vector<Arrival> arrivals;
  if (account.offered <= 0) {
    return arrivals;
  }
  std::seed_seq seeds{ static_cast<std::size_t>(aScenario.settings.run().seed()), aAccount };
  std::mt19937_64 random(seeds);
  const double groupsPerSecond = account.offered / static_cast<double>(account.group);
  std::exponential_distribution<double> gap(groupsPerSecond);
  std::uniform_real_distribution<double> share(0, 1);
  Seconds at(gap(random));
  while (at < aEnd) {
    for (std::size_t index = 0; index < account.group; ++index) {
      const std::size_t request = PickRequest(aScenario.requests, share(random));
      arrivals.push_back(
        { std::chrono::duration_cast<std::chrono::nanoseconds>(at), aAccount, request });
    }
    at += Seconds(gap(random));
  }
  return arrivals;
}

} // namespace

std::vector<Arrival>
MakeSchedule(const Scenario& aScenario)
{
  const std::chrono::nanoseconds end = ToChrono(aScenario.settings.run().duration());
  std::vector<Arrival> all;
  for (std::size_t account = 0; account < aScenario.accounts.size(); ++account) {
    const std::vector<Arrival> arrivals = ScheduleAccount(aScenario, account, end);
    all.insert(all.end(), arrivals.begin(), arrivals.end());
  }
  std::stable_sort(all.begin(), all.end(), [](const Arrival& aLeft, const Arrival& aRight) {
    return aLeft.at < aRight.at;
  });
  return all;
}

std::size_t
PickRequest(const std::vector<LoadRequest>& aRequests, double aNumber)
{
  double total = 0;
  for (const LoadRequest& request : aRequests) {
    total += request.weight;
  }
  double left = aNumber * total;
  for (std::size_t index = 0; index < aRequests.size(); ++index) {
    left -= aRequests[index].weight;
    if (left < 0) {
      return index;
    }
  }
  return aRequests.size() - 1;
}

} // namespace plantainhaven
