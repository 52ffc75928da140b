#pragma once

#include <string>

#include "load.pb.h"

namespace plantainhaven {

// One line of progress.
std::string
ProgressLine(const SecondReport& aSecond);

// The report as a table for people, with the five measures and the broken bounds.
std::string
ReportTable(const LoadReport& aReport);

// The timeline as an SVG picture: latency (p50, p99) above, requests by outcome below.
std::string
ReportPlot(const LoadReport& aReport);

} // namespace plantainhaven
