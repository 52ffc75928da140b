#pragma once

#include "plantainhaven/api/client.h"
#include "plantainhaven/common/result.h"

#include <chrono>
#include <string>
#include <vector>

namespace plantainhaven {

struct ProbeOptions
{
  std::vector<ApiServer> apis;
  std::vector<ApiServer> entries;
  std::string token;
  std::string account;
  // Path of an idempotent keyed GET route.
  std::string path;
  int rounds = 20;
  // How long a withdrawn key is tried on after its withdrawal was accepted.
  std::chrono::milliseconds watchFor{ 4000 };
  // How long a new key may take to work everywhere.
  std::chrono::milliseconds issueLimit{ 15000 };
};

// Times of all rounds and entry VMs. An entry VM that never took the key, or never gave
// an answer after the withdrawal, is only counted.
struct ProbeReport
{
  // From the request to the answer that the write is accepted, one a round.
  std::vector<std::chrono::nanoseconds> accepted;
  // From that answer to the first request that the new key opened, one a round and VM;
  // zero when the key worked before.
  std::vector<std::chrono::nanoseconds> issued;
  // From the answer that the withdrawal is accepted to the start of the last request
  // that still succeeded; zero when none did.
  std::vector<std::chrono::nanoseconds> withdrawn;
  int notAccepted = 0;
  int neverIssued = 0;
};

// Issues and withdraws a key again and again while it sends requests with it to every
// entry VM, and measures how fast both are in force. Error: a write failed.
Result<ProbeReport>
RunProbe(const ProbeOptions& aOptions);

} // namespace plantainhaven
