#include "plantainhaven/load/report_text.h"

#include <array>
#include <cstdarg>
#include <cstdio>

namespace plantainhaven {

namespace {

// printf into a string; lines of the table are shorter than the buffer.
[[gnu::format(printf, 1, 2)]] std::string
Format(const char* aFormat, ...)
{
  std::array<char, 400> text{};
  va_list arguments;
  va_start(arguments, aFormat);
  std::vsnprintf(text.data(), text.size(), aFormat, arguments);
  va_end(arguments);
  return text.data();
}

unsigned long long
Count(std::uint64_t aCount)
{
  return aCount;
}

double
Percent(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0 : 100.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
}

std::string
Totals(const LoadReport& aReport)
{
  const LatencySummary& latency = aReport.latency();
  std::string text = Format("scenario %s, seed %u, %.1f s\n",
                            aReport.scenario().c_str(),
                            aReport.seed(),
                            aReport.seconds());
  text += Format("requests   %llu sent, %llu answered, %llu refused, %llu failed, %llu cut\n",
                 Count(aReport.sent()),
                 Count(aReport.answered()),
                 Count(aReport.refused()),
                 Count(aReport.failed()),
                 Count(aReport.connections_cut()));
  text += Format("latency    p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms\n",
                 latency.p50_ms(),
                 latency.p99_ms(),
                 latency.p999_ms(),
                 latency.max_ms());
  text += Format("refused wrongly  %llu (%.3f %%); refused where a token bucket admits  %llu\n",
                 Count(aReport.refused_wrongly()),
                 Percent(aReport.refused_wrongly(), aReport.sent()),
                 Count(aReport.refused_inside()));
  return text;
}

std::string
Accounts(const LoadReport& aReport)
{
  std::string text;
  if (!aReport.worst_account().empty()) {
    text += Format("worst-served account  %s, p99 %.2f times the best's\n",
                   aReport.worst_account().c_str(),
                   aReport.worst_to_best());
  }
  text += Format("%-24s %8s %8s %8s %7s %8s %9s %9s %9s\n",
                 "account",
                 "sent",
                 "answered",
                 "refused",
                 "failed",
                 "inside",
                 "ref.wrong",
                 "p50 ms",
                 "p99 ms");
  for (const AccountReport& account : aReport.accounts()) {
    text += Format("%-24s %8llu %8llu %8llu %7llu %8llu %9llu %9.2f %9.2f\n",
                   account.account().c_str(),
                   Count(account.sent()),
                   Count(account.answered()),
                   Count(account.refused()),
                   Count(account.failed()),
                   Count(account.inside()),
                   Count(account.refused_wrongly()),
                   account.latency().p50_ms(),
                   account.latency().p99_ms());
  }
  return text;
}

std::string
Backends(const LoadReport& aReport)
{
  std::string text;
  for (const RegionReport& region : aReport.regions()) {
    text += Format("region %-14s most in flight %u of %u slots, least headroom %.1f %%\n",
                   region.region().c_str(),
                   region.most_in_flight(),
                   region.slots(),
                   region.least_headroom_percent());
  }
  if (aReport.drain_ms() > 0 || aReport.drained()) {
    text += Format("drain      %.0f ms, %s\n",
                   aReport.drain_ms(),
                   aReport.drained() ? "complete" : "not complete");
  }
  if (aReport.executions_checked()) {
    text += Format("executions %llu; ran more than once %llu; ran after \"not run\" %llu\n",
                   Count(aReport.executions().executions()),
                   Count(aReport.executions().more_than_once()),
                   Count(aReport.executions().ran_after_not_run()));
  }
  return text;
}

} // namespace

std::string
ProgressLine(const SecondReport& aSecond)
{
  return Format("%4u s  %6llu ended  %6llu answered  %5llu refused  %5llu failed",
                aSecond.second(),
                Count(aSecond.sent()),
                Count(aSecond.answered()),
                Count(aSecond.refused()),
                Count(aSecond.failed()));
}

std::string
ReportTable(const LoadReport& aReport)
{
  std::string text = Totals(aReport) + Accounts(aReport) + Backends(aReport);
  for (const ReasonCount& reason : aReport.reasons()) {
    text += Format("reason %-24s %llu\n", reason.reason().c_str(), Count(reason.count()));
  }
  for (const std::string& bound : aReport.broken_bounds()) {
    text += "bound broken: " + bound + "\n";
  }
  text += aReport.broken_bounds().empty() ? "all bounds held\n" : "";
  return text;
}

} // namespace plantainhaven
