#include "ledger.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::soak {
namespace {

// Number of executed requests that may end without a response although their VM was not
// disturbed, as the agreed bounds allow.
constexpr int kMostLost = 3;
// Requests sent up to this long after a disturbance of their VM may be lost.
constexpr std::chrono::seconds kDisturbedFor{ 4 };
// Maximum number of violations that are recorded during the run.
constexpr std::size_t kMostLines = 20;
// A server's rate limit binds this long after the server first named it, and a VM this long after a
// request whose response named it has begun to run: the slowest response and the agreed half
// second.
constexpr std::chrono::milliseconds kLimitNoticeTime{ 4000 };
constexpr std::chrono::milliseconds kLimitReactionTime{ 2500 };
// The agreed window of a rate limit, and the factor and number by which it may be exceeded.
constexpr std::chrono::seconds kLimitWindow{ 4 };
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;

bool
StatesNotExecuted(unsigned aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

// The most times in any window of this length. The times must be sorted.
std::size_t
MostInWindow(const std::vector<BootTime>& aTimes, std::chrono::seconds aWindow)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aTimes.size(); ++last) {
    while (aTimes[last] - aTimes[first] > aWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

} // namespace

void
Ledger::Break(const std::string& aRule, const std::string& aText)
{
  if (this->broken.size() < kMostLines) {
    this->broken.push_back(aRule + ": " + aText);
  }
}

void
Ledger::OnSent(const std::string& aId, SentRequest aRequest)
{
  this->entries[aId].sent = std::move(aRequest);
}

void
Ledger::OnRun(const standin::ServerRun& aRun, const std::string& aService, BootTime aNow)
{
  const auto found = this->entries.find(aRun.requestId);
  if (found == this->entries.end()) {
    this->Break("UNASKED", "no caller sent " + aRun.requestId);
    return;
  }
  Entry& entry = found->second;
  ++entry.runs;
  entry.ranAfterAnswer = entry.ranAfterAnswer || entry.isAnswered;
  if (aRun.method != entry.sent.method || aRun.path != entry.sent.path) {
    this->Break("UNASKED", aRun.requestId + " ran as " + aRun.method + " " + aRun.path);
  }
  if (aRun.account != entry.sent.account || aRun.hasClientKey) {
    this->Break("UNASKED", aRun.requestId + " ran for account " + aRun.account);
  }
  const bool isOnlyShop = entry.sent.path.starts_with("/book/");
  if (isOnlyShop && aService != "shop") {
    this->Break("ROUTE", aRun.requestId + " ran at " + aService);
  }
  if (aRun.account == kLimitedAccount) {
    this->limitedRuns.push_back(aNow);
  }
  this->CountLimitedRun(entry.sent.vm, aRun, aNow);
}

void
Ledger::CountLimitedRun(const std::string& aVm, const standin::ServerRun& aRun, BootTime aNow)
{
  const auto found = this->limitEpochs.find(aRun.server);
  if (found == this->limitEpochs.end() || !aRun.isToldLimit) {
    return;
  }
  LimitEpoch& epoch = found->second;
  const BootTime toldAt = epoch.toldAt.try_emplace(aVm, aNow).first->second;
  const bool isBound =
    aNow >= epoch.namedAt + kLimitNoticeTime && aNow >= toldAt + kLimitReactionTime;
  if (isBound && !this->WasDisturbedBefore(aVm, aNow)) {
    epoch.runs.push_back(aNow);
  }
}

void
Ledger::OnLimit(const std::string& aServer, std::optional<double> aRate, BootTime aNow)
{
  const auto found = this->limitEpochs.find(aServer);
  if (found != this->limitEpochs.end()) {
    this->CheckLimit(aServer, found->second, this->broken);
    this->limitEpochs.erase(found);
  }
  if (aRate) {
    this->limitEpochs[aServer] = { *aRate, aNow, {}, {} };
  }
}

void
Ledger::CheckLimit(const std::string& aServer,
                   const LimitEpoch& aEpoch,
                   std::vector<std::string>& aInto) const
{
  const double allowed =
    kLimitFactor * aEpoch.rate * static_cast<double>(kLimitWindow.count()) + kLimitSlack;
  const std::size_t most = MostInWindow(aEpoch.runs, kLimitWindow);
  if (static_cast<double>(most) > allowed) {
    aInto.push_back("LIMIT: " + aServer + " named " + std::to_string(aEpoch.rate) +
                    " a second and ran " + std::to_string(most) +
                    " requests in a window, allowed " + std::to_string(allowed));
  }
}

bool
Ledger::WasDisturbedBefore(const std::string& aVm, BootTime aTime) const
{
  const auto [first, last] = this->disturbed.equal_range(aVm);
  return std::any_of(first, last, [aTime](const auto& aItem) {
    return aItem.second <= aTime && aTime < aItem.second + kDisturbedFor;
  });
}

void
Ledger::OnResponse(const std::string& aId, ReceivedResponse aAnswer)
{
  Entry& entry = this->entries[aId];
  entry.isAnswered = true;
  entry.got = std::move(aAnswer);
}

void
Ledger::OnVmDisturbed(const std::string& aVm, BootTime aNow)
{
  this->disturbed.emplace(aVm, aNow);
}

bool
Ledger::WasDisturbed(const Entry& aEntry) const
{
  const auto [first, last] = this->disturbed.equal_range(aEntry.sent.vm);
  return std::any_of(first, last, [&aEntry](const auto& aItem) {
    return aItem.second + kDisturbedFor > aEntry.sent.sentAt && aItem.second <= aEntry.got.at;
  });
}

void
Ledger::CheckEntry(const std::string& aId,
                   const Entry& aEntry,
                   std::vector<std::string>& aInto) const
{
  const std::string status = std::to_string(aEntry.got.status);
  if (!aEntry.sent.isIdempotent && aEntry.runs > 1) {
    aInto.push_back("TWICE: " + aId + " ran " + std::to_string(aEntry.runs) + " times");
  }
  if (!aEntry.sent.isIdempotent && aEntry.runs > 0 && StatesNotExecuted(aEntry.got.status)) {
    aInto.push_back("REFUSED: " + aId + " ran and got " + status);
  }
  const bool isSuccess = aEntry.got.status / 100 == 2;
  const std::string::size_type space = aEntry.got.body.find(' ');
  const bool isOwnBody =
    space != std::string::npos && aEntry.got.body.compare(space + 1, std::string::npos, aId) == 0;
  if (isSuccess && (!aEntry.got.isSigned || !isOwnBody || aEntry.runs == 0)) {
    aInto.push_back("MIXED: " + aId + " got " + status + " with \"" + aEntry.got.body + "\"");
  }
  const unsigned status4 = aEntry.got.status;
  if (status4 == 400 || status4 == 401 || status4 == 404 || status4 == 413 || status4 == 431) {
    aInto.push_back("DENIED: " + aId + " got " + status);
  }
}

std::vector<std::string>
Ledger::Broken() const
{
  std::vector<std::string> all = this->broken;
  std::vector<std::string> lost;
  for (const auto& [id, entry] : this->entries) {
    this->CheckEntry(id, entry, all);
    const bool isLost = entry.isAnswered && entry.got.status == 0 && entry.runs > 0;
    if (isLost && !this->WasDisturbed(entry)) {
      lost.push_back("LOST: " + id + " ran, and its connection to " + entry.sent.vm +
                     " ended without an answer");
    }
  }
  for (const auto& [server, epoch] : this->limitEpochs) {
    this->CheckLimit(server, epoch, all);
  }
  if (lost.size() > kMostLost) {
    all.insert(all.end(), lost.begin(), lost.end());
  }
  const double allowed =
    (this->limits.rate * static_cast<double>(this->limits.window.count()) + this->limits.burst) *
      (1 + this->limits.overage) +
    this->limits.slack;
  const auto most = static_cast<double>(MostInWindow(this->limitedRuns, this->limits.window));
  if (most > allowed) {
    all.push_back("QUOTA: expected at most " + std::to_string(allowed) +
                  " runs in a window, found " + std::to_string(most));
  }
  return all;
}

double
Ledger::ServedPart(BootTime aFrom, BootTime aUntil) const
{
  double sent = 0;
  double served = 0;
  for (const auto& [id, entry] : this->entries) {
    const bool isIn = entry.sent.sentAt >= aFrom && entry.sent.sentAt < aUntil;
    const bool isOwed = entry.sent.account != kLimitedAccount;
    sent += isIn && isOwed ? 1 : 0;
    served += isIn && isOwed && entry.got.status == 200 ? 1 : 0;
  }
  return sent > 0 ? served / sent : 1;
}

std::string
Ledger::Summary() const
{
  std::map<unsigned, int> byStatus;
  for (const auto& [id, entry] : this->entries) {
    ++byStatus[entry.got.status];
  }
  std::string text = "requests=" + std::to_string(this->entries.size());
  for (const auto& [status, count] : byStatus) {
    text += " status_" + std::to_string(status) + "=" + std::to_string(count);
  }
  return text +
         " limited_most=" + std::to_string(MostInWindow(this->limitedRuns, this->limits.window));
}

} // namespace plantainhaven::soak
