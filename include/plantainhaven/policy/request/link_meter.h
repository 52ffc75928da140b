#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace plantainhaven {

// One direction of the link between two regions.
struct LinkDirection
{
  std::string from;
  std::string to;

  bool operator<(const LinkDirection& aOther) const
  {
    return std::tie(this->from, this->to) < std::tie(aOther.from, aOther.to);
  }
};

// Estimates the size of a response, so that the link's bandwidth budget can be charged
// before the request is sent. Adds the estimation error to later charges, so that over time
// the charges match the bytes sent. Not thread-safe.
class LinkMeter
{
public:
  // Returns the bytes to charge for a response of the service: a moving average of the sizes
  // of its responses.
  std::int64_t EstimateResponseBytes(const std::string& aService) const;
  // Records a response of the service that had `aBytes`.
  void OnResponse(const std::string& aService, std::int64_t aBytes);

  // Adds an estimation error to the link: positive for bytes that were sent but not charged,
  // negative for bytes that were charged but not sent.
  void AddEstimateError(const LinkDirection& aLink, std::int64_t aBytes);
  // Returns `aBytes` plus a part of the link's outstanding estimation error, in bytes, but
  // never less than zero. That part no longer counts as outstanding.
  std::int64_t Charge(const LinkDirection& aLink, std::int64_t aBytes);

private:
  std::map<std::string, std::int64_t> means;
  std::map<LinkDirection, std::int64_t> estimateErrors;
};

} // namespace plantainhaven
