#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "edge/traffic.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/fleet/peer_link.h"
#include "plantainhaven/policy/placing/quota_parts.h"
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
  std::function<void(double)> onQuotaPart;
  // A message for the traffic thread.
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
  // Sends a message of the traffic thread.
  void Send(const std::string& aEndpoint, Envelope aMessage);
  // True when a VM that was heard lately has had answers from the store for at least
  // `aTime`.
  bool HasStoreContact(std::chrono::milliseconds aTime) const;
  // Tells all VMs how this one is.
  void Report(VmReport aReport);

private:
  struct Member
  {
    VmRecord record;
    std::uint64_t rowVersion = 0;
    BootTime heardAt{};
    // When the connection to it was last opened anew.
    BootTime resetAt{};
    VmReport report;
  };

  Task<void> RunLink();
  Task<void> RunRows();
  Task<bool> ReadRows();
  Task<bool> RegisterSelf();
  Task<bool> GiveParts();
  void OnMessage(const Envelope& aMessage);
  void OnReport(const Envelope& aMessage);
  void Introduce();
  void PublishView();
  void PublishPart();
  // Opens the connections to silent VMs anew: one that outlived a cut may stay silent for
  // long after the cut has ended.
  void ResetSilent();
  bool IsHeard(const Member& aMember, BootTime aNow) const;
  VmRecord SelfRecord(std::uint32_t aPart) const;
  std::vector<QuotaPart> Parts() const;

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
  std::uint32_t ownPart = 0;
  bool isRegistered = false;
  VmReport ownReport;
  BootTime tickedAt{};
};

} // namespace plantainhaven::edge
