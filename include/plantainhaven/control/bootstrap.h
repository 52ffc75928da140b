#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/policy/config/configuration.h"
#include "plantainhaven/policy/view/fleet_view.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peer.pb.h"

namespace plantainhaven {

// Downloads a configuration snapshot from a peer while the store is unavailable. Performs
// no I/O: outgoing messages are returned as values. Downloads from one peer at a time and
// fails over to the next when that peer stops responding.
class PeerBootstrap
{
public:
  // `aReplyTo` is the endpoint at which this VM receives responses.
  PeerBootstrap(std::string aSelf, std::string aReplyTo, std::vector<std::string> aPeers);
  ~PeerBootstrap();
  PeerBootstrap(const PeerBootstrap&) = delete;
  PeerBootstrap& operator=(const PeerBootstrap&) = delete;

  // Returns the requests for missing chunks that are due. Call it every few tens of
  // milliseconds.
  std::vector<OutgoingEnvelope> OnTick(BootTime aNow);
  // Processes a response. A chunk whose digest doesn't match is dropped and requested again.
  void OnAnswer(const SnapshotAnswer& aAnswer, BootTime aNow);
  // Returns the complete configuration once; nullopt before the download is complete and
  // after the first successful call.
  std::optional<Configuration> Take();

  // Maximum number of chunk requests in flight.
  static constexpr std::size_t kMaxRequestsInFlight = 16;
  // Timeout after which an unanswered request is retried.
  static constexpr std::chrono::milliseconds kRequestTimeout{ 300 };
  // Time without a response from a peer before failing over to the next one.
  static constexpr std::chrono::milliseconds kPeerTimeout{ 1500 };

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Serves snapshot requests of starting peers from a copy of this VM's configuration. The
// revision of the copy must be accepted when the copy is made.
class SnapshotServer
{
public:
  SnapshotServer();
  ~SnapshotServer();
  SnapshotServer(const SnapshotServer&) = delete;
  SnapshotServer& operator=(const SnapshotServer&) = delete;

  // Returns true when there is no copy or the copy is older than kMaxCopyAge.
  bool NeedsCopy(BootTime aNow) const;
  // Stores a copy of a configuration at an accepted revision.
  void SetCopy(const Configuration& aConfiguration, BootTime aNow);
  // Returns the response to a request; nullopt when there is no copy or no such chunk.
  std::optional<SnapshotAnswer> Answer(const SnapshotAsk& aAsk) const;

  // Maximum age of the copy that all requests share.
  static constexpr std::chrono::seconds kMaxCopyAge{ 10 };

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
