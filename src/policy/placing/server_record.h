#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/placing/placement.h"
#include "plantainhaven/policy/placing/routing.h"

#include <chrono>
#include <cstdint>

namespace plantainhaven::placing {

// What this VM has seen of one backend server.
class ServerRecord
{
public:
  ServerRecord(BackendServer aEntry, BootTime aReadAt);

  // Takes over a newer report of the same process.
  void Update(const BackendServer& aEntry, BootTime aReadAt);
  // Takes the server as cold until a report that is newer than `aNow` says otherwise.
  void SuspectRestart(BootTime aNow);

  void OnSent(BootTime aNow);
  void OnEnded(SendOutcome aOutcome, std::chrono::milliseconds aTook, BootTime aNow);
  void OnLoad(const ServerLoad& aLoad, BootTime aNow);
  // Another VM has seen so many requests there.
  void OnPeerLoad(int aRequests, BootTime aNow);

  // Requests that run or wait there, as far as this VM can tell. `aUsualTime` is the time in
  // milliseconds that a request of the service takes.
  double LoadAt(double aUsualTime, BootTime aNow) const;
  // Slots that are worth using: fewer where the server is slower than `aUsualTime`.
  double UsableSlots(double aUsualTime) const;
  bool IsEjected(BootTime aNow) const { return aNow < this->ejectedUntil; }
  bool IsCold(BootTime aNow) const { return aNow < this->coldUntil; }
  bool MaySendWhileCold(std::chrono::nanoseconds aInterval, BootTime aNow) const
  {
    return aNow >= this->coldSentAt + aInterval;
  }

  const BackendServer& Entry() const { return this->entry; }
  std::uint64_t Hash() const { return this->hash; }
  // Its failure domain is being emptied.
  bool IsAvoided() const { return this->isAvoided; }
  void SetAvoided(bool aIsAvoided) { this->isAvoided = aIsAvoided; }

private:
  void Eject(std::chrono::milliseconds aLeast, BootTime aNow);

  BackendServer entry;
  std::uint64_t hash = 0;
  bool isAvoided = false;
  int inFlight = 0;
  // Requests of other VMs, from the newest load report.
  double others = 0;
  BootTime othersAt{};
  // Moving averages: failures per send, and milliseconds per response.
  double failureShare = 0;
  double usualTime = 0;
  BootTime ejectedUntil{};
  std::chrono::milliseconds ejection{ 0 };
  BootTime shedUntil{};
  BootTime coldUntil{};
  BootTime coldSentAt{};
  BootTime brokenAt{};
};

} // namespace plantainhaven::placing
