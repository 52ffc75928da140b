#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/standin/server_standin.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhaven::soak {

// A request as its caller knows it.
struct Sent
{
  std::string vm;
  std::string method;
  std::string path;
  std::string account;
  bool isIdempotent = false;
  BootTime sentAt{};
};

// What a caller got; status 0 stands for a connection that ended without a whole answer.
struct Got
{
  unsigned status = 0;
  std::string body;
  bool isSigned = false;
  BootTime at{};
};

// What callers and backend servers saw, and the promises that it breaks. Not thread-safe;
// reads no clock.
class Ledger
{
public:
  struct Limits
  {
    // Requests of an account a second, and how many more at once.
    double rate = 0;
    double burst = 0;
    std::chrono::seconds window{ 5 };
    // Part and number by which the limit may be passed.
    double overage = 0.1;
    double slack = 20;
  };

  explicit Ledger(Limits aLimits)
    : limits(aLimits)
  {
  }

  void OnSent(const std::string& aId, Sent aRequest);
  void OnRun(const standin::ServerRun& aRun, const std::string& aService, BootTime aNow);
  void OnGot(const std::string& aId, Got aAnswer);
  // A VM was killed, or stood still: its open requests may end in any way.
  void OnVmDisturbed(const std::string& aVm, BootTime aNow);

  // One line for each broken promise.
  std::vector<std::string> Broken() const;
  // Part of the requests sent in a time that were served.
  double ServedPart(BootTime aFrom, BootTime aUntil) const;
  std::string Summary() const;

private:
  struct Entry
  {
    Sent sent;
    Got got;
    bool isAnswered = false;
    int runs = 0;
    bool ranAfterAnswer = false;
  };

  void Break(const std::string& aRule, const std::string& aText);
  void CheckEntry(const std::string& aId,
                  const Entry& aEntry,
                  std::vector<std::string>& aInto) const;
  std::size_t MostRunsInWindow() const;
  bool WasDisturbed(const Entry& aEntry) const;

  Limits limits;
  std::map<std::string, Entry> entries;
  std::vector<BootTime> limitedRuns;
  std::multimap<std::string, BootTime> disturbed;
  std::vector<std::string> broken;
};

// The account whose limit is checked, and the one without a limit.
constexpr const char* kLimitedAccount = "limited";
constexpr const char* kFreeAccount = "free";

} // namespace plantainhaven::soak
