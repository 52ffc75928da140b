#include "plantainhaven/policy/request/link_meter.h"

#include <catch2/catch.hpp>

#include <random>

using namespace plantainhaven;

TEST_CASE("over many requests the charges match the bytes sent over the link")
{
  std::mt19937_64 random(3);
  LinkMeter meter;
  const LinkDirection link{ "b", "a" };
  std::int64_t sent = 0;
  std::int64_t charged = 0;
  for (int i = 0; i < 2000; ++i) {
    const std::int64_t estimate = meter.EstimateResponseBytes("s");
    charged += meter.Charge(link, estimate);
    // Responses of random size; one in ten requests gets no response.
    const std::int64_t bytes =
      random() % 10 == 0 ? 0 : 100 + static_cast<std::int64_t>(random() % 100000);
    sent += bytes;
    if (bytes > 0) {
      meter.OnResponse("s", bytes);
    }
    meter.AddEstimateError(link, bytes - estimate);
  }
  CAPTURE(sent, charged);
  CHECK(charged >= sent - 1000000);
  CHECK(charged <= sent + 1000000);
}

TEST_CASE("a large estimation error is charged in parts, and credit never makes a charge negative")
{
  LinkMeter meter;
  const LinkDirection link{ "b", "a" };
  meter.AddEstimateError(link, 100000);
  CHECK(meter.Charge(link, 1000) == 66536);
  CHECK(meter.Charge(link, 1000) == 35464);
  CHECK(meter.Charge(link, 1000) == 1000);
  meter.AddEstimateError(link, -1500);
  CHECK(meter.Charge(link, 1000) == 0);
  CHECK(meter.Charge(link, 1000) == 500);
  CHECK(meter.Charge({ "a", "b" }, 1000) == 1000);
}
