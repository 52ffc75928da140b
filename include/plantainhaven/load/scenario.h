#pragma once

#include "plantainhaven/common/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load.pb.h"

namespace plantainhaven {

// An IP number and a TCP port.
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;
};

// A client account as the load tool plays it.
struct LoadAccount
{
  std::string name;
  // Empty until the key file was read; requests of such an account carry no key.
  std::string key;
  // Requests per second that its callers send together.
  double offered = 0;
  // Requests per second and requests at once that the account is entitled to.
  double rate = 0;
  double burst = 0;
  // Requests sent at the same moment.
  std::size_t group = 1;
};

// One kind of request in the mix.
struct LoadRequest
{
  std::string method;
  std::string path;
  std::string service;
  double weight = 0;
  // Not idempotent: carries an Idempotency-Key.
  bool once = false;
};

// A backend server whose load is watched.
struct WatchedServer
{
  std::string name;
  std::string region;
  Endpoint endpoint;
  std::uint32_t slots = 0;
};

// A scenario whose lists have been parsed. `settings` keeps the plain values.
struct Scenario
{
  LoadScenario settings;
  std::vector<LoadAccount> accounts;
  std::vector<LoadRequest> requests;
  std::vector<Endpoint> lookups;
  std::vector<WatchedServer> servers;
};

// Parses "ADDRESS:PORT"; kInvalid otherwise.
Result<Endpoint>
ParseEndpoint(const std::string& aText);

// Parses the lists of a scenario; the first wrong entry is kInvalid and names its key,
// the form expected and the text found.
Result<Scenario>
ParseScenario(const LoadScenario& aSettings);

// Reads lines of "ACCOUNT KEY" and gives each account its key. kInvalid when the file
// can't be read or a line has another form; accounts that it doesn't name stay without.
Result<Done>
ReadKeys(const std::string& aFileName, Scenario& aScenario);

} // namespace plantainhaven
