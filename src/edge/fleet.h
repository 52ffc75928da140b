#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "edge/traffic.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/fleet/peer_link.h"
#include "plantainhaven/policy/placing/connection_watchdog.h"
#include "plantainhaven/policy/placing/quota_ring.h"
#include "platform/store_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "edge.pb.h"
#include "peer.pb.h"

namespace plantainhaven::edge {

// What the fleet's state is told to.
struct FleetListener
{
  std::function<void(FleetView)> onView;
  std::function<void(QuotaRange)> onQuotaRange;
  // A report of a VM of this region, for the traffic thread.
  std::function<void(VmReport)> onRegionalReport;
  // What a VM of this region has read of the store.
  std::function<void(const std::string& aFrom, const TableNews&)> onTableUpdate;
  // Messages about tokens, for the traffic thread.
  std::function<void(Envelope)> onTokenMessage;
};

// The other VMs: rows in the store say who may exist and which part of the limits each may
// give out; messages say who lives. Runs on the control thread.
class Fleet
{
public:
  Fleet(asio::io_context& aContext,
        const EdgedSettings& aSettings,
        platform::StoreClient& aClient,
        Metrics& aMetrics,
        FleetListener aListener);

  // Begins to hear other VMs. kUnavailable when the port can't be had.
  Result<Done> Start();
  // Sends a message of the traffic thread; false when no connection took it.
  bool Send(const std::string& aEndpoint, Envelope aMessage);
  // Sends a message to the VMs of this region that were heard lately.
  void SendNear(const Envelope& aMessage);
  // VMs of this region that were heard lately, this one included.
  std::size_t NearCount() const;
  // True when a VM that was heard lately has had answers from the store for at least
  // `aTime`.
  bool HasStoreContact(std::chrono::milliseconds aTime) const;
  // Tells all VMs how this one is.
  void Report(VmReport aReport);
  // The store answers in this era; a newer one than before means that it came back from an
  // older copy.
  void OnEra(std::uint64_t aEra);

private:
  struct Member
  {
    VmRecord record;
    std::uint64_t rowVersion = 0;
    BootTime heardAt{};
    // The row was written in the era of the last read.
    bool isOfThisEra = true;
    placing::ConnectionWatchdog linkWatch;
    VmReport report;
  };

  Task<void> RunLink();
  Task<void> RunRows();
  Task<bool> ReadRows();
  // Takes over what the store says of this VM's range, as far as its row is of this era.
  void TakeOwnRow(const VmRecord& aRecord, std::uint64_t aVersion);
  Task<bool> RegisterSelf();
  // Registers this VM. While the store may have come back from a copy lately, a range that
  // only an older row names waits until living VMs have written theirs again.
  Task<bool> TryRegister();
  QuotaRange UnclaimedPart(const QuotaRange& aRange) const;
  Task<bool> GiveParts();
  void OnMessage(const Envelope& aMessage);
  void OnReport(const Envelope& aMessage);
  void Introduce();
  void PublishView();
  void PublishRange();
  void SendReport(Member& aMember, bool aIsIntroduction);
  bool IsNear(const Member& aMember) const;
  // Opens connections anew that have gone silent.
  void ResetSilent();
  // Counts the VMs that should be heard and warns when some are silent for long.
  void WatchHeard(std::size_t aHeard, BootTime aNow);
  bool IsHeard(const Member& aMember, BootTime aNow) const;
  VmRecord SelfRecord(const QuotaRange& aRange) const;
  std::vector<VmQuota> Parts() const;

  asio::io_context& context;
  const EdgedSettings& settings;
  platform::StoreClient& client;
  Metrics& metrics;
  FleetListener listener;
  ZmqPeerLink link;
  std::string self;
  std::string endpoint;
  std::uint64_t incarnation = 0;
  // All VMs with a row or heard, this one excluded.
  std::map<std::string, Member> members;
  // This VM's row as last read or written.
  std::uint64_t ownVersion = 0;
  QuotaRange ownRange;
  // The own row was written in the era of the last read.
  bool isOfThisEra = true;
  bool isRegistered = false;
  // Era of the store as last heard; 0 before the first answer.
  std::uint64_t era = 0;
  // Until then living VMs write again what the store has lost.
  BootTime eraSettlesAt{};
  asio::steady_timer rowTimer;
  VmReport ownReport;
  std::uint64_t reports = 0;
  BootTime tickedAt{};
  // Since when VMs with a row are silent; unset while all are heard.
  BootTime silentSince{};
  bool hasWarned = false;
};

} // namespace plantainhaven::edge
