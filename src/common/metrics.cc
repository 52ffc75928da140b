#include "plantainhaven/common/metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace plantainhaven {

namespace {

namespace acc = boost::accumulators;

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
// Probabilities at which the quantile estimator keeps a marker; more markers estimate the
// tail more accurately.
constexpr std::array kMarkers = { 0.25, kMedian, 0.75, 0.9, kTail, 0.999 };
// Up to this many samples the quantiles are exact, computed from the stored samples.
constexpr std::size_t kExactSamples = 64;

using Accumulator =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::mean,
                                  acc::tag::max,
                                  acc::tag::extended_p_square_quantile(acc::quadratic)>>;

struct Summary
{
  std::mutex mutex;
  Accumulator accumulator{ acc::extended_p_square_probabilities = kMarkers };
  std::vector<double> firstSamples;

  void Add(double aSample)
  {
    const std::lock_guard guard(this->mutex);
    this->accumulator(aSample);
    if (this->firstSamples.size() < kExactSamples) {
      this->firstSamples.push_back(aSample);
    }
  }

  // Returns a quantile of all samples. The caller must hold the mutex, and there must be at
  // least one sample.
  double Quantile(double aProbability) const
  {
    if (acc::count(this->accumulator) > kExactSamples) {
      return acc::quantile(this->accumulator, acc::quantile_probability = aProbability);
    }
    std::vector<double> sorted = this->firstSamples;
    std::sort(sorted.begin(), sorted.end());
    const double rank = std::ceil(aProbability * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(rank) - 1];
  }
};

// Entries by name. Existing entries are found under a shared lock; references stay valid,
// since entries are never moved or removed.
template<typename T>
class NamedEntries
{
public:
  T& Get(std::string_view aName)
  {
    {
      const std::shared_lock guard(this->mutex);
      const auto found = this->entries.find(aName);
      if (found != this->entries.end()) {
        return found->second;
      }
    }
    const std::unique_lock guard(this->mutex);
    return this->entries.try_emplace(std::string(aName)).first->second;
  }

  const T* Find(std::string_view aName) const
  {
    const std::shared_lock guard(this->mutex);
    const auto found = this->entries.find(aName);
    return found == this->entries.end() ? nullptr : &found->second;
  }

  template<typename Visitor>
  void ForEach(const Visitor& aVisitor)
  {
    const std::shared_lock guard(this->mutex);
    for (auto& [name, entry] : this->entries) {
      aVisitor(name, entry);
    }
  }

private:
  mutable std::shared_mutex mutex;
  std::map<std::string, T, std::less<>> entries;
};

std::string
EscapeLabel(std::string_view aValue)
{
  std::string escaped;
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character == '\n' ? ' ' : character;
  }
  return escaped;
}

std::string
FullName(std::string_view aName, std::string_view aLabel, std::string_view aLabelValue)
{
  std::string name(aName);
  if (!aLabel.empty()) {
    name += '{';
    name += aLabel;
    name += "=\"";
    name += EscapeLabel(aLabelValue);
    name += "\"}";
  }
  return name;
}

std::string
FormatNumber(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.9g", aValue);
  return text.data();
}

struct MetricLine
{
  std::string name;
  std::string value;
};

void
AppendSummary(std::vector<MetricLine>& aLines, const std::string& aName, Summary& aSummary)
{
  const std::lock_guard guard(aSummary.mutex);
  const std::size_t count = acc::count(aSummary.accumulator);
  aLines.push_back({ aName + "_count", std::to_string(count) });
  if (count == 0) {
    return;
  }
  const double max = acc::max(aSummary.accumulator);
  const double median = std::min(aSummary.Quantile(kMedian), max);
  const double tail = std::min(aSummary.Quantile(kTail), max);
  aLines.push_back({ aName + "_mean", FormatNumber(acc::mean(aSummary.accumulator)) });
  aLines.push_back({ aName + "_max", FormatNumber(max) });
  aLines.push_back({ aName + "{quantile=\"0.5\"}", FormatNumber(median) });
  aLines.push_back({ aName + "{quantile=\"0.99\"}", FormatNumber(std::max(tail, median)) });
}

} // namespace

struct Metrics::Impl
{
  NamedEntries<std::atomic<std::uint64_t>> counters;
  NamedEntries<std::atomic<double>> gauges;
  NamedEntries<Summary> summaries;
};

Metrics::Metrics()
  : impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(std::string_view aName,
               std::string_view aLabel,
               std::string_view aLabelValue,
               std::uint64_t aAmount)
{
  auto& counter = aLabel.empty() ? this->impl->counters.Get(aName)
                                 : this->impl->counters.Get(FullName(aName, aLabel, aLabelValue));
  counter.fetch_add(aAmount, std::memory_order_relaxed);
}

void
Metrics::Set(std::string_view aName, double aValue)
{
  this->impl->gauges.Get(aName).store(aValue, std::memory_order_relaxed);
}

void
Metrics::Observe(std::string_view aName, std::chrono::nanoseconds aSample)
{
  this->impl->summaries.Get(aName).Add(std::chrono::duration<double>(aSample).count());
}

std::uint64_t
Metrics::Counter(std::string_view aName,
                 std::string_view aLabel,
                 std::string_view aLabelValue) const
{
  const auto* counter = this->impl->counters.Find(FullName(aName, aLabel, aLabelValue));
  return counter == nullptr ? 0 : counter->load(std::memory_order_relaxed);
}

std::string
Metrics::Text() const
{
  std::vector<MetricLine> lines;
  this->impl->counters.ForEach([&lines](const std::string& aName, const auto& aCounter) {
    lines.push_back({ aName, std::to_string(aCounter.load(std::memory_order_relaxed)) });
  });
  this->impl->gauges.ForEach([&lines](const std::string& aName, const auto& aGauge) {
    lines.push_back({ aName, FormatNumber(aGauge.load(std::memory_order_relaxed)) });
  });
  this->impl->summaries.ForEach([&lines](const std::string& aName, Summary& aSummary) {
    AppendSummary(lines, aName, aSummary);
  });
  std::sort(lines.begin(), lines.end(), [](const MetricLine& aLeft, const MetricLine& aRight) {
    return aLeft.name < aRight.name;
  });
  std::string text;
  for (const MetricLine& line : lines) {
    text += line.name + ' ' + line.value + '\n';
  }
  return text;
}

} // namespace plantainhaven
