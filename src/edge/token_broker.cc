#include "edge/token_broker.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Holders of an account that are asked at once.
constexpr std::size_t kHoldersAsked = 2;
// A request waits this long for a token: two exchanges between far regions.
constexpr std::chrono::milliseconds kLongestWait{ 300 };
// An ask without an answer for this long is taken as lost.
constexpr std::chrono::milliseconds kAskLost{ 250 };
// After all holders asked had nothing, the account isn't asked for again for this long.
constexpr std::chrono::milliseconds kEmptyFor{ 100 };
// A holder that didn't answer isn't asked for this long: a report's time.
constexpr std::chrono::milliseconds kSilentFor{ 1500 };

} // namespace

TokenBroker::TokenBroker(asio::io_context& aContext,
                         Metrics& aMetrics,
                         PeerSender aSendToPeer,
                         std::mt19937_64& aRandom)
  : context(aContext)
  , metrics(aMetrics)
  , sendToPeer(std::move(aSendToPeer))
  , random(aRandom)
  , buckets(BootClock::Now())
{
}

Task<TokenAcquisition>
TokenBroker::Acquire(std::string aAccount)
{
  const BootTime now = BootClock::Now();
  const TokenAcquisition first = this->buckets.TryAcquire(aAccount, now);
  if (first.acquired) {
    co_return first;
  }
  Queue& queue = this->queues[aAccount];
  if (now < queue.emptyUntil) {
    co_return TokenAcquisition{ .acquired = false, .retryAfter = queue.retryAfter };
  }
  const auto entry = std::make_shared<Waiting>(this->context);
  entry->result = first;
  queue.waiting.push_back(entry);
  this->buckets.SetQueuedRequests(aAccount, queue.waiting.size());
  if (queue.open == 0) {
    this->Send({ aAccount, static_cast<double>(queue.waiting.size()) });
  }
  if (queue.open > 0) {
    co_await Sleep(entry->timer, kLongestWait);
  }
  queue.waiting.remove(entry);
  this->buckets.SetQueuedRequests(aAccount, queue.waiting.size());
  this->metrics.Observe("plantainhaven_token_wait_seconds", BootClock::Now() - now);
  if (!entry->isDone) {
    this->metrics.Count("plantainhaven_token_waits_without_answer_total");
  }
  co_return entry->result;
}

// Holders of the account's units, the near ones first, each part in random order.
std::vector<const QuotaHolder*>
TokenBroker::HoldersOf(const std::string& aAccount) const
{
  const std::vector<std::uint32_t> positions = this->buckets.Positions(aAccount);
  std::vector<const QuotaHolder*> found;
  const BootTime now = BootClock::Now();
  for (const QuotaHolder& holder : this->holders) {
    const auto silent = this->silentUntil.find(holder.endpoint);
    const bool answers = silent == this->silentUntil.end() || silent->second <= now;
    if (answers && placing::HeldFraction(positions, holder.range) > 0) {
      found.push_back(&holder);
    }
  }
  std::shuffle(found.begin(), found.end(), this->random);
  return found;
}

void
TokenBroker::Send(const BorrowRequest& aWish)
{
  std::vector<const QuotaHolder*> found = this->HoldersOf(aWish.account);
  // One near holder, which answers soonest; the others as they come, so that all are used.
  const auto near = std::find_if(
    found.begin(), found.end(), [](const QuotaHolder* aHolder) { return aHolder->isNear; });
  if (near != found.end()) {
    std::iter_swap(found.begin(), near);
  }
  for (std::size_t i = 0; i < std::min(found.size(), kHoldersAsked); ++i) {
    Envelope message;
    message.set_ask_id(this->nextAsk++);
    message.mutable_token_ask()->set_account(aWish.account);
    message.mutable_token_ask()->set_amount(aWish.amount);
    this->asks.emplace(message.ask_id(),
                       Ask{ aWish.account, found[i]->endpoint, BootClock::Now() });
    ++this->queues[aWish.account].open;
    this->sendToPeer(found[i]->endpoint, std::move(message));
  }
}

void
TokenBroker::Tick()
{
  const BootTime now = BootClock::Now();
  this->DropLost(now);
  for (const BorrowRequest& wish : this->buckets.CollectBorrowRequests(now)) {
    this->Send(wish);
  }
  for (auto& [account, queue] : this->queues) {
    this->Serve(account, queue);
  }
}

void
TokenBroker::DropLost(BootTime aNow)
{
  for (auto ask = this->asks.begin(); ask != this->asks.end();) {
    if (aNow - ask->second.sentAt <= kAskLost) {
      ++ask;
      continue;
    }
    --this->queues[ask->second.account].open;
    this->silentUntil[ask->second.endpoint] = aNow + kSilentFor;
    ask = this->asks.erase(ask);
  }
}

void
TokenBroker::Serve(const std::string& aAccount, Queue& aQueue)
{
  const BootTime now = BootClock::Now();
  while (!aQueue.waiting.empty() && this->buckets.TryAcquireQueued(aAccount, now)) {
    const std::shared_ptr<Waiting> first = aQueue.waiting.front();
    aQueue.waiting.pop_front();
    first->result = { .acquired = true };
    first->isDone = true;
    first->timer.cancel();
  }
  this->buckets.SetQueuedRequests(aAccount, aQueue.waiting.size());
}

void
TokenBroker::RefuseAll(const std::string& aAccount, Queue& aQueue)
{
  for (const std::shared_ptr<Waiting>& entry : aQueue.waiting) {
    entry->result = { .acquired = false, .retryAfter = aQueue.retryAfter };
    entry->isDone = true;
    entry->timer.cancel();
  }
  aQueue.waiting.clear();
  this->buckets.SetQueuedRequests(aAccount, 0);
}

void
TokenBroker::OnAsk(const Envelope& aMessage)
{
  const TokenAsk& ask = aMessage.token_ask();
  const double lent = this->buckets.Lend(ask.account(), ask.amount(), BootClock::Now());
  Envelope answer;
  answer.set_ask_id(aMessage.ask_id());
  TokenGrant& grant = *answer.mutable_token_grant();
  grant.set_account(ask.account());
  grant.set_amount(lent);
  if (lent <= 0) {
    const auto wait = this->buckets.TimeToRefill(ask.account());
    grant.set_retry_after_ms(static_cast<std::uint32_t>(wait.count()));
  }
  this->sendToPeer(aMessage.reply_to(), std::move(answer));
}

void
TokenBroker::OnGrant(const Envelope& aMessage)
{
  const auto found = this->asks.find(aMessage.ask_id());
  if (found == this->asks.end()) {
    return;
  }
  const Ask ask = found->second;
  this->asks.erase(found);
  const TokenGrant& grant = aMessage.token_grant();
  Queue& queue = this->queues[ask.account];
  --queue.open;
  this->buckets.OnGrant(ask.account, grant.amount(), ask.sentAt, BootClock::Now());
  this->Serve(ask.account, queue);
  if (grant.amount() > 0) {
    return;
  }
  queue.retryAfter = std::chrono::milliseconds(grant.retry_after_ms());
  if (queue.open == 0 && !queue.waiting.empty()) {
    queue.emptyUntil = BootClock::Now() + kEmptyFor;
    this->RefuseAll(ask.account, queue);
  }
}

} // namespace plantainhaven::edge
