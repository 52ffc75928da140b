#pragma once

#include "plantainhaven/common/time.h"
#include "plantainhaven/entry/budget_gate.h"
#include "plantainhaven/http/client.h"
#include "plantainhaven/policy/request/request_tables.h"
#include "plantainhaven/policy/request/retry_rule.h"

#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace plantainhaven {

struct BackendPoolOptions
{
  std::chrono::milliseconds connectTimeout{ 300 };
  std::size_t maxAnswer = 4 << 20;
  // A kept connection is used for a request only if it answered this recently.
  std::chrono::nanoseconds proofOfLife{ std::chrono::milliseconds(200) };
  // Connections are closed at this age, well before their budget lapses.
  std::chrono::nanoseconds longestAge{ std::chrono::seconds(30) };
  // Longest wait for room in a server's connection budget.
  std::chrono::nanoseconds budgetWait{ std::chrono::milliseconds(20) };
};

// What a connection may stay open beyond the longest request over it once this VM no
// longer holds its place in the budget: idle ones are closed by the next Trim().
constexpr std::chrono::seconds kConnectionUseMargin{ 1 };

// An open connection with its place in the server's connection budget.
struct PooledConnection
{
  PooledConnection(HttpClientOptions aOptions, HeldToken aToken)
    : token(std::move(aToken))
    , connection(std::move(aOptions))
  {
  }

  // Declared first, so that the place is given back after the connection is closed.
  HeldToken token;
  HttpConnection connection;
  // Server and endpoint that it leads to.
  std::string key;
  BootTime openedAt{};
  // When the last answer came over it.
  BootTime aliveAt{};
  // True when it has carried an exchange before this one.
  bool reused = false;
};

using ConnectionPointer = std::unique_ptr<PooledConnection>;

// Which kept connection may be taken.
enum class ReuseRule
{
  kProven,  // One that has just answered, else a new one: for requests.
  kStalest, // The one that has been idle longest, else a new one: for probes.
};

// Connections to the backend servers. Safe for several threads.
class BackendPool
{
public:
  BackendPool(BackendPoolOptions aOptions, BudgetGate& aBudgets);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // An open connection, or kConnect or kNoConnection; nothing has been sent then.
  std::variant<ConnectionPointer, AttemptEnd> Acquire(const ServerEntry& aServer,
                                                      ReuseRule aRule,
                                                      BootTime aNow);
  // Keeps a connection over which the last whole answer came at `aAliveAt`.
  void Return(ConnectionPointer aConnection, BootTime aAliveAt);
  // Closes a connection over which the exchange begun at `aSentAt` failed, and with a
  // reused one all that have been silent at least as long: what made this one silent
  // may have struck them too.
  void Discard(ConnectionPointer aConnection, BootTime aSentAt);
  // Closes connections that are too old, closed by the server or of servers that
  // the tables don't name any more, and idle ones beyond the server's budget. Call
  // several times a second.
  void Trim(const RequestTables& aTables, BootTime aNow);
  std::size_t IdleCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
