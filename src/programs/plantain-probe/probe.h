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
  // How long requests continue with a withdrawn key after its withdrawal was accepted.
  std::chrono::milliseconds watchFor{ 4000 };
  // Maximum wait until every entry VM accepts a new key.
  std::chrono::milliseconds issueLimit{ 15000 };
};

// Times of all rounds and entry VMs. An entry VM that never accepted a key is only counted in
// neverAccepted.
struct ProbeReport
{
  // From each write request to the response that accepts it; two per round.
  std::vector<std::chrono::nanoseconds> accepted;
  // From the response that accepts a new key to the first successful request with it, one per
  // round and VM; zero when the key worked before that response.
  std::vector<std::chrono::nanoseconds> issued;
  // From the response that accepts the withdrawal to the start of the last request that still
  // succeeded; zero when none did.
  std::vector<std::chrono::nanoseconds> withdrawn;
  int notAccepted = 0;
  int neverAccepted = 0;
};

// Repeatedly issues and withdraws a key while sending requests with it to every entry VM, and
// measures how soon both take effect. Returns an error when a write fails.
Result<ProbeReport>
RunProbe(const ProbeOptions& aOptions);

} // namespace plantainhaven
