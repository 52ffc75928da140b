#include "edge/store_follower.h"

#include "plantainhaven/common/log.h"
#include "platform/names.h"

#include <utility>

namespace plantainhaven::edge {
namespace {

// Pause after a call that failed.
constexpr std::chrono::milliseconds kRetryPause{ 200 };

} // namespace

TableFollower::TableFollower(asio::io_context& aContext,
                             platform::StoreClient& aClient,
                             Options aOptions,
                             Reader aReader)
  : timer(aContext)
  , client(aClient)
  , options(std::move(aOptions))
  , reader(std::move(aReader))
{
}

Task<void>
TableFollower::Run()
{
  while (true) {
    const BootTime startedAt = BootClock::Now();
    bool isDone = false;
    if (this->isWhole) {
      isDone = co_await this->ReadChanges();
    } else {
      isDone = co_await this->ReadAll();
    }
    this->reader.onRound();
    const auto passed = ToMilliseconds(BootClock::Now() - startedAt);
    const auto interval = isDone ? this->options.interval : kRetryPause;
    if (passed < interval) {
      co_await Sleep(this->timer, interval - passed);
    }
  }
}

void
TableFollower::OnResult(const Error* aError)
{
  if (aError != nullptr && !this->isLost) {
    Log(LogLevel::kWarning,
        "store_lost",
        { { "table", this->options.table },
          { "error", aError->message },
          { "version", this->version } });
  }
  if (aError == nullptr && this->isLost) {
    Log(LogLevel::kInfo,
        "store_regained",
        { { "table", this->options.table }, { "version", this->version } });
    this->reader.onRegained();
  }
  this->isLost = aError != nullptr;
  if (this->isLost) {
    this->contactSince = BootTime{};
  } else if (this->contactSince == BootTime{}) {
    this->contactSince = BootClock::Now();
  }
}

std::chrono::milliseconds
TableFollower::ContactTime() const
{
  if (this->contactSince == BootTime{}) {
    return std::chrono::milliseconds(0);
  }
  return ToMilliseconds(BootClock::Now() - this->contactSince);
}

Task<bool>
TableFollower::ReadAll()
{
  const Result<platform::TableRead> result = co_await this->client.ReadTable(this->options.table);
  this->OnResult(std::get_if<Error>(&result));
  if (!IsOk(result)) {
    co_return false;
  }
  const platform::TableRead& read = ValueOf(result);
  this->reader.onReset();
  for (const platform::StoreRow& row : read.rows) {
    this->reader.onRow(row);
  }
  this->version = read.version;
  this->isWhole = true;
  co_return true;
}

Task<bool>
TableFollower::ReadChanges()
{
  const Result<platform::TableChanges> result =
    co_await this->client.ReadChanges(this->options.table, this->version, this->options.wait);
  this->OnResult(std::get_if<Error>(&result));
  if (!IsOk(result)) {
    co_return false;
  }
  const platform::TableChanges& changes = ValueOf(result);
  if (changes.isHistoryGone) {
    Log(LogLevel::kInfo, "history_gone", { { "table", this->options.table } });
    this->isWhole = false;
    co_return true;
  }
  for (const platform::StoreRow& row : changes.rows) {
    this->reader.onRow(row);
  }
  this->version = changes.version;
  co_return true;
}

OperatorRows::OperatorRows(const StoreListener& aListener)
  : listener(aListener)
{
}

TableFollower::Reader
OperatorRows::MakeReader()
{
  return { .onReset = [this] { this->avoided.clear(); },
           .onRow = [this](const platform::StoreRow& aRow) { this->OnRow(aRow); },
           .onRound = [this] { this->OnRound(); },
           .onRegained = [] {} };
}

void
OperatorRows::OnRow(const platform::StoreRow& aRow)
{
  const std::string prefix(platform::kEvacuationPrefix);
  if (aRow.key == platform::kConfigurationKey) {
    this->OnConfiguration(aRow);
  } else if (aRow.key.substr(0, prefix.size()) == prefix) {
    const std::string domain = aRow.key.substr(prefix.size());
    if (aRow.isRemoved) {
      this->avoided.erase(domain);
    } else {
      this->avoided.insert(domain);
    }
  }
}

void
OperatorRows::OnConfiguration(const platform::StoreRow& aRow)
{
  if (aRow.isRemoved) {
    Log(LogLevel::kWarning, "configuration_removed", { { "kept_version", this->version } });
    return;
  }
  Result<Routing> decoded = platform::DecodeConfiguration(aRow.value);
  if (!IsOk(decoded)) {
    const Error& error = ErrorOf(decoded);
    Log(LogLevel::kError,
        "configuration_unreadable",
        { { "error", error.message },
          { "remedy", error.remedy },
          { "kept_version", this->version } });
    return;
  }
  Routing& routing = ValueOf(decoded);
  if (routing.version < this->version) {
    Log(LogLevel::kWarning,
        "configuration_older",
        { { "found", routing.version }, { "kept_version", this->version } });
    return;
  }
  this->version = routing.version;
  Log(LogLevel::kInfo,
      "configuration",
      { { "version", routing.version },
        { "row", aRow.version },
        { "routes", routing.RouteCount() },
        { "accounts", routing.accounts.size() } });
  this->listener.onRouting(std::make_shared<const Routing>(std::move(routing)));
}

void
OperatorRows::OnRound()
{
  if (this->avoided == this->published) {
    return;
  }
  this->published = this->avoided;
  std::string names;
  for (const std::string& domain : this->avoided) {
    names += (names.empty() ? "" : ",") + domain;
  }
  Log(LogLevel::kInfo, "avoided_domains", { { "domains", names } });
  this->listener.onAvoidedDomains({ this->avoided.begin(), this->avoided.end() });
}

ServerRows::ServerRows(const StoreListener& aListener,
                       const platform::RegionByDomain& aRegions,
                       std::function<bool()> aStoreStayedUp)
  : listener(aListener)
  , regions(aRegions)
  , storeStayedUp(std::move(aStoreStayedUp))
{
}

TableFollower::Reader
ServerRows::MakeReader()
{
  return { .onReset = [this] { this->registry.BeginRead(); },
           .onRow = [this](const platform::StoreRow& aRow) { this->OnRow(aRow); },
           .onRound = [this] { this->PublishChanges(); },
           .onRegained = [this] { this->registry.OnStoreRegained(BootClock::Now()); } };
}

void
ServerRows::OnRow(const platform::StoreRow& aRow)
{
  if (aRow.isRemoved) {
    Log(LogLevel::kInfo, "server_row_removed", { { "server", aRow.key }, { "row", aRow.version } });
    this->registry.OnRemoved(aRow.key);
    return;
  }
  const Result<BackendServer> decoded = platform::DecodeServer(aRow.key, aRow.value, this->regions);
  if (!IsOk(decoded)) {
    if (this->unreadable.insert(aRow.key).second) {
      Log(LogLevel::kWarning,
          "server_unreadable",
          { { "server", aRow.key }, { "error", ErrorOf(decoded).message } });
    }
    this->registry.OnUnreadable(aRow.key);
    return;
  }
  const BackendServer& server = ValueOf(decoded);
  const BackendServer* const known = this->registry.Find(server.id);
  const bool isNews = known == nullptr || known->isDraining != server.isDraining ||
                      known->startedAtUnixMs != server.startedAtUnixMs;
  if (isNews) {
    Log(LogLevel::kInfo,
        "server",
        { { "server", server.id },
          { "service", server.service },
          { "failure_domain", server.failureDomain },
          { "draining", server.isDraining },
          { "warmup_ms", server.warmupLeft.count() },
          { "started_ms", server.startedAtUnixMs },
          { "row", aRow.version } });
  }
  this->registry.OnReport(server);
}

void
ServerRows::PublishChanges()
{
  const BootTime now = BootClock::Now();
  if (auto servers = this->registry.TakeChanges(this->storeStayedUp(), now)) {
    this->listener.onServers(std::move(*servers), now);
  }
}

} // namespace plantainhaven::edge
