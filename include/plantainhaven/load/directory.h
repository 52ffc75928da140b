#pragma once

#include "plantainhaven/load/scenario.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace plantainhaven {

// Where one caller sends its requests. Not safe for several threads: each caller has
// its own, as real callers do.
class Directory
{
public:
  virtual ~Directory() = default;

  // An endpoint for a request to a service, by chance and weight, and not one of
  // `aTried` unless no other is left; nothing when none is known.
  virtual std::optional<Endpoint> Pick(const std::string& aService,
                                       const std::vector<Endpoint>& aTried,
                                       std::mt19937_64& aRandom) = 0;
  // An endpoint failed: a new look-up is due at the next Pick.
  virtual void OnFailure(const Endpoint& aEndpoint) = 0;
};

// Always the same endpoint, for runs against one backend server.
class FixedDirectory : public Directory
{
public:
  explicit FixedDirectory(Endpoint aEndpoint);

  std::optional<Endpoint> Pick(const std::string& aService,
                               const std::vector<Endpoint>& aTried,
                               std::mt19937_64& aRandom) override;
  void OnFailure(const Endpoint& aEndpoint) override;

private:
  Endpoint endpoint;
};

// Asks the look-up endpoints in turn and keeps each answer for its TTL. When none
// answers, the last answer serves on.
class LookupDirectory : public Directory
{
public:
  // `aClient` is the address stated in look-ups; empty leaves it to the connection.
  // `aFirst` is the index of the endpoint asked first.
  LookupDirectory(std::vector<Endpoint> aLookups, std::string aClient, std::size_t aFirst);
  ~LookupDirectory() override;

  std::optional<Endpoint> Pick(const std::string& aService,
                               const std::vector<Endpoint>& aTried,
                               std::mt19937_64& aRandom) override;
  void OnFailure(const Endpoint& aEndpoint) override;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

bool
operator==(const Endpoint& aLeft, const Endpoint& aRight);

} // namespace plantainhaven
