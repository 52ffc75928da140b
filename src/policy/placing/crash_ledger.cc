#include "plantainhaven/policy/placing/crash_ledger.h"

#include <algorithm>

namespace plantainhaven::placing {
namespace {

// Crashes that aren't enough for a quarantine are forgotten after this time.
constexpr std::chrono::seconds kSuspicionMemory{ 120 };
// A quarantine lasts this long, and twice as long after each further crash: a fixed release of the
// service may be able to run the request.
constexpr std::chrono::seconds kFirstQuarantine{ 60 };
// Records of a quarantine are forgotten after this time.
constexpr std::chrono::hours kQuarantineMemory{ 2 };
// An answer clears the crashes before it for this long, in case another VM tells of them late.
constexpr std::chrono::seconds kAnswerMemory{ 30 };
constexpr std::size_t kMaxCrashes = 8;
constexpr std::size_t kCrashesToSuspect = 2;
constexpr std::chrono::seconds kExpiryInterval{ 1 };
constexpr std::chrono::seconds kNewsTime{ 3 };

} // namespace

std::size_t
CrashLedger::Count(const CrashRecord& aRecord)
{
  return static_cast<std::size_t>(std::count_if(
    aRecord.crashes.begin(), aRecord.crashes.end(), [&](const CrashRecord::Crash& aCrash) {
      return aCrash.at > aRecord.answeredAt;
    }));
}

BootTime
CrashLedger::LastCrash(const CrashRecord& aRecord)
{
  BootTime last{};
  for (const CrashRecord::Crash& crash : aRecord.crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

BootTime
CrashLedger::QuarantinedUntil(const CrashRecord& aRecord)
{
  const std::size_t count = Count(aRecord);
  if (count < kCrashesToQuarantine) {
    return BootTime{};
  }
  return LastCrash(aRecord) + kFirstQuarantine * (1 << (count - kCrashesToQuarantine));
}

CrashLedger::Entry&
CrashLedger::EntryOf(const RequestDigest& aRequest)
{
  const auto found = this->entries.find(aRequest);
  if (found != this->entries.end()) {
    return found->second;
  }
  if (this->entries.size() >= kMaxRequests) {
    // Requests with little evidence give way to new ones before those with more.
    const auto least = std::min_element(
      this->entries.begin(), this->entries.end(), [](const auto& aLeft, const auto& aRight) {
        return std::pair(Count(aLeft.second.record), aLeft.second.changedAt) <
               std::pair(Count(aRight.second.record), aRight.second.changedAt);
      });
    this->entries.erase(least);
  }
  Entry& entry = this->entries[aRequest];
  entry.record.request = aRequest;
  return entry;
}

bool
CrashLedger::Add(Entry& aEntry, const CrashRecord::Crash& aCrash, BootTime aNow)
{
  auto& crashes = aEntry.record.crashes;
  const bool isKnown =
    std::any_of(crashes.begin(), crashes.end(), [&](const CrashRecord::Crash& aOther) {
      return aOther.server == aCrash.server;
    });
  if (isKnown || aCrash.at <= aEntry.record.answeredAt) {
    return false;
  }
  if (crashes.size() >= kMaxCrashes) {
    crashes.erase(crashes.begin());
  }
  crashes.push_back(aCrash);
  aEntry.changedAt = aNow;
  return true;
}

void
CrashLedger::Expire(BootTime aNow)
{
  if (aNow - this->expiredAt < kExpiryInterval) {
    return;
  }
  this->expiredAt = aNow;
  std::erase_if(this->entries, [aNow](const auto& aEntry) {
    const CrashRecord& record = aEntry.second.record;
    const auto memory = Count(record) < kCrashesToQuarantine
                          ? std::chrono::seconds(kSuspicionMemory)
                          : std::chrono::seconds(kQuarantineMemory);
    return aNow - LastCrash(record) > memory && aNow - record.answeredAt > kAnswerMemory;
  });
}

void
CrashLedger::OnCrash(const RequestDigest& aRequest, std::uint64_t aServer, BootTime aNow)
{
  this->Expire(aNow);
  Entry& entry = this->EntryOf(aRequest);
  if (this->Add(entry, { aServer, aNow }, aNow)) {
    entry.seenAt = aNow;
    this->hasNews = this->hasNews || Count(entry.record) >= kCrashesToQuarantine;
  }
}

void
CrashLedger::Clear(BootTime aNow)
{
  for (auto& [request, entry] : this->entries) {
    entry.record.answeredAt = aNow;
    entry.record.crashes.clear();
    entry.changedAt = aNow;
    entry.seenAt = aNow;
  }
}

void
CrashLedger::OnAnswered(const RequestDigest& aRequest, BootTime aNow)
{
  const auto found = this->entries.find(aRequest);
  if (found == this->entries.end()) {
    return;
  }
  const bool hadCrashes = Count(found->second.record) > 0;
  found->second.record.answeredAt = aNow;
  found->second.record.crashes.clear();
  if (hadCrashes) {
    found->second.changedAt = aNow;
    found->second.seenAt = aNow;
  }
}

void
CrashLedger::Merge(const CrashRecord& aRecord, BootTime aNow)
{
  this->Expire(aNow);
  const bool isKnown = this->entries.contains(aRecord.request);
  if (!isKnown && aRecord.crashes.empty()) {
    return;
  }
  Entry& entry = this->EntryOf(aRecord.request);
  entry.record.answeredAt = std::max(entry.record.answeredAt, aRecord.answeredAt);
  std::erase_if(entry.record.crashes, [&](const CrashRecord::Crash& aCrash) {
    return aCrash.at <= entry.record.answeredAt;
  });
  for (const CrashRecord::Crash& crash : aRecord.crashes) {
    this->Add(entry, crash, aNow);
  }
}

CrashVerdict
CrashLedger::VerdictOn(const RequestDigest& aRequest, BootTime aNow) const
{
  const auto found = this->entries.find(aRequest);
  if (found == this->entries.end()) {
    return CrashVerdict::kUnsuspected;
  }
  if (aNow < QuarantinedUntil(found->second.record)) {
    return CrashVerdict::kQuarantined;
  }
  return Count(found->second.record) >= kCrashesToSuspect ? CrashVerdict::kSuspected
                                                          : CrashVerdict::kUnsuspected;
}

std::chrono::milliseconds
CrashLedger::TimeLeft(const RequestDigest& aRequest, BootTime aNow) const
{
  const auto found = this->entries.find(aRequest);
  if (found == this->entries.end()) {
    return std::chrono::milliseconds(0);
  }
  const auto left = QuarantinedUntil(found->second.record) - aNow;
  return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                  std::chrono::milliseconds(0));
}

void
CrashLedger::OnSent(const RequestDigest& aRequest)
{
  ++this->running[aRequest];
}

void
CrashLedger::OnEnded(const RequestDigest& aRequest)
{
  const auto found = this->running.find(aRequest);
  if (found != this->running.end() && --found->second == 0) {
    this->running.erase(found);
  }
}

std::vector<CrashRecord>
CrashLedger::NextReport(BootTime aNow)
{
  this->Expire(aNow);
  this->hasNews = false;
  std::vector<CrashRecord> reported;
  std::vector<const CrashRecord*> others;
  for (const auto& [request, entry] : this->entries) {
    if (aNow - entry.seenAt < kNewsTime && reported.size() < kMaxOwnReported) {
      reported.push_back(entry.record);
    } else if (Count(entry.record) >= kCrashesToSuspect) {
      others.push_back(&entry.record);
    }
  }
  const std::size_t count = std::min(kMaxOthersReported, others.size());
  for (std::size_t i = 0; i < count; ++i) {
    reported.push_back(*others[(this->position + i) % others.size()]);
  }
  this->position += count;
  return reported;
}

std::vector<CrashRecord>
CrashLedger::Quarantined(BootTime aNow) const
{
  std::vector<CrashRecord> records;
  for (const auto& [request, entry] : this->entries) {
    if (aNow < QuarantinedUntil(entry.record)) {
      records.push_back(entry.record);
    }
  }
  return records;
}

} // namespace plantainhaven::placing
