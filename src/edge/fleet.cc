#include "edge/fleet.h"

#include "plantainhaven/common/log.h"
#include "platform/names.h"

#include <algorithm>
#include <random>
#include <utility>

namespace plantainhaven::edge {
namespace {

constexpr std::uint32_t kProtocolVersion = 2;
// Interval between polls for messages; also the longest delay that polling adds to a message.
constexpr std::chrono::milliseconds kLinkPoll{ 15 };
constexpr int kMaxMessagesPerPoll = 512;
// VMs in other regions receive every third report only: they use it just for the split of
// traffic between regions and to borrow tokens.
constexpr std::uint64_t kReportsPerRemoteReport = 3;
// Silence after which a VM is considered gone: three report intervals and the transmission
// time.
constexpr std::chrono::milliseconds kRegionalTimeout{ 1800 };
constexpr std::chrono::milliseconds kRemoteTimeout{ 4800 };
// A warning for the operator is logged when VMs stay silent for this long.
constexpr std::chrono::seconds kSilenceWarningDelay{ 10 };
// A longer pause between two polls means that this process was suspended, so that the silence
// of the others says nothing about them.
constexpr std::chrono::milliseconds kProcessPauseThreshold{ 700 };
constexpr std::chrono::milliseconds kRetryPause{ 300 };
// Time in which VMs that start at the same moment write their rows.
constexpr std::chrono::milliseconds kStartupGatherTime{ 1200 };
constexpr std::chrono::milliseconds kInitialRowPoll{ 1500 };
constexpr std::chrono::milliseconds kRowPoll{ 15000 };
// Number of polls at the short interval after the start while this VM has no quota.
constexpr int kInitialRowPolls = 8;
// Pause between successive writes when the quota is shared among many VMs.
constexpr std::chrono::milliseconds kQuotaSharePause{ 100 };
// One row of each write is that of the VM which gives up quota.
constexpr std::size_t kMaxQuotaReceivers = platform::StoreClient::kMaxRowsPerWrite - 1;
// Time in which every live VM learns the store's new era and rewrites its row: a long poll,
// the message to the other VMs in the region, and two writes.
constexpr std::chrono::milliseconds kEraSettleTime{ 4000 };
// The first era of a store; a later one means that it was once restored from a copy.
constexpr std::uint64_t kFirstEra = 1;
// Row that marks that the first VM has claimed the whole quota, which must happen only once.
constexpr const char* kOriginKey = "#origin";

QuotaRange
RangeOf(const VmRecord& aRecord)
{
  return { aRecord.quota_begin(), aRecord.quota_end() };
}

void
SetRange(VmRecord& aRecord, const QuotaRange& aRange)
{
  aRecord.set_quota_begin(aRange.begin);
  aRecord.set_quota_end(aRange.end);
}

bool
HasSamePaths(const VmReport& aOne, const VmReport& aOther)
{
  return std::equal(aOne.lost_domains().begin(),
                    aOne.lost_domains().end(),
                    aOther.lost_domains().begin(),
                    aOther.lost_domains().end());
}

std::uint64_t
NewIncarnation()
{
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32) | source();
}

} // namespace

std::optional<placing::RelayVm>
RelayOf(const std::string& aName, const VmReport& aReport)
{
  if (aReport.relay().empty() || !aReport.ready() || aReport.leaving()) {
    return std::nullopt;
  }
  return placing::RelayVm{ .name = aName,
                           .endpoint = aReport.relay(),
                           .region = aReport.region(),
                           .lostDomains = { aReport.lost_domains().begin(),
                                            aReport.lost_domains().end() },
                           .requests = aReport.relayed_requests() };
}

Fleet::Fleet(asio::io_context& aContext,
             const EdgedSettings& aSettings,
             platform::StoreClient& aClient,
             Metrics& aMetrics,
             FleetListener aListener)
  : context(aContext)
  , settings(aSettings)
  , client(aClient)
  , metrics(aMetrics)
  , listener(std::move(aListener))
  , self(aSettings.vm().name())
  , endpoint("tcp://" + aSettings.vm().address() + ":" + std::to_string(aSettings.listen().peers()))
  , incarnation(NewIncarnation())
  , rowTimer(aContext)
  , lastPollAt(BootClock::Now())
{
}

Result<Done>
Fleet::Start()
{
  auto bound = this->link.Bind(this->settings.vm().address(),
                               static_cast<std::uint16_t>(this->settings.listen().peers()));
  if (!IsOk(bound)) {
    return bound;
  }
  asio::co_spawn(this->context, this->RunLink(), asio::detached);
  asio::co_spawn(this->context, this->RunRows(), asio::detached);
  return Done{};
}

bool
Fleet::Send(const std::string& aEndpoint, Envelope aMessage)
{
  aMessage.set_version(kProtocolVersion);
  aMessage.set_from(this->self);
  aMessage.set_from_incarnation(this->incarnation);
  aMessage.set_reply_to(this->endpoint);
  const bool wasQueued = this->link.Send(aEndpoint, aMessage);
  if (!wasQueued) {
    this->metrics.Count("plantainhaven_peer_messages_dropped_total");
  }
  return wasQueued;
}

void
Fleet::Report(VmReport aReport)
{
  const bool isStateChange = aReport.ready() != this->ownReport.ready() ||
                             aReport.leaving() != this->ownReport.leaving() ||
                             !HasSamePaths(aReport, this->ownReport);
  aReport.set_callers(this->settings.listen().callers());
  aReport.set_region(this->settings.vm().region());
  aReport.set_failure_domain(this->settings.vm().failure_domain());
  aReport.set_tells_quota(this->isRegistered);
  aReport.set_quota_begin(this->ownRange.begin);
  aReport.set_quota_end(this->ownRange.end);
  this->ownReport = std::move(aReport);
  this->ResetSilentLinks();
  const bool isRemoteTurn = isStateChange || this->ownReport.has_limit_news() ||
                            this->ownReport.has_crash_news() ||
                            this->reportCount++ % kReportsPerRemoteReport == 0;
  for (auto& [name, member] : this->members) {
    if (isRemoteTurn || this->IsSameRegion(member) || member.linkWatch.NeedsResend()) {
      this->SendReport(member, false);
    }
  }
  if (isStateChange) {
    this->PublishView();
  }
}

void
Fleet::ResetSilentLinks()
{
  const BootTime now = BootClock::Now();
  for (auto& [name, member] : this->members) {
    const std::uint64_t reportPeriods = this->IsSameRegion(member) ? 1 : kReportsPerRemoteReport;
    if (member.linkWatch.TakeReconnect(reportPeriods * kReportInterval, now)) {
      this->link.Reset(member.record.endpoint());
      this->metrics.Count("plantainhaven_peer_links_reset_total");
      Log(LogLevel::kInfo, "peer_link_reset", { { "vm", name } });
    }
  }
}

void
Fleet::SendIntroductions()
{
  for (auto& [name, member] : this->members) {
    this->SendReport(member, true);
  }
}

void
Fleet::SendReport(Member& aMember, bool aIsIntroduction)
{
  Envelope message;
  VmReport& report = *message.mutable_vm_report();
  report = this->ownReport;
  report.set_introduction(aIsIntroduction);
  if (!this->IsSameRegion(aMember)) {
    report.clear_loads();
  }
  const BootTime now = BootClock::Now();
  report.set_misses_receiver(!this->IsAlive(aMember, now));
  const bool wasQueued = this->Send(aMember.record.endpoint(), std::move(message));
  aMember.linkWatch.OnSent(wasQueued, now);
}

void
Fleet::SendToRegion(const Envelope& aMessage)
{
  const BootTime now = BootClock::Now();
  for (const auto& [name, member] : this->members) {
    if (this->IsSameRegion(member) && this->IsAlive(member, now)) {
      this->Send(member.record.endpoint(), aMessage);
    }
  }
}

void
Fleet::SendToVm(const std::string& aVm, Envelope aMessage)
{
  const auto found = this->members.find(aVm);
  if (found != this->members.end()) {
    this->Send(found->second.record.endpoint(), std::move(aMessage));
  }
}

std::size_t
Fleet::RegionVmCount() const
{
  const BootTime now = BootClock::Now();
  const auto others =
    std::count_if(this->members.begin(), this->members.end(), [&](const auto& aEntry) {
      return this->IsSameRegion(aEntry.second) && this->IsAlive(aEntry.second, now);
    });
  return static_cast<std::size_t>(others) + 1;
}

bool
Fleet::IsSameRegion(const Member& aMember) const
{
  return aMember.record.region() == this->settings.vm().region();
}

Task<void>
Fleet::RunLink()
{
  asio::steady_timer timer(this->context);
  int polls = 0;
  while (true) {
    const BootTime now = BootClock::Now();
    const auto pause = now - this->lastPollAt;
    if (pause > kProcessPauseThreshold) {
      Log(LogLevel::kWarning, "stood_still", { { "ms", ToMilliseconds(pause).count() } });
      for (auto& [name, member] : this->members) {
        member.heardAt += pause;
      }
    }
    this->lastPollAt = now;
    for (int i = 0; i < kMaxMessagesPerPoll; ++i) {
      const auto message = this->link.Receive(std::chrono::milliseconds(0));
      if (!message) {
        break;
      }
      this->OnMessage(*message);
    }
    if (++polls % 16 == 0) {
      this->PublishView();
    }
    co_await Sleep(timer, kLinkPoll);
  }
}

void
Fleet::OnMessage(const Envelope& aMessage)
{
  if (aMessage.has_vm_report()) {
    this->OnReport(aMessage);
  } else if (aMessage.has_token_ask() || aMessage.has_token_grant()) {
    this->listener.onTokenMessage(aMessage);
  } else if (aMessage.has_table_news() || aMessage.has_table_copy_ask() ||
             aMessage.has_table_copy()) {
    this->listener.onTableMessage(aMessage);
  }
}

void
Fleet::OnReport(const Envelope& aMessage)
{
  if (aMessage.from() == this->self || aMessage.from().empty()) {
    return;
  }
  const BootTime now = BootClock::Now();
  Member& member = this->members[aMessage.from()];
  const VmReport& report = aMessage.vm_report();
  const bool isStateChange =
    !this->IsAlive(member, now) || member.report.ready() != report.ready() ||
    member.report.leaving() != report.leaving() || !HasSamePaths(member.report, report);
  if (isStateChange) {
    Log(LogLevel::kInfo,
        "peer",
        { { "vm", aMessage.from() },
          { "ready", report.ready() },
          { "leaving", report.leaving() },
          { "lost_paths", report.lost_domains_size() },
          { "configuration", report.configuration_version() } });
  }
  member.record.set_endpoint(aMessage.reply_to());
  member.record.set_callers(report.callers());
  member.record.set_region(report.region());
  member.record.set_failure_domain(report.failure_domain());
  member.record.set_incarnation(aMessage.from_incarnation());
  if (report.tells_quota()) {
    SetRange(member.record, { report.quota_begin(), report.quota_end() });
  }
  member.report = report;
  member.heardAt = now;
  this->roster.OnHeard(aMessage.from(), report.region(), now);
  member.linkWatch.OnReport(!report.misses_receiver());
  if (report.introduction()) {
    this->SendReport(member, false);
  }
  if (report.loads_size() > 0 || report.limits_size() > 0 || report.crashes_size() > 0) {
    this->listener.onServerNews(report);
  }
  if (isStateChange) {
    this->PublishView();
  }
}

bool
Fleet::IsAlive(const Member& aMember, BootTime aNow) const
{
  const auto silent = this->IsSameRegion(aMember) ? kRegionalTimeout : kRemoteTimeout;
  return aMember.heardAt != BootTime{} && aNow - aMember.heardAt < silent;
}

bool
Fleet::HasStoreContact(std::chrono::milliseconds aMinDuration) const
{
  const BootTime now = BootClock::Now();
  return std::any_of(this->members.begin(), this->members.end(), [&](const auto& aEntry) {
    const std::chrono::milliseconds contact(aEntry.second.report.store_contact_ms());
    return this->IsAlive(aEntry.second, now) && contact >= aMinDuration;
  });
}

void
Fleet::PublishView()
{
  FleetView view;
  const BootTime now = BootClock::Now();
  const auto& vm = this->settings.vm();
  view.senders.push_back({ this->self, vm.region() });
  view.members = this->roster.Members(now);
  view.members.push_back({ this->self, vm.region() });
  if (this->ownReport.ready()) {
    view.entries.push_back({ this->self,
                             this->settings.listen().callers(),
                             vm.region(),
                             vm.failure_domain(),
                             !this->ownReport.has_no_path() });
  }
  for (const auto& [name, member] : this->members) {
    if (!this->IsAlive(member, now)) {
      continue;
    }
    const VmReport& report = member.report;
    view.newestConfiguration = std::max(view.newestConfiguration, report.configuration_version());
    view.senders.push_back({ name, report.region() });
    view.holders.push_back(
      { RangeOf(member.record), member.record.endpoint(), report.region() == vm.region() });
    if (report.ready() && !report.leaving()) {
      view.entries.push_back({ name,
                               report.callers(),
                               report.region(),
                               report.failure_domain(),
                               !report.has_no_path() });
    }
    if (auto relay = RelayOf(name, report)) {
      view.relays.push_back(std::move(*relay));
    }
    for (const ServiceDemand& demand : report.demands()) {
      view.demand[demand.service()][report.region()] += demand.concurrency();
      std::vector<RegionShare>& plan = view.plans[demand.service()];
      if (report.region() == vm.region() && plan.empty()) {
        for (const RegionPart& part : demand.parts()) {
          plan.push_back({ part.region(), part.part() });
        }
      }
    }
  }
  const bool hasTokenSource =
    this->members.empty() || !view.holders.empty() || !this->ownRange.IsEmpty();
  view.canAcquireTokens = this->isRegistered && hasTokenSource;
  this->TrackSilentVms(view.holders.size(), now);
  this->listener.onView(std::move(view));
}

void
Fleet::TrackSilentVms(std::size_t aAliveCount, BootTime aNow)
{
  const auto expected = static_cast<std::size_t>(
    std::count_if(this->members.begin(), this->members.end(), [](const auto& aEntry) {
      return !aEntry.second.report.leaving();
    }));
  this->metrics.Set("plantainhaven_peers_heard", static_cast<double>(aAliveCount));
  this->metrics.Set("plantainhaven_peers_expected", static_cast<double>(expected));
  if (aAliveCount >= expected) {
    this->silentSince = BootTime{};
    this->hasWarnedOfSilence = false;
    return;
  }
  if (this->silentSince == BootTime{}) {
    this->silentSince = aNow;
  }
  if (!this->hasWarnedOfSilence && aNow - this->silentSince > kSilenceWarningDelay) {
    this->hasWarnedOfSilence = true;
    Log(LogLevel::kWarning, "peers_silent", { { "expected", expected }, { "heard", aAliveCount } });
  }
}

VmRecord
Fleet::SelfRecord(const QuotaRange& aRange) const
{
  VmRecord record;
  record.set_endpoint(this->endpoint);
  record.set_callers(this->settings.listen().callers());
  record.set_region(this->settings.vm().region());
  record.set_failure_domain(this->settings.vm().failure_domain());
  record.set_incarnation(this->incarnation);
  record.set_era(this->era);
  SetRange(record, aRange);
  return record;
}

void
Fleet::OnEra(std::uint64_t aEra)
{
  if (aEra <= this->era) {
    return;
  }
  const bool isFirst = this->era == 0;
  this->era = aEra;
  if (isFirst && (aEra <= kFirstEra || this->isRegistered)) {
    return;
  }
  this->eraSettledAt = BootClock::Now() + kEraSettleTime;
  this->rowTimer.cancel();
}

void
Fleet::ApplyOwnRow(const VmRecord& aRecord, std::uint64_t aVersion)
{
  this->ownVersion = aVersion;
  this->isCurrentEra = this->era <= kFirstEra || aRecord.era() == this->era;
  // After a restore the range in memory is newer than the row of the copy.
  if (this->isCurrentEra || !this->isRegistered) {
    this->ownRange = RangeOf(aRecord);
  }
}

Task<bool>
Fleet::ReadRows()
{
  const Result<platform::TableSnapshot> result =
    co_await this->client.ReadTable(platform::kFleetTable);
  if (!IsOk(result)) {
    co_return false;
  }
  this->OnEra(ValueOf(result).era);
  if (ValueOf(result).era < this->era) {
    co_return false;
  }
  this->ownVersion = 0;
  this->isCurrentEra = this->era <= kFirstEra || !this->isRegistered;
  if (this->isCurrentEra) {
    this->ownRange = {};
  }
  for (const platform::StoreRow& row : ValueOf(result).rows) {
    VmRecord record;
    if (row.key == kOriginKey) {
      continue;
    }
    if (!record.ParseFromString(row.value)) {
      Log(LogLevel::kError,
          "vm_row_unreadable",
          { { "row", row.key }, { "remedy", "Remove the row; its VM writes it again." } });
      continue;
    }
    if (row.key == this->self) {
      this->ApplyOwnRow(record, row.version);
      continue;
    }
    Member& member = this->members[row.key];
    this->roster.OnListed(row.key, record.region(), BootClock::Now());
    member.rowVersion = row.version;
    member.isCurrentEra = this->era <= kFirstEra || record.era() == this->era;
    const bool keepsClaim = !member.isCurrentEra && member.report.tells_quota();
    const QuotaRange claim = RangeOf(member.record);
    member.record = record;
    if (keepsClaim) {
      SetRange(member.record, claim);
    }
  }
  co_return true;
}

// Writes this VM's row. The first VM ever to register claims the whole quota; this happens
// once in the lifetime of the table.
Task<bool>
Fleet::RegisterSelf()
{
  const bool isFirst = !this->isRegistered && this->ownVersion == 0 && this->members.empty();
  QuotaRange range = this->ownRange;
  std::vector<platform::ConditionalPut> puts;
  if (isFirst) {
    range = { 0, kQuotaRingSize };
    puts.push_back({ kOriginKey, this->self, 0 });
  }
  puts.push_back({ this->self, this->SelfRecord(range).SerializeAsString(), this->ownVersion });
  const Result<std::uint64_t> written = co_await this->client.Write(platform::kFleetTable, puts);
  if (!IsOk(written)) {
    Log(LogLevel::kInfo, "register_failed", { { "error", ErrorOf(written).message } });
    co_return false;
  }
  this->ownVersion = ValueOf(written);
  this->ownRange = range;
  this->isCurrentEra = true;
  this->isRegistered = true;
  Log(LogLevel::kInfo,
      "registered",
      { { "vms", this->members.size() + 1 }, { "quota_millionths", range.Length() } });
  co_return true;
}

// The longest part of a range from a row of an earlier era that is claimed neither by a row
// of the current era nor by a VM that is alive.
QuotaRange
Fleet::UnclaimedQuota(const QuotaRange& aRange) const
{
  const BootTime now = BootClock::Now();
  std::vector<QuotaRange> claimed;
  for (const auto& [name, member] : this->members) {
    if (member.isCurrentEra || this->IsAlive(member, now)) {
      claimed.push_back(RangeOf(member.record));
    }
  }
  return placing::LongestRemainder(aRange, std::move(claimed));
}

Task<bool>
Fleet::TryRegister()
{
  const bool isRead = co_await this->ReadRows();
  if (!isRead) {
    co_return false;
  }
  const bool isPreviousEraRow = this->ownVersion != 0 && !this->isCurrentEra;
  const bool isAlone = this->ownVersion == 0 && this->members.empty();
  const auto left = this->eraSettledAt - BootClock::Now();
  if ((isPreviousEraRow || isAlone) && left > BootClock::duration(0)) {
    Log(LogLevel::kInfo, "era_settles", { { "era", this->era } });
    co_await Sleep(this->rowTimer, ToMilliseconds(left));
    co_return false;
  }
  if (isPreviousEraRow) {
    this->ownRange = this->UnclaimedQuota(this->ownRange);
  }
  co_return co_await this->RegisterSelf();
}

void
Fleet::PublishRange()
{
  this->metrics.Set("plantainhaven_quota_part",
                    static_cast<double>(this->ownRange.Length()) /
                      static_cast<double>(kQuotaRingSize));
  this->listener.onQuotaRange(this->ownRange);
}

std::vector<VmQuota>
Fleet::QuotaShares() const
{
  std::vector<VmQuota> parts{ { this->self, this->ownRange } };
  for (const auto& [name, member] : this->members) {
    if (member.rowVersion != 0) {
      parts.push_back({ name, RangeOf(member.record) });
    }
  }
  return parts;
}

// Transfers quota to VMs that have none. This VM applies its reduced range before it writes
// the ranges of the others to the store, so that ranges never overlap.
Task<bool>
Fleet::ShareQuota()
{
  if (BootClock::Now() < this->eraSettledAt) {
    co_return false;
  }
  const auto shared = SplitQuota(this->QuotaShares(), this->self, kMaxQuotaReceivers);
  if (!shared) {
    co_return false;
  }
  this->ownRange = shared->front().range;
  this->PublishRange();
  std::vector<platform::ConditionalPut> puts;
  puts.push_back(
    { this->self, this->SelfRecord(this->ownRange).SerializeAsString(), this->ownVersion });
  for (auto part = shared->begin() + 1; part != shared->end(); ++part) {
    Member& member = this->members[part->vm];
    SetRange(member.record, part->range);
    member.record.set_era(this->era);
    puts.push_back({ part->vm, member.record.SerializeAsString(), member.rowVersion });
  }
  const Result<std::uint64_t> written = co_await this->client.Write(platform::kFleetTable, puts);
  Log(LogLevel::kInfo,
      "quota_shared",
      { { "receivers", shared->size() - 1 },
        { "done", IsOk(written) },
        { "error", IsOk(written) ? std::string() : ErrorOf(written).message } });
  if (IsOk(written)) {
    this->ownVersion = ValueOf(written);
  }
  co_return IsOk(written);
}

Task<void>
Fleet::RunRows()
{
  while (!this->isRegistered) {
    const bool isWritten = co_await this->TryRegister();
    if (!isWritten) {
      co_await Sleep(this->rowTimer, kRetryPause);
    }
  }
  this->PublishRange();
  this->SendIntroductions();
  co_await Sleep(this->rowTimer, kStartupGatherTime);
  for (int round = 0;; ++round) {
    const bool isRead = co_await this->ReadRows();
    bool hasSharedQuota = false;
    bool isRowCurrent = isRead;
    if (isRead && !this->isCurrentEra) {
      isRowCurrent = co_await this->RegisterSelf();
    }
    if (isRead) {
      this->PublishRange();
      this->SendIntroductions();
      hasSharedQuota = co_await this->ShareQuota();
    }
    std::chrono::milliseconds pause = kRowPoll;
    if (!isRowCurrent && this->era > kFirstEra) {
      pause = kRetryPause;
    } else if (hasSharedQuota) {
      pause = kQuotaSharePause;
    } else if (round < kInitialRowPolls && this->ownRange.IsEmpty()) {
      pause = kInitialRowPoll;
    }
    co_await Sleep(this->rowTimer, pause);
  }
}

} // namespace plantainhaven::edge
