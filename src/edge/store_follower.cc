#include "edge/store_follower.h"

#include "plantainhaven/common/log.h"
#include "platform/names.h"

#include <utility>

namespace plantainhaven::edge {
namespace {

// Changes up to this size are told to the other VMs of the region; larger ones they read
// from the store, whose link is wider than a VM's.
constexpr std::size_t kMostNewsBytes = 8 << 10;
// An answer of the store that is older says nothing of now: two long polls.
constexpr std::chrono::milliseconds kContactHolds{ 1500 };
// Time during which a return of the store is told to other VMs; longer than servers take to
// report again.
constexpr std::chrono::milliseconds kReturnIsNews{ 5000 };

double
Draw(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

std::size_t
BytesOf(const std::vector<platform::StoreRow>& aRows)
{
  std::size_t bytes = 0;
  for (const platform::StoreRow& row : aRows) {
    bytes += row.key.size() + row.value.size();
  }
  return bytes;
}

std::vector<platform::StoreRow>
RowsOf(const TableNews& aNews)
{
  std::vector<platform::StoreRow> rows;
  rows.reserve(static_cast<std::size_t>(aNews.rows_size()));
  for (const NewsRow& row : aNews.rows()) {
    rows.push_back({ row.key(), row.value(), row.version(), row.removed() });
  }
  return rows;
}

} // namespace

TableFollower::TableFollower(asio::io_context& aContext,
                             platform::StoreClient& aClient,
                             Options aOptions,
                             Reader aReader,
                             NewsLink aLink)
  : timer(aContext)
  , client(aClient)
  , options(std::move(aOptions))
  , reader(std::move(aReader))
  , link(std::move(aLink))
  , random(std::random_device{}())
  , turn(this->options.self, { .wait = this->options.wait }, Draw(this->random))
{
}

Task<void>
TableFollower::Run()
{
  while (true) {
    co_await this->AwaitTurn();
    const BootTime startedAt = BootClock::Now();
    bool isDone = false;
    if (this->isWhole) {
      isDone = co_await this->ReadChanges();
    } else {
      isDone = co_await this->ReadAll();
    }
    this->reader.onRound();
    const auto passed = ToMilliseconds(BootClock::Now() - startedAt);
    if (isDone && passed < this->options.interval) {
      co_await Sleep(this->timer, this->options.interval - passed);
    }
  }
}

Task<void>
TableFollower::AwaitTurn()
{
  while (true) {
    const auto left = this->turn.NextPollAt() - BootClock::Now();
    if (left <= BootClock::duration(0)) {
      co_return;
    }
    co_await Sleep(this->timer, ToMilliseconds(left) + std::chrono::milliseconds(1));
  }
}

void
TableFollower::OnRegained(BootTime aSince)
{
  Log(LogLevel::kInfo,
      "store_regained",
      { { "table", this->options.table }, { "version", this->version } });
  this->isLost = false;
  this->hasReturned = true;
  this->reader.onRegained(aSince);
}

void
TableFollower::EnterEra(std::uint64_t aEra)
{
  const bool isFirst = this->era == 0;
  this->era = aEra;
  this->link.onEra(aEra);
  if (isFirst) {
    return;
  }
  Log(LogLevel::kWarning,
      "store_era",
      { { "table", this->options.table }, { "era", aEra }, { "version", this->version } });
  this->version = 0;
  this->isWhole = false;
  this->hasReturned = true;
  this->reader.onRewound(BootClock::Now());
}

void
TableFollower::OnResult(const Error* aError)
{
  const BootTime now = BootClock::Now();
  if (aError != nullptr) {
    this->turn.OnOwnFailure(this->link.readers(), now);
    this->contactSince = BootTime{};
    if (!this->isLost) {
      Log(LogLevel::kWarning,
          "store_lost",
          { { "table", this->options.table },
            { "error", aError->message },
            { "version", this->version } });
    }
    this->isLost = true;
    return;
  }
  this->turn.OnOwnResponse(now);
  if (this->contactSince == BootTime{}) {
    this->contactSince = now;
  }
  this->answeredAt = now;
  if (this->isLost) {
    this->OnRegained(now);
  }
}

std::chrono::milliseconds
TableFollower::ContactTime() const
{
  const BootTime now = BootClock::Now();
  if (this->contactSince == BootTime{} || now - this->answeredAt > kContactHolds) {
    return std::chrono::milliseconds(0);
  }
  return ToMilliseconds(now - this->contactSince);
}

Task<bool>
TableFollower::ReadAll()
{
  const Result<platform::TableSnapshot> result =
    co_await this->client.ReadTable(this->options.table);
  this->OnResult(std::get_if<Error>(&result));
  if (!IsOk(result)) {
    co_return false;
  }
  const platform::TableSnapshot& read = ValueOf(result);
  if (read.era < this->era) {
    co_return false;
  }
  if (read.era > this->era) {
    this->EnterEra(read.era);
  }
  this->reader.onReset();
  this->Apply(read.rows, read.version);
  this->isWhole = true;
  this->Tell({}, this->version);
  co_return true;
}

Task<bool>
TableFollower::ReadChanges()
{
  const std::uint64_t after = this->version;
  const Result<platform::TableChanges> result = co_await this->client.ReadChanges(
    this->options.table, after, this->turn.LongPollWait(BootClock::Now()));
  this->OnResult(std::get_if<Error>(&result));
  if (!IsOk(result)) {
    co_return false;
  }
  const platform::TableChanges& changes = ValueOf(result);
  if (changes.era > this->era) {
    this->EnterEra(changes.era);
    co_return true;
  }
  // Meanwhile news of a newer era may have come.
  if (changes.era < this->era || !this->isWhole) {
    co_return true;
  }
  if (changes.isHistoryDiscarded) {
    Log(LogLevel::kInfo, "history_gone", { { "table", this->options.table } });
    this->isWhole = false;
    co_return true;
  }
  // Meanwhile news may have brought more than this answer holds.
  if (changes.version >= this->version) {
    this->Apply(changes.rows, changes.version);
  }
  this->Tell(changes.rows, after);
  co_return true;
}

void
TableFollower::Apply(const std::vector<platform::StoreRow>& aRows, std::uint64_t aVersion)
{
  for (const platform::StoreRow& row : aRows) {
    this->reader.onRow(row);
  }
  this->version = aVersion;
}

void
TableFollower::Tell(const std::vector<platform::StoreRow>& aRows, std::uint64_t aAfter) const
{
  const auto contact = this->ContactTime();
  TableNews news;
  news.set_table(this->options.table);
  news.set_after(aAfter);
  news.set_version(this->version);
  news.set_era(this->era);
  news.set_store_contact_ms(static_cast<std::uint64_t>(contact.count()));
  news.set_store_was_away(this->hasReturned && contact < kReturnIsNews);
  news.set_rows_omitted(BytesOf(aRows) > kMostNewsBytes);
  for (const platform::StoreRow& row : aRows) {
    if (news.rows_omitted()) {
      break;
    }
    NewsRow* const told = news.add_rows();
    told->set_key(row.key);
    told->set_value(row.value);
    told->set_version(row.version);
    told->set_removed(row.isRemoved);
  }
  this->link.send(news);
}

void
TableFollower::OnNews(const std::string& aFrom, const TableNews& aNews)
{
  if (aNews.era() > this->era) {
    this->EnterEra(aNews.era());
    this->turn.OnMissedUpdate();
    this->timer.cancel();
    return;
  }
  if (!this->isWhole || aNews.era() < this->era || aNews.version() < this->version) {
    return;
  }
  const BootTime now = BootClock::Now();
  const BootTime contact = now - std::chrono::milliseconds(aNews.store_contact_ms());
  this->turn.OnPeerResponse(aFrom, Draw(this->random), now);
  this->answeredAt = now;
  const bool isReturn = aNews.store_was_away() && contact > this->contactSince;
  this->contactSince = std::max(this->contactSince, contact);
  if (this->isLost || isReturn) {
    this->OnRegained(contact);
  }
  if (aNews.version() == this->version) {
    return;
  }
  if (aNews.after() > this->version || aNews.rows_omitted()) {
    this->turn.OnMissedUpdate();
    this->timer.cancel();
    return;
  }
  this->Apply(RowsOf(aNews), aNews.version());
  this->reader.onRound();
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
           .onRegained = [](BootTime) {},
           .onRewound =
             [this](BootTime aNow) {
               this->keepAvoidedUntil = aNow + placing::ServerRegistry::kReportGracePeriod;
             } };
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
  std::set<std::string> next = this->avoided;
  if (BootClock::Now() < this->keepAvoidedUntil) {
    next.insert(this->published.begin(), this->published.end());
  }
  if (next == this->published) {
    return;
  }
  this->published = next;
  std::string names;
  for (const std::string& domain : this->published) {
    names += (names.empty() ? "" : ",") + domain;
  }
  Log(LogLevel::kInfo, "avoided_domains", { { "domains", names } });
  this->listener.onAvoidedDomains({ this->published.begin(), this->published.end() });
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
           .onRegained = [this](BootTime aSince) { this->registry.OnStoreReachable(aSince); },
           .onRewound = [this](BootTime aNow) { this->registry.OnStoreRolledBack(aNow); } };
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
                      known->startedAt != server.startedAt;
  if (isNews) {
    Log(LogLevel::kInfo,
        "server",
        { { "server", server.id },
          { "service", server.service },
          { "failure_domain", server.failureDomain },
          { "draining", server.isDraining },
          { "warmup_ms", server.warmupLeft.count() },
          { "started_ms", server.startedAt.time_since_epoch().count() },
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
