#include "edge/crash_watch.h"

#include "plantainhaven/common/log.h"
#include "plantainhaven/policy/placing/rendezvous.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

namespace plantainhaven::edge {
namespace {

using placing::CrashRecord;
using placing::CrashVerdict;

constexpr std::chrono::milliseconds kProbeTimeout{ 400 };
// Upper bound of the time that a report takes to another VM, so that a crash isn't taken for later
// than an answer that came after it.
constexpr std::chrono::milliseconds kReportTransitTime{ 100 };

// Whether the server's process has ended: its machine refuses connections. A server that
// doesn't answer may be cut off from this VM.
Task<bool>
HasEnded(TrafficState& aState, const BackendServer& aServer)
{
  beast::error_code fault;
  const auto ip = asio::ip::make_address(aServer.address, fault);
  if (fault) {
    co_return false;
  }
  beast::tcp_stream probe(aState.context);
  // The request whose attempt broke is waiting to be answered.
  const StopNotice ending(aState, StopPhase::kEnding, [&probe] { probe.cancel(); });
  probe.expires_after(kProbeTimeout);
  const Tcp::endpoint endpoint(ip, aServer.port);
  co_await probe.async_connect(endpoint, Into(fault));
  co_return fault == asio::error::connection_refused;
}

std::uint64_t
ProcessHash(const BackendServer& aServer)
{
  return StableHash(aServer.id + "@" +
                    std::to_string(aServer.startedAt.time_since_epoch().count()));
}

const char*
ToString(CrashVerdict aVerdict)
{
  switch (aVerdict) {
    case CrashVerdict::kUnsuspected:
      return "unsuspected";
    case CrashVerdict::kSuspected:
      return "suspected";
    case CrashVerdict::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

std::uint32_t
AgeOf(BootTime aTime, BootTime aNow)
{
  return static_cast<std::uint32_t>(ToMilliseconds(aNow - aTime).count());
}

} // namespace

Task<void>
RecordBrokenAttempt(TrafficState& aState,
                    std::string aRequestId,
                    placing::RequestDigest aDigest,
                    BackendServer aServer)
{
  const bool hasEnded = co_await HasEnded(aState, aServer);
  aState.metrics.Count(
    "plantainhaven_broken_attempts_total", "server", hasEnded ? "ended" : "alive");
  if (!hasEnded) {
    co_return;
  }
  const BootTime now = BootClock::Now();
  aState.crashes.OnCrash(aDigest, ProcessHash(aServer), now);
  Log(LogLevel::kWarning,
      "server_ended",
      { { "server", aServer.id },
        { "request", aRequestId },
        { "digest", aDigest },
        { "verdict", ToString(aState.crashes.VerdictOn(aDigest, now)) } });
}

void
RecordAnswer(TrafficState& aState, const placing::RequestDigest& aDigest)
{
  aState.crashes.OnAnswered(aDigest, BootClock::Now());
}

void
FillCrashes(placing::CrashLedger& aLedger, VmReport& aReport)
{
  const BootTime now = BootClock::Now();
  aReport.set_has_crash_news(aLedger.HasNews());
  for (const CrashRecord& record : aLedger.NextReport(now)) {
    SeenCrashes* const seen = aReport.add_crashes();
    seen->set_request(record.request);
    seen->set_is_answered(record.answeredAt != BootTime{});
    if (seen->is_answered()) {
      seen->set_answered_age_ms(AgeOf(record.answeredAt, now));
    }
    for (const CrashRecord::Crash& crash : record.crashes) {
      SeenCrash* const one = seen->add_crashes();
      one->set_server(crash.server);
      one->set_age_ms(AgeOf(crash.at, now));
    }
  }
}

void
MergeCrashes(placing::CrashLedger& aLedger, const VmReport& aReport)
{
  const BootTime now = BootClock::Now();
  for (const SeenCrashes& seen : aReport.crashes()) {
    CrashRecord record{ .request = seen.request() };
    if (seen.is_answered()) {
      record.answeredAt = now - std::chrono::milliseconds(seen.answered_age_ms());
    }
    for (const SeenCrash& crash : seen.crashes()) {
      const auto age = std::chrono::milliseconds(crash.age_ms()) + kReportTransitTime;
      record.crashes.push_back({ crash.server(), now - age });
    }
    aLedger.Merge(record, now);
  }
}

} // namespace plantainhaven::edge
