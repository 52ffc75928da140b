#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "edge/traffic.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/fleet/peer_link.h"
#include "plantainhaven/policy/placing/connection_watchdog.h"
#include "plantainhaven/policy/placing/fleet_roster.h"
#include "plantainhaven/policy/placing/quota_ownership.h"
#include "platform/store_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
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
  // The units that this VM may grant. `aOnApplied` is to be called on the control thread once
  // none but these are granted any more.
  std::function<void(const QuotaGrant&, std::function<void()> aOnApplied)> onQuota;
  // A report that tells loads, rate limits or ends of backend servers, for the traffic thread.
  std::function<void(VmReport)> onServerNews;
  // Rows of the store that a VM in this region has read, and copies of tables.
  std::function<void(const Envelope&)> onTableMessage;
  // Requests for tokens and grants, for the traffic thread.
  std::function<void(Envelope)> onTokenMessage;
};

// Membership of the fleet, and this VM's part of the limits. Rows in the store name the VMs that
// may exist and who owns which part; periodic reports tell which VMs are alive. What to change is
// decided by QuotaOwnership. Runs on the control thread.
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
  // Begins to leave this VM's part of the limits to others.
  void BeginHandOver();
  // True once that is done, or if there is nobody to leave it to.
  bool IsHandedOver() const;

private:
  struct Member
  {
    VmRecord record;
    // The row as last read, and its version; 0 if there is none.
    VmRecord row;
    std::uint64_t rowVersion = 0;
    BootTime heardAt{};
    // When the VM was first known, and since when it has been ready.
    BootTime knownAt{};
    BootTime readySince{};
    placing::ConnectionWatchdog linkWatch;
    VmReport report;
    // What the last read of the store showed of the VM, and the number of reports to it that
    // still are to tell that.
    SeenRow seenRow;
    int seenRowReports = 0;
    // The next report tells the VM that it has gained ranges of the quota.
    bool hasQuotaNews = false;
  };

  Task<void> RunLink();
  Task<void> RunRows();
  // Reads the rows if that is due and makes the next change. Returns the pause until the next call
  // of the store may follow.
  Task<std::chrono::milliseconds> StepRows();
  Task<bool> ReadRows();
  Task<bool> Apply(placing::QuotaChange aChange);
  platform::RowWrite WriteOf(const placing::QuotaChange& aChange) const;
  // Tells VMs that they have gained ranges.
  void TellHeirs(const placing::QuotaChange& aChange);
  void ForgetLostMembers();
  std::vector<placing::QuotaPeer> QuotaPeers(BootTime aNow) const;
  void FillQuota(VmReport& aReport, BootTime aNow) const;
  // Hands the traffic thread what it may grant now.
  void PublishQuota();
  // Waits until the traffic thread grants no more than that.
  Task<void> AwaitQuotaApplied();
  bool IsMissed(const Member& aMember, BootTime aNow) const;
  bool IsSettled(const Member& aMember, BootTime aNow) const;
  void OnMessage(const Envelope& aMessage);
  void OnReport(const Envelope& aMessage);
  void SendIntroductions();
  void PublishView();
  void SendReport(Member& aMember, bool aIsIntroduction);
  bool IsSameRegion(const Member& aMember) const;
  // Reconnects to VMs whose connection has gone silent.
  void ResetSilentLinks();
  // Updates the metrics of VMs alive and expected, and logs a warning when some stay silent.
  void TrackSilentVms(std::size_t aAliveCount, BootTime aNow);
  bool IsAlive(const Member& aMember, BootTime aNow) const;
  VmRecord SelfRecord() const;

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
  placing::QuotaOwnership ownership;
  // The last grant that was published, and the number of those that aren't applied yet.
  QuotaGrant grant;
  int pendingGrants = 0;
  bool wasLapsed = false;
  std::mt19937_64 random;
  asio::steady_timer rowTimer;
  asio::steady_timer grantTimer;
  VmReport ownReport;
  std::uint64_t reportCount = 0;
  BootTime lastPollAt{};
  // Start of the period in which some expected VMs are silent; unset while all are alive.
  BootTime silentSince{};
  bool hasWarnedOfSilence = false;
};

} // namespace plantainhaven::edge
