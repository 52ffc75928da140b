#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/standin/server_standin.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven::soak {

// A request as sent by its caller.
struct SentRequest
{
  std::string vm;
  std::string method;
  std::string path;
  std::string account;
  bool isIdempotent = false;
  BootTime sentAt{};
};

// A response as received by the caller. Status 0 means that the connection ended without a
// complete response.
struct ReceivedResponse
{
  unsigned status = 0;
  std::string body;
  bool isSigned = false;
  BootTime at{};
};

// Records what callers and backend servers observe and finds violations of the guaranteed
// behavior. Not thread-safe; reads no clock.
class Ledger
{
public:
  struct Limits
  {
    // Requests per second of an account, and its burst in requests.
    double rate = 0;
    double burst = 0;
    std::chrono::seconds window{ 5 };
    // Fraction and number of requests by which the limit may be exceeded.
    double overage = 0.1;
    double slack = 20;
  };

  explicit Ledger(Limits aLimits)
    : limits(aLimits)
  {
  }

  void OnSent(const std::string& aId, SentRequest aRequest);
  void OnRun(const standin::ServerRun& aRun, const std::string& aService, BootTime aNow);
  // Records that a server names a rate limit from now on, or none.
  void OnLimit(const std::string& aServer, std::optional<double> aRate, BootTime aNow);
  void OnResponse(const std::string& aId, ReceivedResponse aAnswer);
  // Records that a VM was killed or paused: its open requests may end in any way.
  void OnVmDisturbed(const std::string& aVm, BootTime aNow);

  // Returns one line for each violation.
  std::vector<std::string> Broken() const;
  // Returns the fraction of the requests sent from `aFrom` to `aUntil` that were served. Ignores
  // the limited account.
  double ServedPart(BootTime aFrom, BootTime aUntil) const;
  std::string Summary() const;

private:
  struct Entry
  {
    SentRequest sent;
    ReceivedResponse got;
    bool isAnswered = false;
    int runs = 0;
    bool ranAfterAnswer = false;
  };

  // Requests at a server while it names one rate limit.
  struct LimitEpoch
  {
    double rate = 0;
    BootTime namedAt{};
    // When the server first told a VM of its limit.
    std::map<std::string, BootTime> toldAt;
    // Runs that the limit binds.
    std::vector<BootTime> runs;
  };

  // Records a run at a server that names a limit, unless its VM is excused.
  void CountLimitedRun(const std::string& aVm, const standin::ServerRun& aRun, BootTime aNow);
  void CheckLimit(const std::string& aServer,
                  const LimitEpoch& aEpoch,
                  std::vector<std::string>& aInto) const;
  bool WasDisturbedBefore(const std::string& aVm, BootTime aTime) const;
  void Break(const std::string& aRule, const std::string& aText);
  void CheckEntry(const std::string& aId,
                  const Entry& aEntry,
                  std::vector<std::string>& aInto) const;
  bool WasDisturbed(const Entry& aEntry) const;

  Limits limits;
  std::map<std::string, Entry> entries;
  std::vector<BootTime> limitedRuns;
  // By server.
  std::map<std::string, LimitEpoch> limitEpochs;
  std::multimap<std::string, BootTime> disturbed;
  std::vector<std::string> broken;
};

// The account with a rate limit, and the account without one.
constexpr const char* kLimitedAccount = "limited";
constexpr const char* kFreeAccount = "free";

} // namespace plantainhaven::soak
