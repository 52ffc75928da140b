#include "programs/plantain-lookupd/view_thread.h"

#include "plantainhaven/common/log.h"

#include <algorithm>
#include <utility>

namespace plantainhaven {
namespace {

using std::chrono::milliseconds;

constexpr const char* kRole = "lookup";
constexpr const char* kBlockKind = "client_block";
// The shortest timeout bounds the time to detect a restarted plantain-controld. The timeout
// doubles after each missing response, so that a whole configuration has time to arrive.
constexpr milliseconds kShortestAskTimeout{ 250 };
constexpr milliseconds kLongestAskTimeout{ 1000 };
constexpr milliseconds kLongestWholeAskTimeout{ 4000 };

bool
ChangesBlocks(const ViewChange& aChange)
{
  return aChange.configurationReplaced ||
         std::find(aChange.changedKinds.begin(), aChange.changedKinds.end(), kBlockKind) !=
           aChange.changedKinds.end();
}

} // namespace

ViewThread::ViewThread(ViewThreadOptions aOptions, PublishedPolicy& aPolicy, Metrics& aMetrics)
  : options(std::move(aOptions))
  , policy(aPolicy)
  , metrics(aMetrics)
  , client(this->options.address, this->options.port)
  , follower(kRole)
  , table(std::make_shared<const LookupTable>(this->follower.Current()))
  , askTimeout(kShortestAskTimeout)
  , thread([this] { this->Run(); })
{
}

ViewThread::~ViewThread()
{
  {
    const std::lock_guard guard(this->mutex);
    this->stopping = true;
  }
  this->wakeUp.notify_all();
  this->thread.join();
}

void
ViewThread::Run()
{
  do {
    this->Step();
  } while (!this->StopWithin(this->options.interval));
}

void
ViewThread::Step()
{
  const std::optional<ViewAnswer> answer =
    this->client.RequestView(this->follower.BuildRequest(), this->askTimeout);
  if (answer) {
    this->TakeAnswer(*answer);
  } else {
    this->NoAnswer();
  }
}

void
ViewThread::TakeAnswer(const ViewAnswer& aAnswer)
{
  if (!this->answering) {
    Log(LogLevel::kInfo, "controld_answers", { { "vm", aAnswer.vm() } });
  }
  this->answering = true;
  this->askTimeout = kShortestAskTimeout;
  const ViewChange change = this->follower.OnAnswer(aAnswer);
  if (change.failed) {
    this->metrics.Count("plantainhaven_view_restarts_total", "reason", "unusable_answer");
    Log(LogLevel::kWarning,
        "answer_unusable",
        { { "applied_revision", this->follower.Current().AppliedRevision() },
          { "answer_revision", aAnswer.applied_revision() },
          { "remedy", "the whole configuration is fetched again" } });
  }
  if (ChangesBlocks(change)) {
    this->RebuildTable();
  }
  this->Publish();
}

void
ViewThread::NoAnswer()
{
  this->metrics.Count("plantainhaven_missing_answers_total", "peer", "controld");
  if (this->answering) {
    Log(LogLevel::kWarning,
        "controld_silent",
        { { "waited_ms", this->askTimeout.count() },
          { "remedy", "check that plantain-controld of this VM runs" } });
  }
  this->answering = false;
  const bool asksForWhole = this->follower.BuildRequest().applied_revision() == 0;
  const milliseconds longest = asksForWhole ? kLongestWholeAskTimeout : kLongestAskTimeout;
  this->askTimeout = std::min(2 * this->askTimeout, longest);
}

void
ViewThread::RebuildTable()
{
  const BootTime start = BootClock::Now();
  this->table = std::make_shared<const LookupTable>(this->follower.Current());
  this->metrics.Observe("plantainhaven_lookup_table_build_seconds", BootClock::Now() - start);
  this->metrics.Set("plantainhaven_lookup_table_bytes",
                    static_cast<double>(this->table->Footprint()));
  this->metrics.Set("plantainhaven_lookup_table_ranges",
                    static_cast<double>(this->table->RangeCount()));
}

void
ViewThread::Publish()
{
  const LookupView view{ this->follower.FreshUntil(),
                         this->follower.Leaving(),
                         this->follower.Vms() };
  auto next = std::make_shared<const LookupPolicy>(
    this->options.lookup, this->table, this->follower.Current(), view);
  this->metrics.Set("plantainhaven_applied_revision", static_cast<double>(next->AppliedRevision()));
  this->metrics.Set("plantainhaven_usable_vms", static_cast<double>(next->UsableVmCount()));
  this->policy.store(std::move(next));
}

bool
ViewThread::StopWithin(milliseconds aTime)
{
  std::unique_lock lock(this->mutex);
  return this->wakeUp.wait_for(lock, aTime, [this] { return this->stopping; });
}

} // namespace plantainhaven
