#pragma once

#include "plantainhaven/entry/request_handler.h"
#include "plantainhaven/platform/backend_standin.h"
#include "plantainhaven/platform/memory_platform.h"
#include "plantainhaven/standin/free_port.h"
#include "policy/request/request_config.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace plantainhaven {

// Budgets that grant everything but what a test closes, and count what is held.
class FakeBudgets : public BudgetGate
{
public:
  AcquireResult Take(const LedgerId& aId,
                     TokenThousandths aAmount,
                     std::chrono::nanoseconds) override
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto refusal = this->refusals.find(aId.type);
    if (refusal != this->refusals.end()) {
      return { refusal->second, std::chrono::seconds(3) };
    }
    this->held[aId.type] += aAmount;
    return {};
  }
  void Release(const LedgerId& aId, TokenThousandths aAmount) override
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->held[aId.type] -= aAmount;
  }
  bool Exceeded(const LedgerId& aId) override
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto limit = this->limits.find(aId.type);
    return limit != this->limits.end() && this->held[aId.type] > limit->second;
  }
  void Limit(BudgetId::Type aType, TokenThousandths aLimit)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->limits[aType] = aLimit;
  }
  void Refuse(BudgetId::Type aType, AcquireRefusal aRefusal)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->refusals[aType] = aRefusal;
  }
  void Allow()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->refusals.clear();
  }
  TokenThousandths Held(BudgetId::Type aType)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->held[aType];
  }

private:
  std::mutex mutex;
  std::map<BudgetId::Type, AcquireRefusal> refusals;
  std::map<BudgetId::Type, TokenThousandths> held;
  std::map<BudgetId::Type, TokenThousandths> limits;
};

constexpr char kSmallKey[] = "key-of-small-account";
constexpr char kLargeKey[] = "key-of-large-account";

// A request handler over in-process backend servers and an in-memory platform. The
// service "s" runs in region a, where the handler stands, with servers s0, s1, ...
// each in a failure domain of its own; others may be added in other regions.
class RequestFixture
{
public:
  explicit RequestFixture(std::size_t aServers = 2,
                          std::chrono::milliseconds aTimeout = std::chrono::seconds(1))
  {
    this->config.AddService("s", static_cast<int>(aTimeout.count()));
    for (std::size_t i = 0; i < aServers; ++i) {
      this->AddServer();
    }
    this->config.AddRoute("pages", "GET", "/pages", "s", false, true);
    this->config.AddRoute("fees", "POST", "/fees", "s", false, false);
    this->config.AddRoute("open", "GET", "/open", "s", true, true);
    this->config.AddAccount("small", kSmallKey);
    this->config.AddAccount("large", kLargeKey);
    this->Publish();
  }

  void AddServer(const std::string& aRegion = "a")
  {
    const std::string name = "s" + std::to_string(this->servers.size());
    BackendStandinOptions options;
    options.name = name;
    options.port = FreePort();
    options.work = std::chrono::milliseconds(2);
    this->servers.push_back(std::make_unique<BackendStandin>(options));
    this->servers.back()->Start();
    this->config.AddServer(name, "s", aRegion, name + "-domain", options.port);
  }

  // Makes what was added to the configuration the newest tables.
  void Publish()
  {
    const auto tables = RequestTables::Build(this->config.Apply());
    this->steering.Update(*tables, BootClock::Now());
    this->view.Publish(tables, BootClock::Now() + std::chrono::hours(1));
  }
  void MakeStale() { this->view.Extend(BootClock::Now() - std::chrono::nanoseconds(1)); }

  void SetFaults(const BackendFault& aFault)
  {
    for (const auto& server : this->servers) {
      server->SetFault(aFault);
    }
  }

  static HttpRequest Ask(const std::string& aMethod,
                         const std::string& aTarget,
                         const std::string& aKey = kSmallKey)
  {
    HttpRequest request;
    request.method = aMethod;
    request.target = aTarget;
    request.path = aTarget.substr(0, aTarget.find('?'));
    if (!aKey.empty()) {
      request.headers.Add("Authorization", "Bearer " + aKey);
    }
    return request;
  }

  // Runs over all servers, of all ids together and of the id that ran most.
  std::uint64_t Runs() const
  {
    std::uint64_t total = 0;
    for (const auto& server : this->servers) {
      total += server->Executions().total();
    }
    return total;
  }
  std::map<std::string, std::uint32_t> RunsById() const
  {
    std::map<std::string, std::uint32_t> runs;
    for (const auto& server : this->servers) {
      const ExecutionList list = server->Executions();
      for (const Execution& execution : list.executions()) {
        runs[execution.id()] += execution.count();
      }
    }
    return runs;
  }

  ConfigWriter config;
  std::vector<std::unique_ptr<BackendStandin>> servers;
  MemoryPlatform platform;
  FakeBudgets budgets;
  Metrics metrics;
  ViewState view;
  Steering steering{ { "a", 1 } };
  BackendPool pool{ {}, this->budgets };
  LinkCharges links{ "a", this->budgets };
  ClaimStore claims{ this->platform, "vm-1" };
  RequestHandler handler{ { "vm-1", "a" },
                          { this->view,
                            this->steering,
                            this->pool,
                            this->budgets,
                            this->links,
                            this->claims,
                            this->metrics } };
};

inline bool
SaysNotRun(const HttpResponse& aResponse)
{
  return aResponse.headers.Get("Plantainhaven-Not-Run") == "true";
}

inline std::string
ReasonIn(const HttpResponse& aResponse)
{
  return std::string(aResponse.headers.Get("Plantainhaven-Reason"));
}

} // namespace plantainhaven
