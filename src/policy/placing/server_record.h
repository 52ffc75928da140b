#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/named_limit.h"
#include "plantainhaven/policy/placing/placement.h"
#include "plantainhaven/policy/placing/routing.h"
#include "plantainhaven/policy/placing/send_bucket.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace plantainhaven::placing {

// State and statistics that this VM keeps for one backend server.
class ServerRecord
{
public:
  ServerRecord(BackendServer aEntry, BootTime aReadAt);

  // Applies a newer report of the same process.
  void Update(const BackendServer& aEntry, BootTime aReadAt);
  // Treats the server as cold until its next report, or for a fixed time without one.
  void SuspectRestart(BootTime aNow);

  void OnSent(BootTime aNow);
  BootTime SentAt() const { return this->sentAt; }
  void OnEnded(SendOutcome aOutcome, std::chrono::milliseconds aDuration, BootTime aNow);
  void OnLoad(const ServerLoad& aLoad, BootTime aNow);
  // Records the number of requests on the server that another VM reported.
  void OnPeerLoad(int aRequests, BootTime aNow);

  // Estimates the requests that run or wait on the server. `aMeanResponseTime` is the mean
  // response time of the service in milliseconds.
  double LoadAt(double aMeanResponseTime, BootTime aNow) const;
  // Returns the slots to use: fewer if the server is much slower than `aMeanResponseTime`, in
  // milliseconds.
  double UsableSlots(double aMeanResponseTime) const;
  bool IsEjected(BootTime aNow) const { return aNow < this->ejectedUntil; }
  bool IsCold(BootTime aNow) const { return aNow < this->coldUntil; }

  const NamedLimit& Limit() const { return this->limit; }
  // Tokens of this VM's part of the warm-up rate, and of the rate limit.
  SendBucket& WarmupTokens() { return this->warmupTokens; }
  const SendBucket& WarmupTokens() const { return this->warmupTokens; }
  SendBucket& LimitTokens() { return this->limitTokens; }
  const SendBucket& LimitTokens() const { return this->limitTokens; }
  // Applies a statement of the server that names a rate limit, or none. Returns whether the limit
  // has changed.
  bool OnLimit(std::optional<double> aRate, BootTime aStatedAt);

  const BackendServer& Entry() const { return this->entry; }
  std::uint64_t Hash() const { return this->hash; }
  // The server has rejected a request and wants none until the given time.
  void OnBackOff(BootTime aUntil) { this->backOffUntil = std::max(this->backOffUntil, aUntil); }
  BootTime BackOffUntil() const { return this->backOffUntil; }
  // A response of the server's process has said that it is leaving.
  bool IsLeaving() const { return this->isLeaving; }
  void SetLeaving() { this->isLeaving = true; }
  // Whether requests may be sent to the server at all.
  bool AcceptsRequests() const
  {
    return !this->entry.isDraining && !this->isAvoided && !this->isLeaving;
  }
  // Whether the server's failure domain is being drained.
  bool IsAvoided() const { return this->isAvoided; }
  void SetAvoided(bool aIsAvoided) { this->isAvoided = aIsAvoided; }

private:
  void Eject(std::chrono::milliseconds aMinimum, BootTime aNow);

  BackendServer entry;
  std::uint64_t hash = 0;
  bool isAvoided = false;
  bool isLeaving = false;
  BootTime backOffUntil{};
  int inFlight = 0;
  // Requests of other VMs according to the newest load report.
  double peerRequests = 0;
  BootTime peerRequestsAt{};
  // Moving averages: failures per attempt, and response time in milliseconds.
  double failureRate = 0;
  double meanResponseTime = 0;
  BootTime ejectedUntil{};
  std::chrono::milliseconds ejection{ 0 };
  BootTime shedUntil{};
  BootTime coldUntil{};
  BootTime sentAt{};
  BootTime brokenAt{};
  NamedLimit limit;
  SendBucket warmupTokens;
  SendBucket limitTokens;
};

} // namespace plantainhaven::placing
