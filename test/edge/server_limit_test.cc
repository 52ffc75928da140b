#include "edge/one_vm.h"
#include "edge/several_vms.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWindow{ 4 };
// A VM is bound by a limit from this long after it has received it.
constexpr milliseconds kReactionTime{ 500 };
constexpr milliseconds kWork{ 15 };

// A backend server that names a rate limit and records which VM sent which request. The path of
// each request names its VM.
class LimitedServer
{
public:
  explicit LimitedServer(double aRate)
    : rate(aRate)
    , server([this](const FakeRequest& aRequest) { return this->Answer(aRequest); })
  {
  }

  const FakeServer& Server() const { return this->server; }
  // The most requests in any window from VMs that had received the limit in time.
  std::size_t MostInWindow() const
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<BootTime> counted;
    for (const Arrival& arrival : this->arrivals) {
      const auto told = this->toldAt.find(arrival.vm);
      if (told != this->toldAt.end() && arrival.at - told->second >= kReactionTime) {
        counted.push_back(arrival.at);
      }
    }
    std::size_t most = 0;
    for (auto first = counted.begin(), last = first; last != counted.end(); ++last) {
      while (*last - *first > kWindow) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }
  std::size_t Allowed() const
  {
    return static_cast<std::size_t>(this->rate * 1.5 * static_cast<double>(kWindow.count()) + 5);
  }

private:
  struct Arrival
  {
    std::string vm;
    BootTime at;
  };

  FakeAnswer Answer(const FakeRequest& aRequest)
  {
    const std::string path(aRequest.target().data(), aRequest.target().size());
    const std::string vm = path.substr(path.rfind('/') + 1);
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->arrivals.push_back({ vm, BootClock::Now() });
    }
    std::this_thread::sleep_for(kWork);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->toldAt.try_emplace(vm, BootClock::Now());
    const std::string limit = "Server-Limit: " + std::to_string(this->rate) + "\r\n";
    return { Response(aRequest, "200 OK", kSignatureLine + limit, "whole") };
  }

  double rate;
  mutable std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::map<std::string, BootTime> toldAt;
  FakeServer server;
};

FakeAnswer
ServedAfterWork(const FakeRequest& aRequest)
{
  std::this_thread::sleep_for(kWork);
  return Served(aRequest);
}

// Each VM on its own sent a limited server as much as its slots admit.
TEST_CASE("The requests of all VMs together stay within the rate that a server names")
{
  struct Case
  {
    std::string name;
    bool isConnected;
  };
  const Case cases[] = { { "VMs that hear one another", true }, { "VMs that are cut off", false } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    LimitedServer limited(3.4);
    FakeServer unlimited(ServedAfterWork);
    BackendServer first = MakeTestServer("limited", limited.Server());
    BackendServer second = MakeTestServer("unlimited", unlimited);
    first.slots = second.slots = 16;
    SeveralVms vms(4, entry.isConnected, { first, second });
    std::set<std::string> statuses = vms.SendFor(seconds(6), 2);
    CHECK(limited.MostInWindow() <= limited.Allowed());
    // Requests that the limit doesn't admit run at the other server.
    // The servers of the test may need more than the route's time on a loaded machine.
    statuses.erase("504 timeout");
    CHECK(statuses == std::set<std::string>{ "200" });
  }
}

TEST_CASE("Requests are refused with a Retry-After while all servers are at their limits")
{
  LimitedServer first(3);
  LimitedServer second(5);
  BackendServer one = MakeTestServer("one", first.Server());
  BackendServer other = MakeTestServer("other", second.Server());
  one.slots = other.slots = 16;
  SeveralVms vms(3, true, { one, other });
  std::set<std::string> statuses = vms.SendFor(seconds(6), 2);
  CHECK(first.MostInWindow() <= first.Allowed());
  CHECK(second.MostInWindow() <= second.Allowed());
  statuses.erase("504 timeout");
  CHECK(statuses == std::set<std::string>{ "200", "503 server_limit" });
}

} // namespace
} // namespace plantainhaven::edge
