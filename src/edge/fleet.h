#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "edge/traffic.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/fleet/peer_link.h"
#include "plantainhaven/policy/placing/connection_watchdog.h"
#include "plantainhaven/policy/placing/fleet_roster.h"
#include "plantainhaven/policy/placing/quota_ring.h"
#include "platform/store_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "edge.pb.h"
#include "peer.pb.h"

namespace plantainhaven::edge {

// The VM as one that relays requests; std::nullopt if it doesn't accept any.
std::optional<placing::RelayVm>
RelayOf(const std::string& aName, const VmReport& aReport);

// Callbacks for changes of the fleet's state; all run on the control thread.
struct FleetListener
{
  std::function<void(FleetView)> onView;
  std::function<void(QuotaRange)> onQuotaRange;
  // A report that tells loads, rate limits or ends of backend servers, for the traffic thread.
  std::function<void(VmReport)> onServerNews;
  // Rows of the store that a VM in this region has read, and copies of tables.
  std::function<void(const Envelope&)> onTableMessage;
  // Requests for tokens and grants, for the traffic thread.
  std::function<void(Envelope)> onTokenMessage;
};

// Membership of the fleet. Rows in the store name the VMs that may exist and the part of the
// limits that each may grant; periodic reports tell which VMs are alive. Runs on the control
// thread.
class Fleet
{
public:
  Fleet(asio::io_context& aContext,
        const EdgedSettings& aSettings,
        platform::StoreClient& aClient,
        Metrics& aMetrics,
        FleetListener aListener);

  // Starts receiving messages of other VMs. Returns kUnavailable when the port can't be bound.
  Result<Done> Start();
  // Sends a message on behalf of the traffic thread; false when it can't be queued on the
  // connection.
  bool Send(const std::string& aEndpoint, Envelope aMessage);
  // Sends a message to a VM that was heard or that the store lists, by its name.
  void SendToVm(const std::string& aVm, Envelope aMessage);
  // Sends a message to the VMs in this region that are alive.
  void SendToRegion(const Envelope& aMessage);
  // Number of VMs in this region that are alive, this one included.
  std::size_t RegionVmCount() const;
  // True when another VM that is alive has been in contact with the store for at least
  // `aMinDuration`.
  bool HasStoreContact(std::chrono::milliseconds aMinDuration) const;
  // Sends the state of this VM to the others: on each call within the region, less often to
  // other regions.
  void Report(VmReport aReport);
  // Records the era of the store. An era newer than the one known before means that the store
  // was restored from an older copy.
  void OnEra(std::uint64_t aEra);

private:
  struct Member
  {
    VmRecord record;
    std::uint64_t rowVersion = 0;
    BootTime heardAt{};
    // True if the row was written in the current era of the store.
    bool isCurrentEra = true;
    placing::ConnectionWatchdog linkWatch;
    VmReport report;
  };

  Task<void> RunLink();
  Task<void> RunRows();
  Task<bool> ReadRows();
  // Adopts the range in this VM's row if the row is of the current era.
  void ApplyOwnRow(const VmRecord& aRecord, std::uint64_t aVersion);
  Task<bool> RegisterSelf();
  // Registers this VM. If the store may just have been restored from a copy, a range that is
  // named only by a row of an earlier era isn't claimed before live VMs have had time to
  // rewrite their rows.
  Task<bool> TryRegister();
  QuotaRange UnclaimedQuota(const QuotaRange& aRange) const;
  Task<bool> ShareQuota();
  void OnMessage(const Envelope& aMessage);
  void OnReport(const Envelope& aMessage);
  void SendIntroductions();
  void PublishView();
  void PublishRange();
  void SendReport(Member& aMember, bool aIsIntroduction);
  bool IsSameRegion(const Member& aMember) const;
  // Reconnects to VMs whose connection has gone silent.
  void ResetSilentLinks();
  // Updates the metrics of VMs alive and expected, and logs a warning when some stay silent.
  void TrackSilentVms(std::size_t aAliveCount, BootTime aNow);
  bool IsAlive(const Member& aMember, BootTime aNow) const;
  VmRecord SelfRecord(const QuotaRange& aRange) const;
  std::vector<VmQuota> QuotaShares() const;

  asio::io_context& context;
  const EdgedSettings& settings;
  platform::StoreClient& client;
  Metrics& metrics;
  FleetListener listener;
  ZmqPeerLink link;
  std::string self;
  std::string endpoint;
  std::uint64_t incarnation = 0;
  // All VMs that have a row or have sent a report, this one excluded.
  std::map<std::string, Member> members;
  placing::FleetRoster roster;
  // Version of this VM's row as last read or written; 0 if there is none.
  std::uint64_t ownVersion = 0;
  QuotaRange ownRange;
  // True if this VM's row was written in the current era of the store.
  bool isCurrentEra = true;
  bool isRegistered = false;
  // Latest known era of the store; 0 before the first response.
  std::uint64_t era = 0;
  // Until this time live VMs rewrite the rows that the store has lost.
  BootTime eraSettledAt{};
  asio::steady_timer rowTimer;
  VmReport ownReport;
  std::uint64_t reportCount = 0;
  BootTime lastPollAt{};
  // Start of the period in which some expected VMs are silent; unset while all are alive.
  BootTime silentSince{};
  bool hasWarnedOfSilence = false;
};

} // namespace plantainhaven::edge
