#include "plantainhaven/entry/load_poller.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <google/protobuf/util/json_util.h>

#include "backend.pb.h"

namespace plantainhaven {

namespace {

constexpr char kLoadPath[] = "/load";
constexpr int kOk = 200;

std::optional<LoadReport>
ParseLoad(const std::string& aJson)
{
  BackendLoad load;
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  if (!google::protobuf::util::JsonStringToMessage(aJson, &load, options).ok()) {
    return std::nullopt;
  }
  LoadReport report;
  report.inFlight = load.in_flight();
  report.draining = load.draining();
  return report;
}

} // namespace

struct LoadPoller::Impl
{
  void Run(std::size_t aThread);
  void Round(std::size_t aThread);
  void Poll(const ServerEntry& aServer);
  // False when the poller stops.
  bool WaitForNextRound();

  LoadPollerOptions options;
  const ViewState& view;
  BackendPool& pool;
  Steering& steering;
  std::mutex mutex = {};
  std::condition_variable changed = {};
  bool stopping = false;
  std::vector<std::thread> threads = {};
};

void
LoadPoller::Impl::Poll(const ServerEntry& aServer)
{
  const BootTime askedAt = BootClock::Now();
  auto acquired = this->pool.Acquire(aServer, ReuseRule::kStalest, askedAt);
  ConnectionPointer* connection = std::get_if<ConnectionPointer>(&acquired);
  if (connection == nullptr) {
    if (std::get<AttemptEnd>(acquired) == AttemptEnd::kConnect) {
      this->steering.OnUnreachable(aServer.name, askedAt);
    }
    return;
  }
  HttpRequest ask;
  ask.method = "GET";
  ask.target = kLoadPath;
  ask.path = kLoadPath;
  auto result = (*connection)->connection.Exchange(ask, this->options.timeout);
  const HttpResponse* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr) {
    this->pool.Discard(std::move(*connection), askedAt);
    this->steering.OnReportMissing(aServer.name, BootClock::Now());
    return;
  }
  this->pool.Return(std::move(*connection), BootClock::Now());
  const std::optional<LoadReport> report =
    answer->status == kOk ? ParseLoad(answer->body) : std::nullopt;
  if (report) {
    this->steering.OnReport(aServer.name, *report, askedAt);
  }
}

// Each thread asks its part of the servers.
void
LoadPoller::Impl::Round(std::size_t aThread)
{
  const std::shared_ptr<const RequestTables> tables = this->view.Tables();
  if (tables == nullptr) {
    return;
  }
  std::size_t index = 0;
  for (const ServiceEntry& service : tables->Services()) {
    for (const RegionServers& region : service.regions) {
      for (const ServerEntry& server : region.servers) {
        if (index++ % this->options.threads == aThread) {
          this->Poll(server);
        }
      }
    }
  }
}

bool
LoadPoller::Impl::WaitForNextRound()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  return !this->changed.wait_for(lock, this->options.interval, [this] { return this->stopping; });
}

void
LoadPoller::Impl::Run(std::size_t aThread)
{
  do {
    this->Round(aThread);
  } while (this->WaitForNextRound());
}

LoadPoller::LoadPoller(LoadPollerOptions aOptions,
                       const ViewState& aView,
                       BackendPool& aPool,
                       Steering& aSteering)
  : impl(new Impl{ aOptions, aView, aPool, aSteering })
{
}

LoadPoller::~LoadPoller()
{
  this->Stop();
}

void
LoadPoller::Start()
{
  for (std::size_t i = 0; i < this->impl->options.threads; ++i) {
    this->impl->threads.emplace_back([this, i] { this->impl->Run(i); });
  }
}

void
LoadPoller::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    this->impl->stopping = true;
  }
  this->impl->changed.notify_all();
  for (std::thread& thread : this->impl->threads) {
    thread.join();
  }
  this->impl->threads.clear();
}

void
LoadPoller::Poll(const ServerEntry& aServer)
{
  this->impl->Poll(aServer);
}

} // namespace plantainhaven
