#include "plantainhaven/entry/backend_pool.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace plantainhaven {

namespace {

// Tells apart servers that have followed each other under one name.
std::string
IdleKey(const ServerEntry& aServer)
{
  return aServer.name + "@" + aServer.address + ":" + std::to_string(aServer.port);
}

// Connections are in order of their last answer, the latest last.
using IdleList = std::vector<ConnectionPointer>;

LedgerId
ConnectionsId(const std::string& aServer)
{
  return { BudgetId::SERVER_CONNECTIONS, aServer };
}

} // namespace

struct BackendPool::Impl
{
  Impl(BackendPoolOptions aOptions, BudgetGate& aBudgets)
    : options(aOptions)
    , budgets(aBudgets)
  {
  }

  ConnectionPointer TakeIdle(const std::string& aKey, ReuseRule aRule, BootTime aNow);
  ConnectionPointer TakeAnyIdle(const std::string& aKey);
  bool TakeBudget(const ServerEntry& aServer);
  void CloseExcess(const ServerEntry& aServer);
  void CloseUnusable(const std::unordered_set<std::string>& aKeys, BootTime aNow);

  BackendPoolOptions options;
  BudgetGate& budgets;
  mutable std::mutex mutex;
  std::unordered_map<std::string, IdleList> idle;
};

ConnectionPointer
BackendPool::Impl::TakeIdle(const std::string& aKey, ReuseRule aRule, BootTime aNow)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  IdleList& list = this->idle[aKey];
  if (list.empty()) {
    return nullptr;
  }
  const bool proven = aNow - list.back()->aliveAt <= this->options.proofOfLife;
  if (aRule == ReuseRule::kProven && !proven) {
    return nullptr;
  }
  const auto position = aRule == ReuseRule::kProven ? list.end() - 1 : list.begin();
  ConnectionPointer taken = std::move(*position);
  list.erase(position);
  return taken;
}

ConnectionPointer
BackendPool::Impl::TakeAnyIdle(const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  IdleList& list = this->idle[aKey];
  if (list.empty()) {
    return nullptr;
  }
  ConnectionPointer taken = std::move(list.front());
  list.erase(list.begin());
  return taken;
}

// Takes a place in the server's budget, if need be that of an idle connection, which
// is closed for it.
bool
BackendPool::Impl::TakeBudget(const ServerEntry& aServer)
{
  const LedgerId id = ConnectionsId(aServer.name);
  if (this->budgets.Take(id, kOneToken, std::chrono::nanoseconds(0)).Acquired()) {
    return true;
  }
  this->TakeAnyIdle(IdleKey(aServer)).reset();
  return this->budgets.Take(id, kOneToken, this->options.budgetWait).Acquired();
}

// A share that shrank or a grant that lapsed may leave more open than the budget allows.
void
BackendPool::Impl::CloseExcess(const ServerEntry& aServer)
{
  while (this->budgets.Exceeded(ConnectionsId(aServer.name))) {
    const ConnectionPointer excess = this->TakeAnyIdle(IdleKey(aServer));
    if (excess == nullptr) {
      return;
    }
  }
}

void
BackendPool::Impl::CloseUnusable(const std::unordered_set<std::string>& aKeys, BootTime aNow)
{
  IdleList dropped;
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto& [key, list] : this->idle) {
    const bool named = aKeys.contains(key);
    const auto firstBad = std::stable_partition(list.begin(), list.end(), [&](const auto& aKept) {
      const bool young = aNow - aKept->openedAt < this->options.longestAge;
      return named && young && aKept->connection.IsOpen();
    });
    dropped.insert(
      dropped.end(), std::make_move_iterator(firstBad), std::make_move_iterator(list.end()));
    list.erase(firstBad, list.end());
  }
}

BackendPool::BackendPool(BackendPoolOptions aOptions, BudgetGate& aBudgets)
  : impl(std::make_unique<Impl>(aOptions, aBudgets))
{
}

BackendPool::~BackendPool() = default;

std::variant<ConnectionPointer, AttemptEnd>
BackendPool::Acquire(const ServerEntry& aServer, ReuseRule aRule, BootTime aNow)
{
  while (ConnectionPointer kept = this->impl->TakeIdle(IdleKey(aServer), aRule, aNow)) {
    const bool young = aNow - kept->openedAt < this->impl->options.longestAge;
    if (young && kept->connection.IsOpen()) {
      kept->reused = true;
      return kept;
    }
  }
  if (!this->impl->TakeBudget(aServer)) {
    return AttemptEnd::kConnectionLimit;
  }
  HttpClientOptions options;
  options.address = aServer.address;
  options.port = aServer.port;
  options.connectTimeout = this->impl->options.connectTimeout;
  options.maxAnswer = this->impl->options.maxAnswer;
  auto fresh = std::make_unique<PooledConnection>(
    options, HeldToken(this->impl->budgets, ConnectionsId(aServer.name)));
  fresh->key = IdleKey(aServer);
  fresh->openedAt = aNow;
  fresh->aliveAt = aNow;
  if (!fresh->connection.Connect()) {
    return AttemptEnd::kConnect;
  }
  return fresh;
}

void
BackendPool::Return(ConnectionPointer aConnection, BootTime aAliveAt)
{
  const bool young = aAliveAt - aConnection->openedAt < this->impl->options.longestAge;
  if (!young || !aConnection->connection.IsOpen() || aConnection->token.Exceeded()) {
    return;
  }
  aConnection->aliveAt = aAliveAt;
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  IdleList& list = this->impl->idle[aConnection->key];
  const auto later = std::find_if(
    list.begin(), list.end(), [&](const auto& aKept) { return aKept->aliveAt > aAliveAt; });
  list.insert(later, std::move(aConnection));
}

void
BackendPool::Discard(ConnectionPointer aConnection, BootTime aSentAt)
{
  IdleList dropped;
  if (aConnection->reused) {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    IdleList& list = this->impl->idle[aConnection->key];
    const auto firstAlive = std::find_if(
      list.begin(), list.end(), [&](const auto& aKept) { return aKept->aliveAt > aSentAt; });
    dropped.assign(std::make_move_iterator(list.begin()), std::make_move_iterator(firstAlive));
    list.erase(list.begin(), firstAlive);
  }
  dropped.push_back(std::move(aConnection));
}

void
BackendPool::Trim(const RequestTables& aTables, BootTime aNow)
{
  std::unordered_set<std::string> keys;
  for (const ServiceEntry& service : aTables.Services()) {
    for (const RegionServers& region : service.regions) {
      for (const ServerEntry& server : region.servers) {
        keys.insert(IdleKey(server));
        this->impl->CloseExcess(server);
      }
    }
  }
  this->impl->CloseUnusable(keys, aNow);
}

std::size_t
BackendPool::IdleCount() const
{
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  std::size_t count = 0;
  for (const auto& [key, list] : this->impl->idle) {
    count += list.size();
  }
  return count;
}

} // namespace plantainhaven
