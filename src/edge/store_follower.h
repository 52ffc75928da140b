#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "plantainhaven/common/metrics.h"
#include "plantainhaven/policy/placing/routing.h"
#include "plantainhaven/policy/placing/table_catch_up.h"
#include "plantainhaven/policy/placing/table_replica.h"
#include "platform/decode.h"
#include "platform/store_client.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "edge.pb.h"
#include "peer.pb.h"

namespace plantainhaven::edge {

// Callbacks for the decoded contents of the store.
struct StoreListener
{
  std::function<void(RoutingPtr)> onRouting;
  std::function<void(std::vector<std::string>)> onAvoidedDomains;
  std::function<void(std::vector<BackendServer>, BootTime)> onServers;
};

// Connection to the other VMs in the region, which share the changes that they read from the
// store.
struct TableUpdateLink
{
  // Sends an update to all of them.
  std::function<void(const TableNews&)> send;
  // Sends a message to one of them, by its name.
  std::function<void(const std::string&, Envelope)> sendTo;
  // Number of VMs that share their reads, this one included.
  std::function<std::size_t()> readerCount;
  // Called within this VM when the era of the store changes.
  std::function<void(std::uint64_t)> onEra;
};

// Maintains a copy of one table of the store: reads the whole table, then its changes, and
// starts over when the store no longer has the history. Changes come from the store or from
// another VM in the region that has read them. Calls `onRow` for each row and `onResponse`
// after each response or applied update.
class TableFollower
{
public:
  struct Options
  {
    std::string table;
    std::chrono::milliseconds wait{ 700 };
    // Minimum time between the starts of two calls to the store.
    std::chrono::milliseconds interval{ 0 };
    // Name of this VM.
    std::string self;
    // Width of this VM's link in bytes per second; 0 if it neither asks for copies of the table nor
    // gives them.
    double linkBytesPerSecond = 0;
  };
  struct Reader
  {
    // The rows that follow replace all rows known before.
    std::function<void()> onReset;
    std::function<void(const platform::StoreRow&)> onRow;
    std::function<void()> onResponse;
    // The store responds again after failed calls, since the given time.
    std::function<void(BootTime)> onStoreReachable;
    // The store was restored from an older copy; the known state stays valid until the writers
    // have rewritten their rows.
    std::function<void(BootTime)> onStoreRolledBack;
  };

  TableFollower(asio::io_context& aContext,
                platform::StoreClient& aClient,
                Options aOptions,
                Reader aReader,
                TableUpdateLink aLink);
  // Runs until the context ends.
  Task<void> Run();
  // Time for which the store has responded to every call of this VM and of the VMs that share
  // their reads with it; zero while it doesn't respond.
  std::chrono::milliseconds ContactTime() const;
  // Handles a message of another VM in the region about this table.
  void OnMessage(const Envelope& aMessage);
  // Asks another VM for a copy if the one that was asked doesn't answer. Must be called
  // periodically.
  void RetryCopy();

private:
  // Applies rows that another VM in the region has read.
  void OnTableUpdate(const std::string& aFrom, const TableNews& aUpdate);
  void OnMissed(const std::string& aFrom, const TableNews& aNews);
  void OnCopyAsk(const std::string& aFrom, const TableCopyAsk& aAsk);
  void OnCopy(const std::string& aFrom, const TableCopy& aCopy);
  // Another VM's answer is arriving: the table has newer rows.
  void OnAnswerBegun(std::uint64_t aBytes);
  bool ExchangesCopies() const { return this->options.linkBytesPerSecond > 0; }
  Task<void> AwaitPollTurn();
  Task<bool> ReadAll();
  Task<bool> ReadChanges();
  void OnResult(const Error* aError);
  void OnStoreReachable(BootTime aSince);
  // Switches to a newer era: the whole table must be read again.
  void EnterEra(std::uint64_t aEra);
  // Applies what the store has answered, and passes it on.
  void OnAnswer(const placing::TableUpdate& aAnswer);
  void Broadcast(const placing::TableUpdate& aUpdate, std::uint64_t aAnswerBytes = 0) const;
  void Publish(const placing::TableUpdate& aUpdate);

  asio::steady_timer timer;
  platform::StoreClient& client;
  Options options;
  Reader reader;
  TableUpdateLink link;
  std::mt19937_64 random;
  PollCoordinator coordinator;
  placing::TableReplica replica;
  placing::TableCatchUp catchUp;
  placing::CopyAllowance allowance;
  // The compressed rows of the replica's version; kept once they were asked for.
  std::optional<TableCopy> packed;
  // A copy has made the call to the store that goes on needless.
  bool isReadSuperseded = false;
  bool isStoreUnreachable = false;
  BootTime contactSince{};
  // True if the current contact began when the store became reachable again.
  bool hasStoreReturned = false;
  BootTime answeredAt{};
};

// Rows written by the operator: the configuration and the failure domains to drain.
class OperatorRows
{
public:
  explicit OperatorRows(const StoreListener& aListener);
  TableFollower::Reader MakeReader();

private:
  void OnRow(const platform::StoreRow& aRow);
  void OnConfiguration(const platform::StoreRow& aRow);
  void PublishAvoidedDomains();

  const StoreListener& listener;
  std::uint64_t version = 0;
  std::set<std::string> avoidedDomains;
  std::set<std::string> publishedDomains;
  // Until this time a domain that is being drained stays drained, even if the restored copy of
  // the store has no row for it.
  BootTime keepPublishedUntil{};
};

// Rows written by the backend servers.
class ServerRows
{
public:
  // `aStoreStayedUp` returns whether another VM has been in contact with the store throughout
  // the grace period for missing server reports.
  ServerRows(const StoreListener& aListener,
             const platform::RegionByDomain& aRegions,
             std::function<bool()> aStoreStayedUp);
  TableFollower::Reader MakeReader();
  // Publishes the servers if they have changed. Must be called periodically because the grace
  // period of a server can expire without any response of the store.
  void PublishChanges();

private:
  void OnRow(const platform::StoreRow& aRow);

  const StoreListener& listener;
  const platform::RegionByDomain& regions;
  std::function<bool()> storeStayedUp;
  placing::ServerRegistry registry;
  // Keys of rows whose decoding error has already been logged.
  std::set<std::string> unreadable;
};

} // namespace plantainhaven::edge
