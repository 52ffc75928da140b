#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace plantainhaven {

// The direction of traffic between two regions.
struct LinkDirection
{
  std::string from;
  std::string to;

  bool operator<(const LinkDirection& aOther) const
  {
    return std::tie(this->from, this->to) < std::tie(aOther.from, aOther.to);
  }
};

// Foretells how many bytes an answer will take, so that the link's budget is charged
// before the request is sent, and carries what was foretold wrongly over to the next
// charge. Not thread-safe.
class LinkMeter
{
public:
  // Bytes to charge for an answer of a service: the mean of recent ones.
  std::int64_t EstimateResponseBytes(const std::string& aService) const;
  // An answer of a service took `aBytes`.
  void OnResponse(const std::string& aService, std::int64_t aBytes);

  // Adds what was sent beyond the charge, or with a negative sign what was charged but
  // not sent.
  void AddEstimateError(const LinkDirection& aLink, std::int64_t aBytes);
  // Takes a part of what is carried into a charge of `aBytes` and returns the whole
  // charge, never below zero.
  std::int64_t Charge(const LinkDirection& aLink, std::int64_t aBytes);

private:
  std::map<std::string, std::int64_t> means;
  std::map<LinkDirection, std::int64_t> carried;
};

} // namespace plantainhaven
