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

// Copies the configuration from a peer while the store is down. Pure: messages go out
// as values. One peer is followed at a time; silence makes it try the next.
class PeerBootstrap
{
public:
  // `aReplyTo` is where answers reach this VM.
  PeerBootstrap(std::string aSelf, std::string aReplyTo, std::vector<std::string> aPeers);
  ~PeerBootstrap();
  PeerBootstrap(const PeerBootstrap&) = delete;
  PeerBootstrap& operator=(const PeerBootstrap&) = delete;

  // Call every few tens of milliseconds; asks for what is still missing.
  std::vector<OutgoingEnvelope> OnTick(BootTime aNow);
  // Takes an answer. Chunks whose digest doesn't match are dropped and asked for again.
  void OnAnswer(const SnapshotAnswer& aAnswer, BootTime aNow);
  // The whole copy, once; nothing until then.
  std::optional<Configuration> Take();

  // Chunks asked for at once.
  static constexpr std::size_t kWindow = 16;
  // Wait for an answer before an ask is repeated.
  static constexpr std::chrono::milliseconds kRepeatAfter{ 300 };
  // Silence of a peer before the next one is tried.
  static constexpr std::chrono::milliseconds kNextPeerAfter{ 1500 };

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Answers the asks of starting peers from this VM's own copy, which must be of an
// accepted revision when it is taken.
class SnapshotServer
{
public:
  SnapshotServer();
  ~SnapshotServer();
  SnapshotServer(const SnapshotServer&) = delete;
  SnapshotServer& operator=(const SnapshotServer&) = delete;

  // True while the copy is older than kKeepFor, or missing.
  bool WantsCopy(BootTime aNow) const;
  // Takes a copy of a configuration at an accepted revision.
  void SetCopy(const Configuration& aConfiguration, BootTime aNow);
  // The answer to an ask; nothing when there is no copy or no such chunk.
  std::optional<SnapshotAnswer> Answer(const SnapshotAsk& aAsk) const;

  // Age up to which one copy serves all askers.
  static constexpr std::chrono::seconds kKeepFor{ 10 };

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
