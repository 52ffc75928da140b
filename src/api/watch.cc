#include "api/watch.h"

#include "api/answers.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <optional>

namespace plantainhaven {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kGoneStatus = 410;
constexpr seconds kLongestWait{ 60 };
// Time after which an idle stream sends a blank line.
constexpr seconds kKeepAlive{ 1 };
constexpr const char* kContentType = "application/x-ndjson";

struct WatchRequest
{
  Revision after = 0;
  std::string kind;
  // Set for a long poll, which ends after its first events.
  std::optional<seconds> wait;
};

Revision
AppliedRevision(const ResourceService& aService)
{
  Revision revision = 0;
  aService.Read(
    [&](const Configuration& aConfiguration) { revision = aConfiguration.AppliedRevision(); });
  return revision;
}

Result<Done>
ReadAfter(const HttpRequest& aRequest, const ResourceService& aService, WatchRequest& aWatch)
{
  const std::string after = aRequest.Query("after");
  const Result<Revision> parsed =
    after.empty() ? Result<Revision>(AppliedRevision(aService)) : ParseRevision(after, "after");
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  aWatch.after = ValueOf(parsed);
  return Done{};
}

Result<Done>
ReadWait(const HttpRequest& aRequest, WatchRequest& aWatch)
{
  const std::string wait = aRequest.Query("wait");
  if (wait.empty()) {
    return Done{};
  }
  const Result<Revision> parsed = ParseRevision(wait, "wait");
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  const auto longest = static_cast<Revision>(kLongestWait.count());
  aWatch.wait = seconds(std::min(ValueOf(parsed), longest));
  return Done{};
}

Result<Done>
ReadKind(const HttpRequest& aRequest, WatchRequest& aWatch)
{
  aWatch.kind = aRequest.Query("kind");
  const std::vector<std::string>& kinds = AllKinds();
  if (aWatch.kind.empty() || std::count(kinds.begin(), kinds.end(), aWatch.kind) != 0) {
    return Done{};
  }
  return Error{ ErrorKind::kInvalid,
                "kind is \"" + aWatch.kind + "\", expected the name of a kind",
                "leave kind out to watch all kinds",
                "kind" };
}

Result<WatchRequest>
ReadWatch(const HttpRequest& aRequest, const ResourceService& aService)
{
  WatchRequest watch;
  if (Result<Done> after = ReadAfter(aRequest, aService, watch); !IsOk(after)) {
    return ErrorOf(after);
  }
  if (Result<Done> wait = ReadWait(aRequest, watch); !IsOk(wait)) {
    return ErrorOf(wait);
  }
  if (Result<Done> kind = ReadKind(aRequest, watch); !IsOk(kind)) {
    return ErrorOf(kind);
  }
  return watch;
}

// One line for a change, with what the filter lets through.
std::string
EventLine(const ChangeRecord& aChange, const std::string& aKind)
{
  WatchEvent event;
  event.set_revision(aChange.revision());
  for (const Resource& put : aChange.puts()) {
    if (aKind.empty() || KindOf(put) == aKind) {
      *event.add_puts() = put;
    }
  }
  for (const ResourceId& id : aChange.deletes()) {
    if (aKind.empty() || id.kind() == aKind) {
      *event.add_deletes() = id;
    }
  }
  return ToJson(event) + '\n';
}

// Lines for the changes that follow `aWatch.after`, which moves on with them.
std::string
EventLines(const std::vector<ChangeRecord>& aChanges, WatchRequest& aWatch)
{
  std::string lines;
  for (const ChangeRecord& change : aChanges) {
    lines += EventLine(change, aWatch.kind);
    aWatch.after = change.revision();
  }
  return lines;
}

HttpResponse
FailedWatch(const Error& aError, Revision aAfter)
{
  if (aError.kind != ErrorKind::kNotFound) {
    return ErrorResponse(aError);
  }
  Error gone = aError;
  gone.message = "changes after revision " + std::to_string(aAfter) + " are no longer kept";
  gone.remedy = "list the resources again and watch from the list's revision";
  gone.field = "after";
  return ErrorResponse(kGoneStatus, gone);
}

Error
TooManyWatches(std::size_t aMost)
{
  return { ErrorKind::kUnavailable,
           "no further watch can be served here, expected at most " + std::to_string(aMost),
           "watch through another VM" };
}

} // namespace

// How many watches may be open and whether they are to end.
struct WatchHandler::Limits
{
  explicit Limits(std::size_t aMost)
    : most(aMost)
  {
  }

  const std::size_t most;
  std::atomic<std::size_t> open = 0;
  std::atomic<bool> ended = false;
};

namespace {

// Counts one open watch for as long as it lives.
template<typename Limits>
std::shared_ptr<Limits>
OpenWatch(const std::shared_ptr<Limits>& aLimits)
{
  const bool refused = aLimits->open.fetch_add(1) >= aLimits->most || aLimits->ended;
  const auto close = [aLimits](Limits*) { aLimits->open.fetch_sub(1); };
  std::shared_ptr<Limits> watch(aLimits.get(), close);
  return refused ? nullptr : watch;
}

} // namespace

WatchHandler::WatchHandler(ResourceService& aService, std::size_t aMostWatches)
  : service(aService)
  , limits(std::make_shared<Limits>(aMostWatches))
{
}

void
WatchHandler::End()
{
  this->limits->ended = true;
}

HttpResponse
WatchHandler::Watch(const Call& aCall)
{
  Result<WatchRequest> read = ReadWatch(aCall.request, this->service);
  if (!IsOk(read)) {
    return ErrorResponse(ErrorOf(read));
  }
  WatchRequest watch = ValueOf(read);
  const std::shared_ptr<Limits> open = OpenWatch(this->limits);
  if (!open) {
    return ErrorResponse(TooManyWatches(this->limits->most));
  }
  const milliseconds wait = watch.wait.value_or(seconds(0));
  const Result<std::vector<ChangeRecord>> first = this->service.ChangesAfter(watch.after, wait);
  if (!IsOk(first)) {
    return FailedWatch(ErrorOf(first), watch.after);
  }
  HttpResponse response;
  response.headers.Add("Content-Type", kContentType);
  std::string lines = EventLines(ValueOf(first), watch);
  response.headers.Add(kRevisionHeader, std::to_string(watch.after));
  if (watch.wait) {
    response.body = std::move(lines);
    return response;
  }
  response.source = [this, open, watch, lines](std::string& aPiece, bool& aAbort) mutable {
    if (!lines.empty()) {
      aPiece += std::exchange(lines, {});
      return true;
    }
    if (open->ended) {
      return false;
    }
    const auto changes = this->service.ChangesAfter(watch.after, kKeepAlive);
    // The watcher connects again and then hears why it can't go on.
    aAbort = !IsOk(changes);
    if (aAbort) {
      return false;
    }
    const std::string events = EventLines(ValueOf(changes), watch);
    aPiece += events.empty() ? "\n" : events;
    return true;
  };
  return response;
}

} // namespace plantainhaven
