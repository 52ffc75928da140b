#include "edge/fleet.h"

#include "edge/quota_rows.h"
#include "plantainhaven/common/log.h"
#include "platform/names.h"

#include <algorithm>
#include <random>
#include <set>
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
// Time in which VMs that start at the same moment write their rows.
constexpr std::chrono::milliseconds kStartupGatherTime{ 1200 };
// Interval at which the next change of the rows is looked for, and pauses after a call of the
// store: one that changed rows, one that failed, and one that failed while this VM has no row.
constexpr std::chrono::milliseconds kRowTick{ 250 };
constexpr std::chrono::milliseconds kChangePause{ 100 };
constexpr std::chrono::milliseconds kFailurePause{ 2000 };
constexpr std::chrono::milliseconds kRetryPause{ 300 };
// A random part of the pause after a conflict, for each VM of the fleet.
constexpr std::chrono::milliseconds kConflictPausePerVm{ 10 };
constexpr std::chrono::milliseconds kGrantPoll{ 20 };
// A VM is given a part of the limits after it has been ready for this long.
constexpr std::chrono::milliseconds kSettleTime{ 2000 };
// A VM that has no row and stays silent for this long is forgotten.
constexpr std::chrono::seconds kForgetDelay{ 120 };
// Most VMs that a report names as missed.
constexpr int kMaxMissedVms = 32;
// Reports that tell a VM what a read showed of it, so that one may be lost.
constexpr int kSeenRowReports = 2;

std::chrono::milliseconds
SinceBoot(BootTime aTime)
{
  return ToMilliseconds(aTime.time_since_epoch());
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
  , ownership(self, incarnation)
  , random(incarnation)
  , rowTimer(aContext)
  , grantTimer(aContext)
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
  this->FillQuota(aReport, BootClock::Now());
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
  report.set_sent_at_ms(static_cast<std::uint64_t>(SinceBoot(now).count()));
  if (aMember.seenRowReports > 0) {
    --aMember.seenRowReports;
    *report.mutable_seen_row() = aMember.seenRow;
  }
  report.set_has_quota_news(std::exchange(aMember.hasQuotaNews, false));
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
  if (!member.report.ready() || !this->IsAlive(member, now)) {
    member.readySince = now;
  }
  member.report = report;
  member.heardAt = now;
  member.knownAt = member.knownAt == BootTime{} ? now : member.knownAt;
  this->roster.OnHeard(aMessage.from(), report.region(), now);
  member.linkWatch.OnReport(!report.misses_receiver());
  if (report.introduction()) {
    this->SendReport(member, false);
  }
  this->OnEra(report.store_era());
  if (report.has_seen_row()) {
    const SeenRow& seen = report.seen_row();
    const BootTime shownAt{ std::chrono::milliseconds(seen.sent_at_ms()) };
    if (shownAt <= now) {
      this->ownership.OnShown(seen.era(), seen.row_version(), shownAt);
    }
  }
  if (report.has_quota_news()) {
    this->ownership.RequestRead();
    this->rowTimer.cancel();
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
  this->ownership.OnPeers(this->QuotaPeers(now), now);
  this->PublishQuota();
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
      { GrantedBy(report), member.record.endpoint(), report.region() == vm.region() });
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
    this->members.empty() || !view.holders.empty() || !this->grant.ranges.empty();
  view.canAcquireTokens = this->ownership.IsRegistered() && hasTokenSource;
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
Fleet::SelfRecord() const
{
  VmRecord record;
  record.set_endpoint(this->endpoint);
  record.set_callers(this->settings.listen().callers());
  record.set_region(this->settings.vm().region());
  record.set_failure_domain(this->settings.vm().failure_domain());
  record.set_incarnation(this->incarnation);
  record.set_era(this->ownership.Era());
  record.set_uses_quota_record(true);
  return record;
}

void
Fleet::OnEra(std::uint64_t aEra)
{
  if (aEra <= this->ownership.Era()) {
    return;
  }
  this->ownership.OnEra(aEra, BootClock::Now());
  Log(LogLevel::kInfo, "store_era", { { "era", aEra } });
  this->PublishQuota();
  this->rowTimer.cancel();
}

bool
Fleet::IsMissed(const Member& aMember, BootTime aNow) const
{
  const BootTime since = std::max(aMember.heardAt, aMember.knownAt);
  return aMember.rowVersion != 0 && !this->IsAlive(aMember, aNow) &&
         aNow - since >= placing::QuotaOwnership::kMissedAfter;
}

bool
Fleet::IsSettled(const Member& aMember, BootTime aNow) const
{
  if (!this->ownReport.ready()) {
    // The whole fleet is starting.
    return true;
  }
  return this->IsAlive(aMember, aNow) && aMember.report.ready() &&
         aNow - aMember.readySince >= kSettleTime;
}

void
Fleet::FillQuota(VmReport& aReport, BootTime aNow) const
{
  aReport.set_tells_quota(this->ownership.IsRegistered());
  aReport.set_uses_quota_record(true);
  aReport.set_store_era(this->ownership.Era());
  if (aNow < this->grant.validUntil) {
    AddBounds(this->grant.ranges, *aReport.mutable_quota_bounds());
    if (!this->grant.ranges.empty()) {
      // Builds without a QuotaRecord borrow from one range only.
      aReport.set_quota_begin(this->grant.ranges.front().begin);
      aReport.set_quota_end(this->grant.ranges.front().end);
    }
  }
  std::set<std::string> heard;
  for (const auto& [name, member] : this->members) {
    if (this->IsMissed(member, aNow) && aReport.missed_vms_size() < kMaxMissedVms) {
      aReport.add_missed_vms(name);
    }
    for (const std::string& missed : member.report.missed_vms()) {
      const auto found = this->members.find(missed);
      if (this->IsAlive(member, aNow) && found != this->members.end() &&
          this->IsAlive(found->second, aNow)) {
        heard.insert(missed);
      }
    }
  }
  for (const std::string& name : heard) {
    aReport.add_heard_vms(name);
  }
}

std::vector<placing::QuotaPeer>
Fleet::QuotaPeers(BootTime aNow) const
{
  std::vector<placing::QuotaPeer> peers;
  peers.reserve(this->members.size());
  for (const auto& [name, member] : this->members) {
    const VmReport& report = member.report;
    const bool wasHeard = member.heardAt != BootTime{};
    peers.push_back(
      { .name = name,
        .isAlive = this->IsAlive(member, aNow),
        .heardAt = std::max(member.heardAt, member.knownAt),
        .usesAssignment = wasHeard ? report.uses_quota_record() : member.record.uses_quota_record(),
        .isHeir = report.tells_quota() && !report.leaving(),
        .isSettled = this->IsSettled(member, aNow),
        .hearsSelf = wasHeard && !report.misses_receiver(),
        .era = report.store_era(),
        .granted = GrantedBy(report),
        .missedVms = { report.missed_vms().begin(), report.missed_vms().end() },
        .heardVms = { report.heard_vms().begin(), report.heard_vms().end() } });
  }
  return peers;
}

Task<bool>
Fleet::ReadRows()
{
  const BootTime begunAt = BootClock::Now();
  for (auto& [name, member] : this->members) {
    member.seenRow.set_sent_at_ms(member.report.sent_at_ms());
    member.seenRowReports = 0;
  }
  const Result<platform::TableSnapshot> result =
    co_await this->client.ReadTable(platform::kFleetTable);
  if (!IsOk(result)) {
    co_return false;
  }
  const BootTime now = BootClock::Now();
  placing::QuotaRows quota;
  quota.era = ValueOf(result).era;
  for (auto& [name, member] : this->members) {
    member.rowVersion = 0;
  }
  for (const platform::StoreRow& row : ValueOf(result).rows) {
    VmRecord record;
    if (row.key == kQuotaKey) {
      DecodeQuotaRow(row, quota);
      continue;
    }
    if (!record.ParseFromString(row.value)) {
      Log(LogLevel::kError,
          "vm_row_unreadable",
          { { "row", row.key }, { "remedy", "Remove the row; its VM writes it again." } });
      continue;
    }
    quota.vms[row.key] = QuotaRowOf(record, row.version);
    if (row.key == this->self) {
      continue;
    }
    Member& member = this->members[row.key];
    this->roster.OnListed(row.key, record.region(), now);
    member.knownAt = member.knownAt == BootTime{} ? now : member.knownAt;
    member.rowVersion = row.version;
    member.record = record;
    member.row = std::move(record);
  }
  this->OnEra(quota.era);
  if (!this->ownership.OnRead(quota, begunAt, now)) {
    co_return false;
  }
  for (auto& [name, member] : this->members) {
    if (member.rowVersion != 0 && member.seenRow.sent_at_ms() != 0) {
      member.seenRow.set_era(quota.era);
      member.seenRow.set_row_version(member.rowVersion);
      member.seenRowReports = kSeenRowReports;
    }
  }
  this->ForgetLostMembers();
  co_return true;
}

void
Fleet::ForgetLostMembers()
{
  const BootTime now = BootClock::Now();
  for (auto member = this->members.begin(); member != this->members.end();) {
    const Member& lost = member->second;
    if (lost.rowVersion != 0 || now - std::max(lost.heardAt, lost.knownAt) < kForgetDelay) {
      ++member;
      continue;
    }
    Log(LogLevel::kInfo, "vm_forgotten", { { "vm", member->first } });
    this->link.Reset(lost.record.endpoint());
    member = this->members.erase(member);
  }
}

platform::RowWrite
Fleet::WriteOf(const placing::QuotaChange& aChange) const
{
  const auto has = [](const std::vector<std::string>& aNames, const std::string& aName) {
    return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
  };
  platform::RowWrite write;
  for (const auto& [vm, version] : aChange.conditions) {
    if (vm == this->self && aChange.writesSelf) {
      write.puts.push_back({ vm, this->SelfRecord().SerializeAsString(), version });
    } else if (has(aChange.suspects, vm)) {
      VmRecord record = this->members.at(vm).row;
      record.set_is_suspected(true);
      write.puts.push_back({ vm, record.SerializeAsString(), version });
    } else if (has(aChange.heirs, vm)) {
      write.puts.push_back({ vm, this->members.at(vm).row.SerializeAsString(), version });
    } else if (has(aChange.removals, vm)) {
      write.removals.push_back({ vm, {}, version });
    } else {
      write.conditions.push_back({ vm, {}, version });
    }
  }
  if (aChange.assignment) {
    write.puts.push_back(
      { kQuotaKey, EncodeQuotaRow(aChange, this->ownership.Era()), aChange.assignmentVersion });
  }
  return write;
}

void
Fleet::TellHeirs(const placing::QuotaChange& aChange)
{
  for (const std::string& vm : aChange.heirs) {
    const auto found = this->members.find(vm);
    if (found != this->members.end()) {
      found->second.hasQuotaNews = true;
      this->SendReport(found->second, false);
    }
  }
}

Task<bool>
Fleet::Apply(placing::QuotaChange aChange)
{
  const char* const kind = placing::ToString(aChange.kind);
  this->PublishQuota();
  co_await this->AwaitQuotaApplied();
  const std::uint64_t era = this->ownership.Era();
  const BootTime begunAt = BootClock::Now();
  const Result<platform::WrittenRows> written =
    co_await this->client.Write(platform::kFleetTable, this->WriteOf(aChange));
  const placing::QuotaWriteResult result = ResultOf(written, era);
  const std::uint64_t version = IsOk(written) ? ValueOf(written).version : 0;
  this->ownership.OnWritten(aChange, result, version, begunAt, BootClock::Now());
  const bool isDone = result == placing::QuotaWriteResult::kDone;
  if (isDone) {
    for (const auto* const vms : { &aChange.suspects, &aChange.heirs }) {
      for (const std::string& vm : *vms) {
        this->members[vm].rowVersion = version;
      }
    }
    this->TellHeirs(aChange);
  } else if (IsOk(written)) {
    this->OnEra(ValueOf(written).era);
  }
  this->PublishQuota();
  this->metrics.Count(isDone ? "plantainhaven_quota_changes_total"
                             : "plantainhaven_quota_changes_failed_total",
                      "kind",
                      kind);
  Log(LogLevel::kInfo,
      "quota_change",
      { { "kind", kind },
        { "done", isDone },
        { "vms", aChange.conditions.size() },
        { "quota_millionths", placing::TotalLength(this->grant.ranges) },
        { "error", IsOk(written) ? std::string() : ErrorOf(written).message } });
  co_return isDone;
}

void
Fleet::PublishQuota()
{
  const BootTime now = BootClock::Now();
  const QuotaGrant next = this->ownership.Grant(now);
  const bool isLapsed = !next.ranges.empty() && now >= next.validUntil;
  if (isLapsed != this->wasLapsed) {
    this->wasLapsed = isLapsed;
    this->metrics.Count(
      "plantainhaven_quota_lease_lapses_total", "change", isLapsed ? "lapsed" : "renewed");
    Log(LogLevel::kWarning, isLapsed ? "quota_lease_lapsed" : "quota_lease_renewed");
  }
  if (next == this->grant) {
    return;
  }
  this->grant = next;
  this->metrics.Set("plantainhaven_quota_part",
                    static_cast<double>(placing::TotalLength(next.ranges)) /
                      static_cast<double>(kQuotaRingSize));
  ++this->pendingGrants;
  this->listener.onQuota(next, [this] {
    --this->pendingGrants;
    this->grantTimer.cancel();
  });
}

Task<void>
Fleet::AwaitQuotaApplied()
{
  while (this->pendingGrants > 0) {
    co_await Sleep(this->grantTimer, kGrantPoll);
  }
}

void
Fleet::BeginHandOver()
{
  this->ownership.BeginStop();
  this->rowTimer.cancel();
}

bool
Fleet::IsHandedOver() const
{
  return this->ownership.IsHandedOver();
}

Task<std::chrono::milliseconds>
Fleet::StepRows()
{
  const BootTime now = BootClock::Now();
  this->ownership.OnPeers(this->QuotaPeers(now), now);
  const bool wasRegistered = this->ownership.IsRegistered();
  const std::chrono::milliseconds failurePause = wasRegistered ? kFailurePause : kRetryPause;
  if (this->ownership.NeedsRead(now)) {
    const bool isRead = co_await this->ReadRows();
    if (!isRead) {
      co_return failurePause;
    }
    this->SendIntroductions();
  }
  std::chrono::milliseconds pause{ 0 };
  if (auto change = this->ownership.NextChange(BootClock::Now())) {
    const bool isDone = co_await this->Apply(std::move(*change));
    const std::uniform_int_distribution<std::int64_t>::param_type spread(
      0, kConflictPausePerVm.count() * static_cast<std::int64_t>(this->members.size() + 1));
    pause = isDone
              ? kChangePause
              : kRetryPause + std::chrono::milliseconds(
                                std::uniform_int_distribution<std::int64_t>(spread)(this->random));
  }
  this->PublishQuota();
  co_return pause;
}

Task<void>
Fleet::RunRows()
{
  bool isFirst = true;
  while (true) {
    const std::chrono::milliseconds pause = co_await this->StepRows();
    if (isFirst && this->ownership.IsRegistered()) {
      isFirst = false;
      this->SendIntroductions();
      co_await Sleep(this->rowTimer, kStartupGatherTime);
      this->ownership.RequestRead();
      continue;
    }
    co_await Sleep(this->rowTimer, pause.count() > 0 ? pause : kRowTick);
  }
}

} // namespace plantainhaven::edge
