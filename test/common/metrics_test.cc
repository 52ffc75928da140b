#include "plantainhaven/common/metrics.h"

#include <chrono>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

using std::chrono::milliseconds;

// Value of a line of the text form, or -1.
double
ValueOf(const std::string& aText, const std::string& aName)
{
  const std::size_t start = ("\n" + aText).find("\n" + aName + " ");
  return start == std::string::npos ? -1 : std::stod(aText.substr(start + aName.size() + 1));
}

TEST_CASE("Counters keep labels apart and never counted ones are 0")
{
  Metrics metrics;
  metrics.Count("plantainhaven_refusals", "reason", "stale_view");
  metrics.Count("plantainhaven_refusals", "reason", "no_key", 3);
  metrics.Count("plantainhaven_requests");
  CHECK(metrics.Counter("plantainhaven_refusals", "reason", "stale_view") == 1);
  CHECK(metrics.Counter("plantainhaven_refusals", "reason", "no_key") == 3);
  CHECK(metrics.Counter("plantainhaven_refusals", "reason", "other") == 0);
  CHECK(metrics.Counter("plantainhaven_requests") == 1);
}

TEST_CASE("The text form is sorted by name and escapes labels")
{
  Metrics metrics;
  metrics.Set("plantainhaven_c", 0.5);
  metrics.Count("plantainhaven_b", "reason", "say \"no\"");
  metrics.Count("plantainhaven_a");
  CHECK(metrics.Text() == "plantainhaven_a 1\n"
                          "plantainhaven_b{reason=\"say \\\"no\\\"\"} 1\n"
                          "plantainhaven_c 0.5\n");
}

TEST_CASE("Summaries tell count, mean, max and quantiles in seconds")
{
  // Samples 1 ms, 2 ms, ... in mixed order.
  struct Case
  {
    int samples;
    double tolerance; // Seconds; few samples are exact, many are estimated.
  };
  const Case cases[] = { { 1, 0 }, { 10, 0 }, { 60, 0 }, { 1009, 0.01 } };
  for (const Case& one : cases) {
    CAPTURE(one.samples);
    Metrics metrics;
    constexpr int step = 389; // Prime to every number of samples above.
    for (int index = 0; index < one.samples; ++index) {
      metrics.Observe("s", milliseconds(index * step % one.samples + 1));
    }
    const std::string text = metrics.Text();
    const double last = one.samples / 1000.0;
    CHECK(ValueOf(text, "s_count") == one.samples);
    CHECK(ValueOf(text, "s_max") == Approx(last));
    CHECK(ValueOf(text, "s_mean") == Approx((last + 0.001) / 2));
    CHECK(ValueOf(text, "s{quantile=\"0.5\"}") ==
          Approx(last / 2).margin(one.tolerance + 0.0005001));
    CHECK(ValueOf(text, "s{quantile=\"0.99\"}") ==
          Approx(last * 0.99).margin(one.tolerance + 0.001));
  }
}

TEST_CASE("Counts from many threads all arrive")
{
  constexpr int threads = 8;
  constexpr int counts = 20000;
  Metrics metrics;
  std::vector<std::thread> running;
  for (int index = 0; index < threads; ++index) {
    running.emplace_back([&metrics] {
      for (int count = 0; count < counts; ++count) {
        metrics.Count("plantainhaven_n", "reason", count % 2 == 0 ? "even" : "odd");
        metrics.Observe("plantainhaven_s", milliseconds(1));
      }
    });
  }
  for (std::thread& thread : running) {
    thread.join();
  }
  CHECK(metrics.Counter("plantainhaven_n", "reason", "even") == threads * counts / 2);
  CHECK(metrics.Counter("plantainhaven_n", "reason", "odd") == threads * counts / 2);
  CHECK(ValueOf(metrics.Text(), "plantainhaven_s_count") == threads * counts);
}

} // namespace
} // namespace plantainhaven
