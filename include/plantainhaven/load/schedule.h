#pragma once

#include "plantainhaven/load/scenario.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace plantainhaven {

// One request to send: when, counted from the start of the run, for which account and
// which entry of the mix (indexes into the scenario's lists).
struct Arrival
{
  std::chrono::nanoseconds at{ 0 };
  std::size_t account = 0;
  std::size_t request = 0;
};

// The arrivals of an open loop in order of time: for each account a Poisson process of
// its offered rate, in groups of its group size. The same scenario and seed give the
// same schedule; one account's arrivals don't depend on another's settings.
std::vector<Arrival>
MakeSchedule(const Scenario& aScenario);

// Picks an entry of the mix by weight with a number in [0, 1).
std::size_t
PickRequest(const std::vector<LoadRequest>& aRequests, double aNumber);

} // namespace plantainhaven
