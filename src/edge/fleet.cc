#include "edge/fleet.h"

#include "plantainhaven/common/log.h"
#include "platform/names.h"

#include <algorithm>
#include <random>
#include <utility>

namespace plantainhaven::edge {
namespace {

constexpr std::uint32_t kProtocolVersion = 2;
// Messages are looked for this often; the delay that it adds to a message.
constexpr std::chrono::milliseconds kLinkPoll{ 15 };
constexpr int kMostMessagesPerPoll = 512;
// VMs of other regions get each third report: they need it for the split between regions
// and as lenders only.
constexpr std::uint64_t kFarReports = 3;
// Silence after which a VM is taken as gone: three reports and their way.
constexpr std::chrono::milliseconds kSilent{ 1800 };
constexpr std::chrono::milliseconds kFarSilent{ 4800 };
// VMs that stay silent for this long are worth a look of an operator.
constexpr std::chrono::seconds kWarnSilent{ 10 };
// A longer pause between two polls means that this VM stood still, not the others.
constexpr std::chrono::milliseconds kStoodStill{ 700 };
constexpr std::chrono::milliseconds kRetryPause{ 300 };
// VMs that start together write their rows within this time.
constexpr std::chrono::milliseconds kGather{ 1200 };
constexpr std::chrono::milliseconds kPartPoll{ 1500 };
constexpr std::chrono::milliseconds kRowPoll{ 15000 };
// Polls for the first part after the start, before the slow pace.
constexpr int kPartPolls = 8;
// Pause between two writes that share out the limits among many VMs.
constexpr std::chrono::milliseconds kNextShare{ 100 };
// One row of each write is the giver's own.
constexpr std::size_t kMostReceivers = platform::StoreClient::kMaxRowsPerWrite - 1;
// Time in which every living VM hears of the store's new era and has written its row again:
// a long poll, the message to the other VMs of the region, and two writes.
constexpr std::chrono::milliseconds kEraSettles{ 4000 };
// The first era; later ones mean that the store came back from a copy at some time.
constexpr std::uint64_t kFirstEra = 1;
// Row whose existence says that the whole of the limits was given out once.
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

std::uint64_t
NewIncarnation()
{
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32) | source();
}

} // namespace

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
  , tickedAt(BootClock::Now())
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
  const bool wasTaken = this->link.Send(aEndpoint, aMessage);
  if (!wasTaken) {
    this->metrics.Count("plantainhaven_peer_messages_dropped_total");
  }
  return wasTaken;
}

void
Fleet::Report(VmReport aReport)
{
  const bool isNews =
    aReport.ready() != this->ownReport.ready() || aReport.leaving() != this->ownReport.leaving();
  aReport.set_callers(this->settings.listen().callers());
  aReport.set_region(this->settings.vm().region());
  aReport.set_failure_domain(this->settings.vm().failure_domain());
  aReport.set_tells_quota(this->isRegistered);
  aReport.set_quota_begin(this->ownRange.begin);
  aReport.set_quota_end(this->ownRange.end);
  this->ownReport = std::move(aReport);
  this->ResetSilent();
  const bool isFarTurn = isNews || this->reports++ % kFarReports == 0;
  for (auto& [name, member] : this->members) {
    if (isFarTurn || this->IsNear(member) || member.linkWatch.NeedsResend()) {
      this->SendReport(member, false);
    }
  }
  if (isNews) {
    this->PublishView();
  }
}

void
Fleet::ResetSilent()
{
  const BootTime now = BootClock::Now();
  for (auto& [name, member] : this->members) {
    const std::uint64_t turns = this->IsNear(member) ? 1 : kFarReports;
    if (member.linkWatch.TakeReconnect(turns * kReportInterval, now)) {
      this->link.Reset(member.record.endpoint());
      this->metrics.Count("plantainhaven_peer_links_reset_total");
      Log(LogLevel::kInfo, "peer_link_reset", { { "vm", name } });
    }
  }
}

void
Fleet::Introduce()
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
  if (!this->IsNear(aMember)) {
    report.clear_loads();
  }
  const BootTime now = BootClock::Now();
  report.set_misses_receiver(!this->IsHeard(aMember, now));
  const bool wasTaken = this->Send(aMember.record.endpoint(), std::move(message));
  aMember.linkWatch.OnSent(wasTaken, now);
}

void
Fleet::SendNear(const Envelope& aMessage)
{
  const BootTime now = BootClock::Now();
  for (const auto& [name, member] : this->members) {
    if (this->IsNear(member) && this->IsHeard(member, now)) {
      this->Send(member.record.endpoint(), aMessage);
    }
  }
}

std::size_t
Fleet::NearCount() const
{
  const BootTime now = BootClock::Now();
  const auto others =
    std::count_if(this->members.begin(), this->members.end(), [&](const auto& aEntry) {
      return this->IsNear(aEntry.second) && this->IsHeard(aEntry.second, now);
    });
  return static_cast<std::size_t>(others) + 1;
}

bool
Fleet::IsNear(const Member& aMember) const
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
    const auto pause = now - this->tickedAt;
    if (pause > kStoodStill) {
      Log(LogLevel::kWarning, "stood_still", { { "ms", ToMilliseconds(pause).count() } });
      for (auto& [name, member] : this->members) {
        member.heardAt += pause;
      }
    }
    this->tickedAt = now;
    for (int i = 0; i < kMostMessagesPerPoll; ++i) {
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
  } else if (aMessage.has_table_news()) {
    this->listener.onNews(aMessage.from(), aMessage.table_news());
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
  const bool isNews = !this->IsHeard(member, now) || member.report.ready() != report.ready() ||
                      member.report.leaving() != report.leaving();
  if (isNews) {
    Log(LogLevel::kInfo,
        "peer",
        { { "vm", aMessage.from() },
          { "ready", report.ready() },
          { "leaving", report.leaving() },
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
  member.linkWatch.OnReport(!report.misses_receiver());
  if (report.introduction()) {
    this->SendReport(member, false);
  }
  if (report.loads_size() > 0) {
    this->listener.onNearReport(report);
  }
  if (isNews) {
    this->PublishView();
  }
}

bool
Fleet::IsHeard(const Member& aMember, BootTime aNow) const
{
  const auto silent = this->IsNear(aMember) ? kSilent : kFarSilent;
  return aMember.heardAt != BootTime{} && aNow - aMember.heardAt < silent;
}

bool
Fleet::HasStoreContact(std::chrono::milliseconds aTime) const
{
  const BootTime now = BootClock::Now();
  return std::any_of(this->members.begin(), this->members.end(), [&](const auto& aEntry) {
    const std::chrono::milliseconds contact(aEntry.second.report.store_contact_ms());
    return this->IsHeard(aEntry.second, now) && contact >= aTime;
  });
}

void
Fleet::PublishView()
{
  FleetView view;
  const BootTime now = BootClock::Now();
  const auto& vm = this->settings.vm();
  view.senders.push_back({ this->self, vm.region() });
  if (this->ownReport.ready()) {
    view.entries.push_back(
      { this->self, this->settings.listen().callers(), vm.region(), vm.failure_domain() });
  }
  for (const auto& [name, member] : this->members) {
    if (!this->IsHeard(member, now)) {
      continue;
    }
    const VmReport& report = member.report;
    view.senders.push_back({ name, report.region() });
    view.holders.push_back(
      { RangeOf(member.record), member.record.endpoint(), report.region() == vm.region() });
    if (report.ready() && !report.leaving()) {
      view.entries.push_back({ name, report.callers(), report.region(), report.failure_domain() });
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
  const bool canHaveTokens =
    this->members.empty() || !view.holders.empty() || !this->ownRange.IsEmpty();
  view.isSettled = this->isRegistered && canHaveTokens;
  this->WatchHeard(view.holders.size(), now);
  this->listener.onView(std::move(view));
}

void
Fleet::WatchHeard(std::size_t aHeard, BootTime aNow)
{
  const auto expected = static_cast<std::size_t>(
    std::count_if(this->members.begin(), this->members.end(), [](const auto& aEntry) {
      return !aEntry.second.report.leaving();
    }));
  this->metrics.Set("plantainhaven_peers_heard", static_cast<double>(aHeard));
  this->metrics.Set("plantainhaven_peers_expected", static_cast<double>(expected));
  if (aHeard >= expected) {
    this->silentSince = BootTime{};
    this->hasWarned = false;
    return;
  }
  if (this->silentSince == BootTime{}) {
    this->silentSince = aNow;
  }
  if (!this->hasWarned && aNow - this->silentSince > kWarnSilent) {
    this->hasWarned = true;
    Log(LogLevel::kWarning, "peers_silent", { { "expected", expected }, { "heard", aHeard } });
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
  this->eraSettlesAt = BootClock::Now() + kEraSettles;
  this->rowTimer.cancel();
}

void
Fleet::TakeOwnRow(const VmRecord& aRecord, std::uint64_t aVersion)
{
  this->ownVersion = aVersion;
  this->isOfThisEra = this->era <= kFirstEra || aRecord.era() == this->era;
  // What this process holds is newer than the copy.
  if (this->isOfThisEra || !this->isRegistered) {
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
  this->isOfThisEra = this->era <= kFirstEra || !this->isRegistered;
  if (this->isOfThisEra) {
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
      this->TakeOwnRow(record, row.version);
      continue;
    }
    Member& member = this->members[row.key];
    member.rowVersion = row.version;
    member.isOfThisEra = this->era <= kFirstEra || record.era() == this->era;
    const bool keepsClaim = !member.isOfThisEra && member.report.tells_quota();
    const QuotaRange claim = RangeOf(member.record);
    member.record = record;
    if (keepsClaim) {
      SetRange(member.record, claim);
    }
  }
  co_return true;
}

// Writes this VM's row. The first VM of all takes the whole of the limits, once for the
// life of the table.
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
  this->isOfThisEra = true;
  this->isRegistered = true;
  Log(LogLevel::kInfo,
      "registered",
      { { "vms", this->members.size() + 1 }, { "quota_millionths", range.Length() } });
  co_return true;
}

// The part of a range of an older row that neither a row of this era nor a VM that was heard
// claims.
QuotaRange
Fleet::UnclaimedPart(const QuotaRange& aRange) const
{
  const BootTime now = BootClock::Now();
  std::vector<QuotaRange> claimed;
  for (const auto& [name, member] : this->members) {
    if (member.isOfThisEra || this->IsHeard(member, now)) {
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
  const bool isOldRow = this->ownVersion != 0 && !this->isOfThisEra;
  const bool isAlone = this->ownVersion == 0 && this->members.empty();
  const auto left = this->eraSettlesAt - BootClock::Now();
  if ((isOldRow || isAlone) && left > BootClock::duration(0)) {
    Log(LogLevel::kInfo, "era_settles", { { "era", this->era } });
    co_await Sleep(this->rowTimer, ToMilliseconds(left));
    co_return false;
  }
  if (isOldRow) {
    this->ownRange = this->UnclaimedPart(this->ownRange);
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
Fleet::Parts() const
{
  std::vector<VmQuota> parts{ { this->self, this->ownRange } };
  for (const auto& [name, member] : this->members) {
    if (member.rowVersion != 0) {
      parts.push_back({ name, RangeOf(member.record) });
    }
  }
  return parts;
}

// Gives parts to VMs that have none. The smaller part is in force here before the store
// knows of the larger ones elsewhere.
Task<bool>
Fleet::GiveParts()
{
  if (BootClock::Now() < this->eraSettlesAt) {
    co_return false;
  }
  const auto shared = SplitQuota(this->Parts(), this->self, kMostReceivers);
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
  this->Introduce();
  co_await Sleep(this->rowTimer, kGather);
  for (int round = 0;; ++round) {
    const bool isRead = co_await this->ReadRows();
    bool hasGiven = false;
    bool isAsserted = isRead;
    if (isRead && !this->isOfThisEra) {
      isAsserted = co_await this->RegisterSelf();
    }
    if (isRead) {
      this->PublishRange();
      this->Introduce();
      hasGiven = co_await this->GiveParts();
    }
    std::chrono::milliseconds pause = kRowPoll;
    if (!isAsserted && this->era > kFirstEra) {
      pause = kRetryPause;
    } else if (hasGiven) {
      pause = kNextShare;
    } else if (round < kPartPolls && this->ownRange.IsEmpty()) {
      pause = kPartPoll;
    }
    co_await Sleep(this->rowTimer, pause);
  }
}

} // namespace plantainhaven::edge
