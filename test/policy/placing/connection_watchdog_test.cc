#include "plantainhaven/policy/placing/connection_watchdog.h"

#include <deque>
#include <optional>

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{ 10 };
// Handshakes of TCP and of the message protocol, in round trips.
constexpr int kHandshakeRoundTrips = 3;
// A VM of another region is considered failed after this time without a report.
constexpr milliseconds kFailureTimeout{ 4800 };

// A VM's connection to the other VM. It accepts no messages until it is established, and may stall
// later.
struct Connection
{
  std::optional<BootTime> connectStartedAt;
  bool isStalled = false;

  bool IsEstablished(milliseconds aRoundTrip, BootTime aNow) const
  {
    return this->connectStartedAt &&
           aNow - *this->connectStartedAt >= kHandshakeRoundTrips * aRoundTrip;
  }
};

struct Report
{
  BootTime arrivesAt{};
  bool receivesReports = false;
};

struct Vm
{
  ConnectionWatchdog watchdog;
  Connection out;
  std::deque<Report> inbox;
  std::optional<BootTime> lastReportAt;

  bool Receives(BootTime aNow) const
  {
    return this->lastReportAt && aNow - *this->lastReportAt < kFailureTimeout;
  }
};

// Two VMs that report to each other.
class Pair
{
public:
  Pair(milliseconds aInterval, milliseconds aRoundTrip)
    : interval(aInterval)
    , roundTrip(aRoundTrip)
  {
  }

  void RunFor(milliseconds aTime)
  {
    const BootTime end = this->now + aTime;
    for (; this->now < end; this->now += kStep) {
      this->Step(this->left, this->right);
      this->Step(this->right, this->left);
    }
  }
  bool BothReceive() const
  {
    return this->left.Receives(this->now) && this->right.Receives(this->now);
  }

  Vm left;
  Vm right;
  int reconnects = 0;

private:
  void Step(Vm& aFrom, Vm& aTo)
  {
    while (!aFrom.inbox.empty() && aFrom.inbox.front().arrivesAt <= this->now) {
      aFrom.lastReportAt = this->now;
      aFrom.watchdog.OnReport(aFrom.inbox.front().receivesReports);
      aFrom.inbox.pop_front();
    }
    const milliseconds sinceStart =
      std::chrono::duration_cast<milliseconds>(this->now - BootTime{});
    if (sinceStart % milliseconds(500) == milliseconds(0) &&
        aFrom.watchdog.TakeReconnect(this->interval, this->now)) {
      aFrom.out = {};
      ++this->reconnects;
    }
    const bool isTurn = sinceStart % this->interval == milliseconds(0);
    const bool isResendTurn = sinceStart % milliseconds(500) == milliseconds(0);
    if (isTurn || (isResendTurn && aFrom.watchdog.NeedsResend())) {
      this->Send(aFrom, aTo);
    }
  }

  void Send(Vm& aFrom, Vm& aTo)
  {
    const bool isEstablished = aFrom.out.IsEstablished(this->roundTrip, this->now);
    aFrom.watchdog.OnSent(isEstablished, this->now);
    if (!aFrom.out.connectStartedAt) {
      aFrom.out.connectStartedAt = this->now;
    }
    if (isEstablished && !aFrom.out.isStalled) {
      aTo.inbox.push_back({ this->now + this->roundTrip / 2, aFrom.Receives(this->now) });
    }
  }

  milliseconds interval;
  milliseconds roundTrip;
  BootTime now{ std::chrono::seconds(1) };
};

struct Distance
{
  const char* name;
  milliseconds interval;
  milliseconds roundTrip;
};

const Distance kDistances[] = {
  { "in a region", milliseconds(500), milliseconds(0) },
  { "20 ms between regions", milliseconds(1500), milliseconds(20) },
  { "110 ms between regions", milliseconds(1500), milliseconds(110) },
  { "a slow process", milliseconds(1500), milliseconds(400) },
};

} // namespace

TEST_CASE("VMs that report infrequently receive each other's reports for any round trip")
{
  for (const Distance& distance : kDistances) {
    CAPTURE(distance.name);
    Pair pair(distance.interval, distance.roundTrip);
    pair.RunFor(milliseconds(4000));
    CHECK(pair.BothReceive());
    for (int second = 0; second < 30; ++second) {
      pair.RunFor(milliseconds(1000));
      CAPTURE(second);
      CHECK(pair.BothReceive());
    }
    CHECK(pair.reconnects == 0);
  }
}

TEST_CASE("A stalled connection is replaced")
{
  for (const Distance& distance : kDistances) {
    CAPTURE(distance.name);
    Pair pair(distance.interval, distance.roundTrip);
    pair.RunFor(milliseconds(5000));
    pair.left.out.isStalled = true;
    // The time to detect the missing reports, to wait for a response and to reconnect.
    pair.RunFor(kFailureTimeout + milliseconds(8000));
    CHECK(pair.reconnects >= 1);
    CHECK(pair.BothReceive());
    const int untilRecovered = pair.reconnects;
    pair.RunFor(milliseconds(20000));
    CHECK(pair.reconnects == untilRecovered);
  }
}

TEST_CASE("A connection that has accepted no message yet is not replaced")
{
  ConnectionWatchdog watchdog;
  const BootTime start{ std::chrono::seconds(100) };
  for (int i = 0; i < 40; ++i) {
    watchdog.OnSent(false, start + i * milliseconds(500));
    CHECK(watchdog.NeedsResend());
    CHECK_FALSE(watchdog.TakeReconnect(milliseconds(500), start + i * milliseconds(500)));
  }
}

} // namespace plantainhaven::placing
