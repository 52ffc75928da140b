#include "plantainhaven/policy/placing/token_buckets.h"
#include "policy/placing/placing_support.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>

namespace plantainhaven::placing {
namespace {

using std::chrono::milliseconds;

constexpr double kRate = 100;
constexpr double kBurst = 100;

// The range of one of `aCount` VMs that own equal ranges of the ring.
constexpr BootTime kForever = BootTime::max();

QuotaRange
RangeOf(std::size_t aVm, std::size_t aCount)
{
  const auto width = kQuotaRingSize / static_cast<std::uint32_t>(aCount);
  const auto begin = width * static_cast<std::uint32_t>(aVm);
  return { begin, begin + width };
}

struct Message
{
  BootTime arrivesAt{};
  std::size_t from = 0;
  std::size_t to = 0;
  bool isGrant = false;
  double amount = 0;
  BootTime requestedAt{};
};

// VMs that acquire, lend and borrow tokens over links that delay and drop messages, and that are
// killed and restarted.
class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed)
    : random(aSeed)
  {
    for (std::size_t i = 0; i < kVms; ++i) {
      this->vmBuckets.push_back(this->Start(i, At(milliseconds(0))));
    }
  }

  void Run(milliseconds aTime, bool aWithKills)
  {
    std::discrete_distribution<std::size_t> caller({ 20, 5, 1, 1, 1 });
    for (int tick = 0; tick < aTime.count(); ++tick) {
      const BootTime now = At(milliseconds(tick));
      this->Deliver(now);
      if (aWithKills && this->random() % 700 == 0) {
        const std::size_t killed = this->random() % kVms;
        this->vmBuckets[killed] = this->Start(killed, now);
      }
      // Demand of several times the rate, most of it at one VM.
      for (int i = 0; i < 3; ++i) {
        if (this->vmBuckets[caller(this->random)]->TryAcquire("a", now).acquired) {
          this->acquired.push_back(now);
        }
      }
      for (std::size_t vm = 0; vm < kVms && tick % 50 == 0; ++vm) {
        this->SendBorrowRequests(vm, now);
      }
    }
  }

  // The maximum number of tokens acquired in any window.
  std::size_t MaxInWindow(milliseconds aWindow) const
  {
    std::size_t maxCount = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < this->acquired.size(); ++last) {
      while (this->acquired[last] - this->acquired[first] > aWindow) {
        ++first;
      }
      maxCount = std::max(maxCount, last - first + 1);
    }
    return maxCount;
  }
  std::size_t Acquired() const { return this->acquired.size(); }

private:
  static constexpr std::size_t kVms = 5;

  std::unique_ptr<TokenBuckets> Start(std::size_t aVm, BootTime aNow)
  {
    auto buckets = std::make_unique<TokenBuckets>(aNow);
    buckets->SetLimits({ { "a", kRate, kBurst } }, aNow);
    buckets->SetRanges({ RangeOf(aVm, kVms) }, kForever, aNow);
    return buckets;
  }

  void SendBorrowRequests(std::size_t aVm, BootTime aNow)
  {
    for (const BorrowRequest& request : this->vmBuckets[aVm]->CollectBorrowRequests(aNow)) {
      const std::size_t other = (aVm + 1 + this->random() % (kVms - 1)) % kVms;
      this->Send({ aNow, aVm, other, false, request.amount, aNow }, aNow);
    }
  }

  void Send(Message aMessage, BootTime aNow)
  {
    if (this->random() % 10 == 0) {
      return;
    }
    aMessage.arrivesAt = aNow + milliseconds(1 + this->random() % 60);
    this->messages.push_back(aMessage);
  }

  void Deliver(BootTime aNow)
  {
    std::deque<Message> due;
    std::erase_if(this->messages, [&](const Message& aMessage) {
      if (aMessage.arrivesAt <= aNow) {
        due.push_back(aMessage);
      }
      return aMessage.arrivesAt <= aNow;
    });
    for (const Message& message : due) {
      TokenBuckets& buckets = *this->vmBuckets[message.to];
      if (message.isGrant) {
        buckets.OnGrant("a", message.amount, message.requestedAt, aNow);
        continue;
      }
      const double lent = buckets.Lend("a", message.amount, aNow);
      if (lent > 0) {
        this->Send({ aNow, message.to, message.from, true, lent, message.requestedAt }, aNow);
      }
    }
  }

  std::mt19937_64 random;
  std::vector<std::unique_ptr<TokenBuckets>> vmBuckets;
  std::deque<Message> messages;
  std::vector<BootTime> acquired;
};

TEST_CASE("Tokens acquired on all VMs in any window stay within rate and burst")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Fleet fleet(seed);
    fleet.Run(std::chrono::seconds(8), seed % 2 == 0);
    CAPTURE(seed);
    CHECK(static_cast<double>(fleet.MaxInWindow(std::chrono::seconds(1))) <= kBurst + kRate + 1);
    CHECK(static_cast<double>(fleet.MaxInWindow(std::chrono::seconds(5))) <=
          kBurst + 5 * kRate + 1);
  }
}

TEST_CASE("Lending moves tokens to the VMs with demand")
{
  Fleet fleet(7);
  fleet.Run(std::chrono::seconds(8), false);
  // Without lending, four fifths of the rate would remain unused on VMs with little demand.
  CHECK(static_cast<double>(fleet.Acquired()) > 0.6 * 8 * kRate);
}

// Guards against division of the burst into equal fractions per VM: with 90 VMs and a burst of 40
// no VM had a whole token, so nearly every request was rejected far below the rate limit.
TEST_CASE("Some VMs own whole tokens of a small account for any number of VMs")
{
  constexpr std::size_t kManyVms = 90;
  struct Case
  {
    double rate;
    double burst;
    std::size_t minHolders;
  };
  const Case cases[] = { { 40, 40, 4 }, { 8, 8, 4 }, { 3, 3, 1 }, { 400, 400, 40 } };
  for (const Case& entry : cases) {
    CAPTURE(entry.rate, entry.burst);
    std::size_t holders = 0;
    double lent = 0;
    for (std::size_t vm = 0; vm < kManyVms; ++vm) {
      TokenBuckets buckets(At(milliseconds(0)));
      buckets.SetLimits({ { "small", entry.rate, entry.burst } }, At(milliseconds(0)));
      buckets.SetRanges({ RangeOf(vm, kManyVms) }, kForever, At(milliseconds(0)));
      double own = 0;
      for (int i = 0; i < 100; ++i) {
        own += buckets.Lend("small", 1, At(std::chrono::seconds(10)));
      }
      holders += own > 0 ? 1 : 0;
      lent += own;
    }
    CHECK(holders >= entry.minHolders);
    CHECK(lent <= entry.burst);
    CHECK(lent >= 0.5 * entry.burst);
  }
}

TEST_CASE("Accounts without a limit always acquire a token")
{
  struct Case
  {
    std::string name;
    std::vector<TokenLimit> limits;
  };
  const Case cases[] = { { "unknown account", {} }, { "rate of 0", { { "a", 0, 0 } } } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    TokenBuckets buckets(At(milliseconds(0)));
    buckets.SetLimits(entry.limits, At(milliseconds(0)));
    CHECK(buckets.TryAcquire("a", At(milliseconds(1))).acquired);
  }
}

TEST_CASE("A failed acquisition returns the time until the bucket refills by one token")
{
  TokenBuckets buckets(At(milliseconds(0)));
  buckets.SetLimits({ { "a", 5, 10 } }, At(milliseconds(0)));
  buckets.SetRanges({ { 0, kQuotaRingSize } }, kForever, At(milliseconds(0)));
  const TokenAcquisition acquisition = buckets.TryAcquire("a", At(milliseconds(0)));
  CHECK_FALSE(acquisition.acquired);
  CHECK(acquisition.retryAfter == milliseconds(200));
}

} // namespace
} // namespace plantainhaven::placing
