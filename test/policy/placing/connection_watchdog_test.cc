#include "plantainhaven/policy/placing/connection_watchdog.h"

#include <deque>
#include <optional>

#include <catch2/catch.hpp>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{ 10 };
// Handshakes of TCP and of the message protocol, in round trips.
constexpr int kHandshakeTrips = 3;
// A VM of another region counts as silent after this.
constexpr milliseconds kSilent{ 4800 };

// One VM's connection to the other one, which carries nothing before it is open and may go
// silent.
struct Connection
{
  std::optional<BootTime> openedAt;
  bool isSilent = false;

  bool Carries(milliseconds aRoundTrip, BootTime aNow) const
  {
    return this->openedAt && aNow - *this->openedAt >= kHandshakeTrips * aRoundTrip;
  }
};

struct Report
{
  BootTime arrivesAt{};
  bool hearsReceiver = false;
};

struct Vm
{
  ConnectionWatchdog watch;
  Connection out;
  std::deque<Report> inbox;
  std::optional<BootTime> heardAt;

  bool Hears(BootTime aNow) const { return this->heardAt && aNow - *this->heardAt < kSilent; }
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
  bool BothHear() const { return this->left.Hears(this->now) && this->right.Hears(this->now); }

  Vm left;
  Vm right;
  int resets = 0;

private:
  void Step(Vm& aFrom, Vm& aTo)
  {
    while (!aFrom.inbox.empty() && aFrom.inbox.front().arrivesAt <= this->now) {
      aFrom.heardAt = this->now;
      aFrom.watch.OnReport(aFrom.inbox.front().hearsReceiver);
      aFrom.inbox.pop_front();
    }
    const milliseconds sinceStart =
      std::chrono::duration_cast<milliseconds>(this->now - BootTime{});
    if (sinceStart % milliseconds(500) == milliseconds(0) &&
        aFrom.watch.TakeReconnect(this->interval, this->now)) {
      aFrom.out = {};
      ++this->resets;
    }
    const bool isTurn = sinceStart % this->interval == milliseconds(0);
    const bool isOwedTurn = sinceStart % milliseconds(500) == milliseconds(0);
    if (isTurn || (isOwedTurn && aFrom.watch.NeedsResend())) {
      this->Send(aFrom, aTo);
    }
  }

  void Send(Vm& aFrom, Vm& aTo)
  {
    const bool carries = aFrom.out.Carries(this->roundTrip, this->now);
    aFrom.watch.OnSent(carries, this->now);
    if (!aFrom.out.openedAt) {
      aFrom.out.openedAt = this->now;
    }
    if (carries && !aFrom.out.isSilent) {
      aTo.inbox.push_back({ this->now + this->roundTrip / 2, aFrom.Hears(this->now) });
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

TEST_CASE("VMs that report seldom hear each other, whatever the round trip")
{
  for (const Distance& distance : kDistances) {
    CAPTURE(distance.name);
    Pair pair(distance.interval, distance.roundTrip);
    pair.RunFor(milliseconds(4000));
    CHECK(pair.BothHear());
    for (int second = 0; second < 30; ++second) {
      pair.RunFor(milliseconds(1000));
      CAPTURE(second);
      CHECK(pair.BothHear());
    }
    CHECK(pair.resets == 0);
  }
}

TEST_CASE("A connection that has gone silent is opened anew")
{
  for (const Distance& distance : kDistances) {
    CAPTURE(distance.name);
    Pair pair(distance.interval, distance.roundTrip);
    pair.RunFor(milliseconds(5000));
    pair.left.out.isSilent = true;
    // The other VM's silence, the wait for an answer and a new connection.
    pair.RunFor(kSilent + milliseconds(8000));
    CHECK(pair.resets >= 1);
    CHECK(pair.BothHear());
    const int untilMended = pair.resets;
    pair.RunFor(milliseconds(20000));
    CHECK(pair.resets == untilMended);
  }
}

TEST_CASE("A connection that carried nothing yet is left alone")
{
  ConnectionWatchdog watch;
  const BootTime start{ std::chrono::seconds(100) };
  for (int i = 0; i < 40; ++i) {
    watch.OnSent(false, start + i * milliseconds(500));
    CHECK(watch.NeedsResend());
    CHECK_FALSE(watch.TakeReconnect(milliseconds(500), start + i * milliseconds(500)));
  }
}

} // namespace plantainhaven::placing
