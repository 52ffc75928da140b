#include "plantainhaven/load/backend_watch.h"

#include "load/drainer.h"
#include "plantainhaven/common/settings.h"
#include "plantainhaven/http/client.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <thread>

#include <google/protobuf/util/json_util.h>

#include "backend.pb.h"

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kLoadTimeout{ 500 };
constexpr std::chrono::milliseconds kDrainPoll{ 5 };
constexpr int kOk = 200;

// Load of one server, read over a kept connection.
class LoadReader
{
public:
  explicit LoadReader(const Endpoint& aEndpoint)
    : connection(OptionsFor(aEndpoint))
  {
  }

  // Nothing when the server doesn't answer.
  std::optional<BackendLoad> Read()
  {
    HttpRequest request;
    request.method = "GET";
    request.path = "/load";
    request.target = request.path;
    const auto result = this->connection.Exchange(request, kLoadTimeout);
    const auto* response = std::get_if<HttpResponse>(&result);
    BackendLoad load;
    if (response == nullptr || response->status != kOk ||
        !google::protobuf::util::JsonStringToMessage(response->body, &load).ok()) {
      return std::nullopt;
    }
    return load;
  }

private:
  static HttpClientOptions OptionsFor(const Endpoint& aEndpoint)
  {
    HttpClientOptions options;
    options.address = aEndpoint.address;
    options.port = aEndpoint.port;
    return options;
  }

  HttpConnection connection;
};

struct RegionLoad
{
  std::uint32_t slots = 0;
  std::uint32_t mostInFlight = 0;
};

} // namespace

struct BackendWatch::Impl
{
  explicit Impl(const Scenario& aScenario)
    : scenario(aScenario)
  {
    for (const WatchedServer& server : aScenario.servers) {
      this->readers.push_back(std::make_unique<LoadReader>(server.endpoint));
      this->regions[server.region].slots += server.slots;
    }
  }

  void Run()
  {
    const auto interval = ToChrono(this->scenario.settings.backends().interval());
    Clock::time_point next = Clock::now();
    while (!this->stop) {
      this->ReadAll();
      next = std::max(Clock::now(), next + interval);
      std::this_thread::sleep_until(next);
    }
  }

  void ReadAll()
  {
    std::map<std::string, std::uint32_t> inFlight;
    for (std::size_t index = 0; index < this->readers.size() && !this->stop; ++index) {
      const std::optional<BackendLoad> load = this->readers[index]->Read();
      if (load) {
        inFlight[this->scenario.servers[index].region] += load->in_flight();
      }
    }
    for (const auto& [region, count] : inFlight) {
      RegionLoad& load = this->regions[region];
      load.mostInFlight = std::max(load.mostInFlight, count);
    }
  }

  // Waits for the moment of the drain, asks for it and watches until the server is idle.
  void RunDrain()
  {
    const LoadScenario::Drain& drain = this->scenario.settings.drain();
    const Clock::time_point begin = Clock::now() + ToChrono(drain.at());
    while (!this->stop && Clock::now() < begin) {
      std::this_thread::sleep_for(kDrainPoll);
    }
    const auto server =
      std::find_if(this->scenario.servers.begin(),
                   this->scenario.servers.end(),
                   [&](const WatchedServer& aServer) { return aServer.name == drain.server(); });
    if (this->stop || server == this->scenario.servers.end()) {
      return;
    }
    // The answer to the ask may come after the drain is in force, so the server is
    // watched meanwhile.
    const Clock::time_point asked = Clock::now();
    std::future<bool> answer =
      std::async(std::launch::async, [&drain] { return AskForDrain(drain); });
    this->WatchDrain(*server, asked);
    this->drained = answer.get() && this->drained;
  }

  // The drain lasts until the server was last seen busy; it counts as drained once it
  // stayed idle up to the end.
  void WatchDrain(const WatchedServer& aServer, Clock::time_point aAsked)
  {
    LoadReader reader(aServer.endpoint);
    Clock::time_point lastBusy = aAsked;
    bool busy = true;
    while (!this->stop) {
      const std::optional<BackendLoad> load = reader.Read();
      busy = load && load->in_flight() > 0;
      if (busy) {
        lastBusy = Clock::now();
      }
      std::this_thread::sleep_for(kDrainPoll);
    }
    this->drained = !busy;
    this->drainTime = lastBusy - aAsked;
  }

  const Scenario& scenario;
  std::vector<std::unique_ptr<LoadReader>> readers;
  std::map<std::string, RegionLoad> regions;
  std::atomic<bool> stop{ false };
  std::thread loadThread;
  std::thread drainThread;
  bool drained = false;
  std::chrono::nanoseconds drainTime{ 0 };
};

BackendWatch::BackendWatch(const Scenario& aScenario)
  : impl(std::make_unique<Impl>(aScenario))
{
}

BackendWatch::~BackendWatch()
{
  this->Stop();
}

void
BackendWatch::Start()
{
  if (!this->impl->readers.empty()) {
    this->impl->loadThread = std::thread([this] { this->impl->Run(); });
  }
  if (!this->impl->scenario.settings.drain().server().empty()) {
    this->impl->drainThread = std::thread([this] { this->impl->RunDrain(); });
  }
}

void
BackendWatch::Stop()
{
  this->impl->stop = true;
  for (std::thread* thread : { &this->impl->loadThread, &this->impl->drainThread }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

void
BackendWatch::Report(LoadReport& aReport) const
{
  for (const auto& [name, load] : this->impl->regions) {
    RegionReport& region = *aReport.add_regions();
    region.set_region(name);
    region.set_slots(load.slots);
    region.set_most_in_flight(load.mostInFlight);
    region.set_least_headroom_percent(100.0 - 100.0 * load.mostInFlight / load.slots);
  }
  aReport.set_drained(this->impl->drained);
  aReport.set_drain_ms(std::chrono::duration<double, std::milli>(this->impl->drainTime).count());
}

} // namespace plantainhaven
