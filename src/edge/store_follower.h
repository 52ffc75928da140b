#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/routing.h"
#include "platform/decode.h"
#include "platform/store_client.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "edge.pb.h"
#include "peer.pb.h"

namespace plantainhaven::edge {

// Whom the follower tells what the store holds.
struct StoreListener
{
  std::function<void(RoutingPtr)> onRouting;
  std::function<void(std::vector<std::string>)> onAvoidedDomains;
  std::function<void(std::vector<BackendServer>, BootTime)> onServers;
};

// The other VMs of the region, as far as they share what they read.
struct NewsLink
{
  // Tells all of them.
  std::function<void(const TableNews&)> send;
  // How many read along, this VM included.
  std::function<std::size_t()> readerCount;
  // Tells this VM's own parts of the store's era.
  std::function<void(std::uint64_t)> onEra;
};

// Keeps a copy of one table of the store: reads it whole, then its changes, and starts
// again when the history is gone. Changes come from the store or from a VM of the region
// that has read them. Calls `onRow` for each row and `onRound` after each answer.
class TableFollower
{
public:
  struct Options
  {
    std::string table;
    std::chrono::milliseconds wait{ 700 };
    // Shortest time between two calls.
    std::chrono::milliseconds interval{ 0 };
    // Name of this VM.
    std::string self;
  };
  struct Reader
  {
    // All that was known is replaced by the rows that follow.
    std::function<void()> onReset;
    std::function<void(const platform::StoreRow&)> onRow;
    std::function<void()> onRound;
    // The store answers again, since the given time, after calls that failed.
    std::function<void(BootTime)> onRegained;
    // The store has come back from an older copy; what is known holds until its writers have
    // written again.
    std::function<void(BootTime)> onRewound;
  };

  TableFollower(asio::io_context& aContext,
                platform::StoreClient& aClient,
                Options aOptions,
                Reader aReader,
                NewsLink aLink);
  // Runs until the context ends.
  Task<void> Run();
  // How long the store has answered every call of this VM and of those it hears from; zero
  // while it doesn't.
  std::chrono::milliseconds ContactTime() const;
  // What a VM of the region has read.
  void OnNews(const std::string& aFrom, const TableNews& aNews);

private:
  Task<void> AwaitTurn();
  Task<bool> ReadAll();
  Task<bool> ReadChanges();
  void OnResult(const Error* aError);
  void OnRegained(BootTime aSince);
  // Takes over a newer era: everything is to be read anew.
  void EnterEra(std::uint64_t aEra);
  void Apply(const std::vector<platform::StoreRow>& aRows, std::uint64_t aVersion);
  void Tell(const std::vector<platform::StoreRow>& aRows, std::uint64_t aAfter) const;

  asio::steady_timer timer;
  platform::StoreClient& client;
  Options options;
  Reader reader;
  NewsLink link;
  std::mt19937_64 random;
  PollCoordinator turn;
  bool isWhole = false;
  bool isLost = false;
  // Counts within `era` only.
  std::uint64_t version = 0;
  std::uint64_t era = 0;
  BootTime contactSince{};
  // The contact began with the return of a store that had been away.
  bool hasReturned = false;
  BootTime answeredAt{};
};

// What the operator wrote: configuration and failure domains to be emptied.
class OperatorRows
{
public:
  explicit OperatorRows(const StoreListener& aListener);
  TableFollower::Reader MakeReader();

private:
  void OnRow(const platform::StoreRow& aRow);
  void OnConfiguration(const platform::StoreRow& aRow);
  void OnRound();

  const StoreListener& listener;
  std::uint64_t version = 0;
  std::set<std::string> avoided;
  std::set<std::string> published;
  // Until then a domain that is being emptied stays so, even if the store's copy doesn't
  // know it.
  BootTime keepAvoidedUntil{};
};

// What the backend servers wrote.
class ServerRows
{
public:
  // `aStoreStayedUp` tells whether another VM had answers from the store all along.
  ServerRows(const StoreListener& aListener,
             const platform::RegionByDomain& aRegions,
             std::function<bool()> aStoreStayedUp);
  TableFollower::Reader MakeReader();
  // Publishes the servers if they have changed. Call it often: what is kept for a time ends
  // without an answer of the store.
  void PublishChanges();

private:
  void OnRow(const platform::StoreRow& aRow);

  const StoreListener& listener;
  const platform::RegionByDomain& regions;
  std::function<bool()> storeStayedUp;
  placing::ServerRegistry registry;
  // Rows that were found unreadable and logged.
  std::set<std::string> unreadable;
};

} // namespace plantainhaven::edge
