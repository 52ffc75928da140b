#include "plantainhaven/load/report_text.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

namespace plantainhaven {

namespace {

// Sizes in pixels.
constexpr double kWidth = 800;
constexpr double kPanelHeight = 220;
constexpr double kLeft = 70;
constexpr double kRight = 20;
constexpr double kTop = 34;
constexpr double kBottom = 30;

struct Series
{
  const char* name;
  const char* colour;
  double (*value)(const SecondReport&);
};

const Series kLatencySeries[] = {
  { "p50 ms", "#1f77b4", [](const SecondReport& aSecond) { return aSecond.p50_ms(); } },
  { "p99 ms", "#d62728", [](const SecondReport& aSecond) { return aSecond.p99_ms(); } },
};

const Series kCountSeries[] = {
  { "answered/s",
    "#2ca02c",
    [](const SecondReport& aSecond) { return static_cast<double>(aSecond.answered()); } },
  { "refused/s",
    "#ff7f0e",
    [](const SecondReport& aSecond) { return static_cast<double>(aSecond.refused()); } },
  { "failed/s",
    "#d62728",
    [](const SecondReport& aSecond) { return static_cast<double>(aSecond.failed()); } },
};

std::string
Number(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", aValue);
  return text.data();
}

std::string
Text(double aX, double aY, const std::string& aText, const char* aColour)
{
  return "<text x=\"" + Number(aX) + "\" y=\"" + Number(aY) + "\" fill=\"" + aColour + "\">" +
         aText + "</text>\n";
}

// One panel of lines over the seconds of the run, `aOffset` below the picture's top.
class Panel
{
public:
  Panel(const LoadReport& aReport, const Series* aSeries, std::size_t aCount, double aOffset)
    : report(aReport)
    , series(aSeries)
    , count(aCount)
    , offset(aOffset)
  {
    for (const SecondReport& second : aReport.timeline()) {
      this->lastSecond = std::max(this->lastSecond, static_cast<double>(second.second()));
      for (std::size_t index = 0; index < aCount; ++index) {
        this->highest = std::max(this->highest, aSeries[index].value(second));
      }
    }
  }

  std::string Draw() const
  {
    std::string svg = this->Frame();
    for (std::size_t index = 0; index < this->count; ++index) {
      svg += this->Line(this->series[index]);
      svg += Text(kLeft + 110.0 * static_cast<double>(index),
                  this->offset + kTop - 10,
                  this->series[index].name,
                  this->series[index].colour);
    }
    return svg;
  }

private:
  double X(double aSecond) const
  {
    return kLeft + (kWidth - kLeft - kRight) * aSecond / this->lastSecond;
  }

  double Y(double aValue) const
  {
    return this->offset + kPanelHeight - kBottom -
           (kPanelHeight - kTop - kBottom) * aValue / this->highest;
  }

  std::string Frame() const
  {
    const std::string axis = "<polyline fill=\"none\" stroke=\"#888\" points=\"" + Number(kLeft) +
                             "," + Number(this->Y(this->highest)) + " " + Number(kLeft) + "," +
                             Number(this->Y(0)) + " " + Number(kWidth - kRight) + "," +
                             Number(this->Y(0)) + "\"/>\n";
    return axis + Text(4, this->Y(this->highest) + 4, Number(this->highest), "#444") +
           Text(4, this->Y(0) + 4, "0", "#444") +
           Text(this->X(this->lastSecond) - 40,
                this->Y(0) + 20,
                Number(this->lastSecond) + " s",
                "#444");
  }

  std::string Line(const Series& aSeries) const
  {
    std::string points;
    for (const SecondReport& second : this->report.timeline()) {
      points +=
        Number(this->X(second.second())) + "," + Number(this->Y(aSeries.value(second))) + " ";
    }
    return std::string("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"") + aSeries.colour +
           "\" points=\"" + points + "\"/>\n";
  }

  const LoadReport& report;
  const Series* series;
  std::size_t count;
  double offset;
  double lastSecond = 1;
  double highest = 1;
};

} // namespace

std::string
ReportPlot(const LoadReport& aReport)
{
  const Panel latencies(aReport, kLatencySeries, std::size(kLatencySeries), 0);
  const Panel counts(aReport, kCountSeries, std::size(kCountSeries), kPanelHeight);
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + Number(kWidth) + "\" height=\"" +
         Number(2 * kPanelHeight) + "\" font-family=\"sans-serif\" font-size=\"12\">\n" +
         "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n" + latencies.Draw() +
         counts.Draw() + "</svg>\n";
}

} // namespace plantainhaven
