#include "edge/store_follower.h"

#include "edge/table_copy.h"
#include "plantainhaven/common/log.h"
#include "platform/names.h"

#include <utility>

namespace plantainhaven::edge {

using placing::TableUpdate;
using placing::UpdateEffect;

namespace {

// Changes up to this size are sent to the other VMs in the region. Larger ones are read from
// the store, which has more bandwidth than a VM.
constexpr std::size_t kMaxUpdateBytes = 8 << 10;
// Contact with the store counts as lost this long after its last response: two long polls.
constexpr std::chrono::milliseconds kContactTimeout{ 1500 };
// Time for which other VMs are told that the store has become reachable again; longer than
// servers take to report again.
constexpr std::chrono::milliseconds kReturnAnnouncementTime{ 5000 };

double
RandomFraction(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

// How long the VM's link carries nothing else while this many bytes arrive.
std::chrono::milliseconds
LinkTime(std::uint64_t aBytes, double aBytesPerSecond)
{
  const std::chrono::duration<double> time(static_cast<double>(aBytes) / aBytesPerSecond);
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace

TableFollower::TableFollower(asio::io_context& aContext,
                             platform::StoreClient& aClient,
                             Options aOptions,
                             Reader aReader,
                             TableUpdateLink aLink)
  : timer(aContext)
  , client(aClient)
  , options(std::move(aOptions))
  , reader(std::move(aReader))
  , link(std::move(aLink))
  , random(std::random_device{}())
  , coordinator(this->options.self, { .wait = this->options.wait }, RandomFraction(this->random))
  , catchUp({})
  , allowance(this->options.linkBytesPerSecond)
{
  if (this->ExchangesCopies()) {
    this->client.OnLargeAnswer([this](std::uint64_t aBytes) {
      if (this->replica.IsWhole()) {
        this->Broadcast(this->replica.MakeUpdate({}, 0), aBytes);
      }
    });
  }
}

Task<void>
TableFollower::Run()
{
  while (true) {
    co_await this->AwaitPollTurn();
    const BootTime startedAt = BootClock::Now();
    bool isDone = false;
    if (this->replica.IsWhole()) {
      isDone = co_await this->ReadChanges();
    } else {
      isDone = co_await this->ReadAll();
    }
    this->reader.onResponse();
    const auto passed = ToMilliseconds(BootClock::Now() - startedAt);
    if (isDone && passed < this->options.interval) {
      co_await Sleep(this->timer, this->options.interval - passed);
    }
  }
}

Task<void>
TableFollower::AwaitPollTurn()
{
  while (true) {
    const BootTime pollAt = std::max(this->coordinator.NextPollAt(), this->catchUp.MayReadAt());
    const auto left = pollAt - BootClock::Now();
    if (left <= BootClock::duration(0)) {
      co_return;
    }
    co_await Sleep(this->timer, ToMilliseconds(left) + std::chrono::milliseconds(1));
  }
}

void
TableFollower::OnStoreReachable(BootTime aSince)
{
  Log(LogLevel::kInfo,
      "store_regained",
      { { "table", this->options.table }, { "version", this->replica.Version() } });
  this->isStoreUnreachable = false;
  this->hasStoreReturned = true;
  this->reader.onStoreReachable(aSince);
}

void
TableFollower::EnterEra(std::uint64_t aEra)
{
  const bool isFirst = this->replica.Era() == 0;
  const std::uint64_t lastVersion = this->replica.Version();
  this->replica.EnterEra(aEra);
  this->link.onEra(aEra);
  if (isFirst) {
    return;
  }
  Log(LogLevel::kWarning,
      "store_era",
      { { "table", this->options.table }, { "era", aEra }, { "version", lastVersion } });
  this->hasStoreReturned = true;
  this->reader.onStoreRolledBack(BootClock::Now());
}

void
TableFollower::OnResult(const Error* aError)
{
  const BootTime now = BootClock::Now();
  if (aError != nullptr) {
    this->coordinator.OnOwnFailure(this->link.readerCount(), now);
    this->contactSince = BootTime{};
    if (!this->isStoreUnreachable) {
      Log(LogLevel::kWarning,
          "store_lost",
          { { "table", this->options.table },
            { "error", aError->message },
            { "version", this->replica.Version() } });
    }
    this->isStoreUnreachable = true;
    return;
  }
  this->coordinator.OnOwnResponse(now);
  if (this->contactSince == BootTime{}) {
    this->contactSince = now;
  }
  this->answeredAt = now;
  if (this->isStoreUnreachable) {
    this->OnStoreReachable(now);
  }
}

std::chrono::milliseconds
TableFollower::ContactTime() const
{
  const BootTime now = BootClock::Now();
  if (this->contactSince == BootTime{} || now - this->answeredAt > kContactTimeout) {
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
  if (read.era > this->replica.Era()) {
    this->EnterEra(read.era);
  }
  this->OnAnswer({ .era = read.era, .version = read.version, .rows = read.rows, .isWhole = true });
  co_return this->replica.IsWhole();
}

Task<bool>
TableFollower::ReadChanges()
{
  const std::uint64_t after = this->replica.Version();
  const Result<platform::TableChanges> result = co_await this->client.ReadChanges(
    this->options.table, after, this->coordinator.LongPollWait(BootClock::Now()));
  if (std::exchange(this->isReadSuperseded, false)) {
    co_return true;
  }
  this->OnResult(std::get_if<Error>(&result));
  if (!IsOk(result)) {
    co_return false;
  }
  const platform::TableChanges& changes = ValueOf(result);
  if (changes.era > this->replica.Era()) {
    this->EnterEra(changes.era);
    co_return true;
  }
  // An update from another VM may have brought a newer era during the call.
  if (changes.era < this->replica.Era() || !this->replica.IsWhole()) {
    co_return true;
  }
  if (changes.isHistoryDiscarded) {
    Log(LogLevel::kInfo, "history_gone", { { "table", this->options.table } });
    this->replica.Discard();
    co_return true;
  }
  this->OnAnswer(
    { .era = changes.era, .after = after, .version = changes.version, .rows = changes.rows });
  co_return true;
}

void
TableFollower::OnAnswer(const TableUpdate& aAnswer)
{
  const UpdateEffect effect = this->replica.Apply(aAnswer);
  if (effect == UpdateEffect::kOlder) {
    Log(LogLevel::kInfo,
        "answer_older",
        { { "table", this->options.table },
          { "answer_version", aAnswer.version },
          { "rows", aAnswer.rows.size() },
          { "version", this->replica.Version() } });
  }
  this->catchUp.OnCaughtUp();
  if (this->replica.IsWhole()) {
    this->Broadcast(this->replica.MakeUpdate(aAnswer, kMaxUpdateBytes));
  }
  if (effect == UpdateEffect::kApplied) {
    this->Publish(aAnswer);
  }
}

void
TableFollower::Publish(const TableUpdate& aUpdate)
{
  if (aUpdate.isWhole) {
    this->reader.onReset();
  }
  for (const platform::StoreRow& row : aUpdate.rows) {
    this->reader.onRow(row);
  }
}

void
TableFollower::Broadcast(const TableUpdate& aUpdate, std::uint64_t aAnswerBytes) const
{
  const auto contact = this->ContactTime();
  TableNews news;
  news.set_table(this->options.table);
  news.set_after(aUpdate.after);
  news.set_version(aUpdate.version);
  news.set_era(aUpdate.era);
  news.set_store_contact_ms(static_cast<std::uint64_t>(contact.count()));
  news.set_store_was_away(this->hasStoreReturned && contact < kReturnAnnouncementTime);
  news.set_rows_omitted(aUpdate.areRowsOmitted);
  news.set_gives_copies(aUpdate.areRowsOmitted && this->ExchangesCopies());
  news.set_answer_bytes(aAnswerBytes);
  news.set_is_exact(true);
  for (const platform::StoreRow& row : aUpdate.rows) {
    FillRow(row, *news.add_rows());
  }
  this->link.send(news);
}

void
TableFollower::OnMessage(const Envelope& aMessage)
{
  if (aMessage.has_table_news()) {
    this->OnTableUpdate(aMessage.from(), aMessage.table_news());
  } else if (aMessage.has_table_copy_ask()) {
    this->OnCopyAsk(aMessage.from(), aMessage.table_copy_ask());
  } else if (aMessage.has_table_copy()) {
    this->OnCopy(aMessage.from(), aMessage.table_copy());
  }
}

void
TableFollower::OnTableUpdate(const std::string& aFrom, const TableNews& aNews)
{
  if (!aNews.is_exact()) {
    // This VM reads the store itself unless a VM whose versions can be relied on does.
    return;
  }
  const TableUpdate update = ToUpdate(aNews);
  const UpdateEffect effect = this->replica.Apply(update);
  if (effect == UpdateEffect::kNewEra) {
    this->EnterEra(update.era);
    this->coordinator.OnMissedUpdate();
    this->timer.cancel();
    return;
  }
  if (effect == UpdateEffect::kOlder) {
    return;
  }
  if (aNews.answer_bytes() > 0 && this->ExchangesCopies()) {
    this->OnAnswerBegun(aNews.answer_bytes());
    return;
  }
  if (effect == UpdateEffect::kMissed) {
    this->OnMissed(aFrom, aNews);
    return;
  }
  // Another VM's answer counts as contact only if this VM has its rows.
  const BootTime now = BootClock::Now();
  const BootTime contact = now - std::chrono::milliseconds(aNews.store_contact_ms());
  this->coordinator.OnPeerResponse(aFrom, RandomFraction(this->random), now);
  this->answeredAt = now;
  const bool isReturn = aNews.store_was_away() && contact > this->contactSince;
  this->contactSince = std::max(this->contactSince, contact);
  if (this->isStoreUnreachable || isReturn) {
    this->OnStoreReachable(contact);
  }
  if (effect == UpdateEffect::kApplied) {
    this->catchUp.OnCaughtUp();
    this->Publish(update);
    this->reader.onResponse();
  }
}

void
TableFollower::OnMissed(const std::string& aFrom, const TableNews& aNews)
{
  Log(LogLevel::kInfo,
      "update_missed",
      { { "table", this->options.table },
        { "from", aFrom },
        { "rows_omitted", aNews.rows_omitted() },
        { "their_version", aNews.version() },
        { "version", this->replica.Version() } });
  if (aNews.gives_copies() && this->ExchangesCopies()) {
    this->catchUp.OnHolder(aFrom, BootClock::Now());
    this->RetryCopy();
  }
  this->coordinator.OnMissedUpdate();
  this->timer.cancel();
}

void
TableFollower::OnAnswerBegun(std::uint64_t aBytes)
{
  this->catchUp.OnAnswerBegun(LinkTime(aBytes, this->options.linkBytesPerSecond), BootClock::Now());
  this->coordinator.OnMissedUpdate();
  this->timer.cancel();
}

void
TableFollower::RetryCopy()
{
  const auto holder = this->catchUp.NextAsk(BootClock::Now());
  if (!holder) {
    return;
  }
  Envelope message;
  TableCopyAsk& ask = *message.mutable_table_copy_ask();
  ask.set_table(this->options.table);
  ask.set_era(this->replica.Era());
  ask.set_version(this->replica.Version());
  this->link.sendTo(*holder, std::move(message));
}

void
TableFollower::OnCopyAsk(const std::string& aFrom, const TableCopyAsk& aAsk)
{
  Envelope message;
  TableCopy& copy = *message.mutable_table_copy();
  copy.set_table(this->options.table);
  copy.set_refused(true);
  const bool isNewer = this->replica.IsWhole() && aAsk.era() == this->replica.Era() &&
                       aAsk.version() < this->replica.Version();
  if (isNewer && (!this->packed || this->packed->version() != this->replica.Version())) {
    this->packed = PackTable(this->options.table, this->replica.MakeWhole());
  }
  if (isNewer && this->allowance.TryTake(this->packed->packed_rows().size(), BootClock::Now())) {
    copy = *this->packed;
  }
  this->link.sendTo(aFrom, std::move(message));
}

void
TableFollower::OnCopy(const std::string& aFrom, const TableCopy& aCopy)
{
  if (aCopy.refused()) {
    this->catchUp.OnRefused(aFrom);
    this->RetryCopy();
    return;
  }
  const auto update = UnpackTable(aCopy);
  if (!update) {
    Log(LogLevel::kWarning,
        "table_copy_unreadable",
        { { "table", this->options.table }, { "from", aFrom } });
    return;
  }
  if (this->replica.Apply(*update) != UpdateEffect::kApplied) {
    return;
  }
  Log(LogLevel::kInfo,
      "table_copied",
      { { "table", this->options.table },
        { "from", aFrom },
        { "version", update->version },
        { "bytes", aCopy.packed_rows().size() } });
  this->packed = aCopy;
  this->catchUp.OnCaughtUp();
  this->coordinator.OnCopy(RandomFraction(this->random), BootClock::Now());
  this->isReadSuperseded = this->client.CancelLargeAnswer();
  this->Broadcast({ .era = update->era,
                    .after = update->version,
                    .version = update->version,
                    .areRowsOmitted = true });
  this->Publish(*update);
  this->reader.onResponse();
}

OperatorRows::OperatorRows(const StoreListener& aListener)
  : listener(aListener)
{
}

TableFollower::Reader
OperatorRows::MakeReader()
{
  return { .onReset = [this] { this->avoidedDomains.clear(); },
           .onRow = [this](const platform::StoreRow& aRow) { this->OnRow(aRow); },
           .onResponse = [this] { this->PublishAvoidedDomains(); },
           .onStoreReachable = [](BootTime) {},
           .onStoreRolledBack =
             [this](BootTime aNow) {
               this->keepPublishedUntil = aNow + placing::ServerRegistry::kReportGracePeriod;
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
      this->avoidedDomains.erase(domain);
    } else {
      this->avoidedDomains.insert(domain);
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
  const BootTime startedAt = BootClock::Now();
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
        { "accounts", routing.accounts.size() },
        { "bytes", aRow.value.size() },
        { "decode_ms", ToMilliseconds(BootClock::Now() - startedAt).count() } });
  this->listener.onRouting(std::make_shared<const Routing>(std::move(routing)));
}

void
OperatorRows::PublishAvoidedDomains()
{
  std::set<std::string> next = this->avoidedDomains;
  if (BootClock::Now() < this->keepPublishedUntil) {
    next.insert(this->publishedDomains.begin(), this->publishedDomains.end());
  }
  if (next == this->publishedDomains) {
    return;
  }
  this->publishedDomains = next;
  std::string names;
  for (const std::string& domain : this->publishedDomains) {
    names += (names.empty() ? "" : ",") + domain;
  }
  Log(LogLevel::kInfo, "avoided_domains", { { "domains", names } });
  this->listener.onAvoidedDomains({ this->publishedDomains.begin(), this->publishedDomains.end() });
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
           .onResponse = [this] { this->PublishChanges(); },
           .onStoreReachable = [this](BootTime aSince) { this->registry.OnStoreReachable(aSince); },
           .onStoreRolledBack = [this](BootTime aNow) { this->registry.OnStoreRolledBack(aNow); } };
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
  const bool isStateChange = known == nullptr || known->isDraining != server.isDraining ||
                             known->startedAt != server.startedAt;
  if (isStateChange) {
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
