#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/routing.h"
#include "platform/decode.h"
#include "platform/store_client.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "edge.pb.h"

namespace plantainhaven::edge {

// Whom the follower tells what the store holds.
struct StoreListener
{
  std::function<void(RoutingPtr)> onRouting;
  std::function<void(std::vector<std::string>)> onAvoidedDomains;
  std::function<void(std::vector<BackendServer>, BootTime)> onServers;
};

// Keeps a copy of one table of the store: reads it whole, then its changes, and starts
// again when the history is gone. Calls `onRow` for each row and `onRound` after each
// answer.
class TableFollower
{
public:
  struct Options
  {
    std::string table;
    std::chrono::milliseconds wait{ 1000 };
    // Shortest time between two calls.
    std::chrono::milliseconds interval{ 0 };
  };
  struct Reader
  {
    // All that was known is replaced by the rows that follow.
    std::function<void()> onReset;
    std::function<void(const platform::StoreRow&)> onRow;
    std::function<void()> onRound;
    // The store answers again after calls that failed.
    std::function<void()> onRegained;
  };

  TableFollower(asio::io_context& aContext,
                platform::StoreClient& aClient,
                Options aOptions,
                Reader aReader);
  // Runs until the context ends.
  Task<void> Run();
  // How long the store has answered every call; zero while it doesn't.
  std::chrono::milliseconds ContactTime() const;

private:
  Task<bool> ReadAll();
  Task<bool> ReadChanges();
  void OnResult(const Error* aError);

  asio::steady_timer timer;
  platform::StoreClient& client;
  Options options;
  Reader reader;
  bool isWhole = false;
  bool isLost = false;
  std::uint64_t version = 0;
  BootTime contactSince{};
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
