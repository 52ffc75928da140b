#include "edge/cuttable_path.h"
#include "edge/fleet.h"
#include "edge/one_vm.h"
#include "edge/traffic.h"
#include "plantainhaven/fleet/peer_link.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWork{ 20 };
// Time in which a VM must find out that its path is cut and turn to another VM.
constexpr milliseconds kReactionTime{ 1500 };

FakeAnswer
ServedAfterWork(const FakeRequest& aRequest)
{
  std::this_thread::sleep_for(kWork);
  return Served(aRequest);
}

// Counts of responses by status, with the reason of a refusal; "closed" for none.
using Statuses = std::map<std::string, int>;

double
ServedFraction(const Statuses& aStatuses)
{
  int sum = 0;
  for (const auto& [status, count] : aStatuses) {
    sum += count;
  }
  const auto served = aStatuses.find("200");
  return sum == 0 || served == aStatuses.end() ? 0.0 : double(served->second) / sum;
}

// Backend servers in two failure domains, and VMs that reach each of them over a path of their
// own. The VMs exchange reports as in a fleet.
class FleetWithPaths
{
public:
  explicit FleetWithPaths(int aVms)
  {
    for (int i = 0; i < kServers; ++i) {
      this->servers.push_back(std::make_unique<FakeServer>(ServedAfterWork));
    }
    for (int i = 0; i < aVms; ++i) {
      this->AddVm(i);
    }
    for (const auto& vm : this->vms) {
      vm->thread = std::thread([&context = vm->context] { context.run(); });
    }
    this->PublishViews();
  }

  ~FleetWithPaths()
  {
    for (const auto& vm : this->vms) {
      vm->context.stop();
    }
    for (const auto& vm : this->vms) {
      vm->thread.join();
    }
    for (const auto& vm : this->vms) {
      vm->context.Shutdown();
    }
  }
  FleetWithPaths(const FleetWithPaths&) = delete;
  FleetWithPaths& operator=(const FleetWithPaths&) = delete;

  void Cut(int aVm, CutForm aForm)
  {
    for (const auto& path : this->vms[static_cast<std::size_t>(aVm)]->paths) {
      path->Cut(aForm);
    }
  }
  // Cuts the paths of one VM to the servers of one of the two failure domains.
  void CutDomain(int aVm, std::size_t aDomain, CutForm aForm)
  {
    const auto& paths = this->vms[static_cast<std::size_t>(aVm)]->paths;
    for (std::size_t i = aDomain; i < paths.size(); i += 2) {
      paths[i]->Cut(aForm);
    }
  }
  // Begins an orderly stop of one VM.
  void Stop(int aVm, milliseconds aGrace)
  {
    Vm& vm = *this->vms[static_cast<std::size_t>(aVm)];
    asio::post(vm.context, [&vm, aGrace] {
      platform::Bounds bounds;
      bounds.stopGrace = aGrace;
      vm.traffic->SetBounds(bounds);
      const BootTime now = BootClock::Now();
      vm.traffic->BeginStop(
        { now, now }, [] {}, [&vm](BootTime) { vm.context.stop(); });
    });
  }
  void Heal(int aVm)
  {
    for (const auto& path : this->vms[static_cast<std::size_t>(aVm)]->paths) {
      path->Heal();
    }
  }

  // Lets one VM know that a server drains.
  void SetDraining(int aVm, std::size_t aServer)
  {
    Vm& vm = *this->vms[static_cast<std::size_t>(aVm)];
    std::vector<BackendServer> entries = vm.entries;
    entries[aServer].isDraining = true;
    asio::post(vm.context, [traffic = vm.traffic.get(), entries] {
      traffic->SetServers(entries, BootClock::Now());
    });
  }

  // Sends requests to one VM from several callers at once until the time has passed.
  Statuses SendFor(int aVm, milliseconds aTime, int aCallers, const std::string& aPath = "/read/x")
  {
    Statuses statuses;
    const BootTime until = BootClock::Now() + aTime;
    std::vector<std::thread> callers;
    for (int i = 0; i < aCallers; ++i) {
      callers.emplace_back([&, i] {
        for (int number = 0; BootClock::Now() < until; ++number) {
          const std::string status = this->SendOne(aVm, aPath, i * 1009 + number);
          const std::lock_guard<std::mutex> lock(this->mutex);
          ++statuses[status];
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return statuses;
  }

  // Sends one request on a new connection and returns its status.
  std::string SendOne(int aVm, const std::string& aPath, int aObject)
  {
    asio::io_context context;
    Tcp::socket socket(context);
    beast::error_code fault;
    socket.connect({ asio::ip::make_address("127.0.0.1"),
                     this->vms[static_cast<std::size_t>(aVm)]->callersPort });
    http::request<http::string_body> request(http::verb::post, aPath, 11);
    request.set(http::field::host, "shop.example");
    request.set(platform::kRequestIdHeader, "id-" + std::to_string(++this->requestCount));
    request.set(platform::kAffinityKeyHeader, std::to_string(aObject));
    request.set(platform::kDeadlineHeader, "900");
    request.set(http::field::authorization, "Token key-1");
    request.body() = "body";
    request.prepare_payload();
    http::write(socket, request, fault);
    beast::flat_buffer buffer;
    ReceivedResponse answer;
    http::read(socket, buffer, answer, fault);
    if (fault) {
      return "closed";
    }
    const std::string reason = answer.body().substr(0, answer.body().find('\n'));
    return std::to_string(answer.result_int()) + (answer.result_int() >= 400 ? " " + reason : "");
  }

  void SetHandler(const FakeHandler& aHandler)
  {
    for (const auto& server : this->servers) {
      server->SetHandler(aHandler);
    }
  }
  std::uint64_t Counter(int aVm, const char* aName, const char* aLabel, const char* aValue) const
  {
    return this->vms[static_cast<std::size_t>(aVm)]->metrics.Counter(aName, aLabel, aValue);
  }

  // How often each request id arrived at any backend server.
  std::map<std::string, int> Arrivals() const
  {
    std::map<std::string, int> arrivals;
    for (const auto& server : this->servers) {
      for (const FakeRequest& request : server->Arrived()) {
        const auto id = request[platform::kRequestIdHeader];
        ++arrivals[std::string(id.data(), id.size())];
      }
    }
    return arrivals;
  }

private:
  static constexpr int kServers = 4;

  struct Vm
  {
    EdgedSettings settings;
    Metrics metrics;
    Context context;
    std::uint16_t callersPort = 0;
    std::vector<std::unique_ptr<CuttablePath>> paths;
    std::vector<BackendServer> entries;
    std::unique_ptr<Traffic> traffic;
    std::thread thread;
    VmReport report;
  };

  static std::string NameOf(int aNumber) { return "vm-" + std::to_string(aNumber + 1); }

  void AddVm(int aNumber)
  {
    auto vm = std::make_unique<Vm>();
    vm->callersPort = SetUpVm(vm->settings, NameOf(aNumber));
    vm->traffic = std::make_unique<Traffic>(
      vm->context,
      vm->settings,
      platform::Bounds(),
      vm->metrics,
      [](const std::string&, const Envelope&) {},
      [this, aNumber](const VmReport& aReport) { this->OnReport(aNumber, aReport); });
    vm->traffic->Start();
    vm->traffic->SetRouting(MakeTestRouting());
    vm->traffic->SetQuota(kWholeQuota);
    std::vector<BackendServer>& entries = vm->entries;
    for (int i = 0; i < kServers; ++i) {
      const FakeServer& fake = *this->servers[static_cast<std::size_t>(i)];
      vm->paths.push_back(std::make_unique<CuttablePath>(fake.Port()));
      BackendServer entry = MakeTestServer("s" + std::to_string(i + 1), fake);
      entry.port = vm->paths.back()->Port();
      entry.failureDomain = i % 2 == 0 ? "north-a" : "north-b";
      entry.slots = 16;
      entries.push_back(entry);
    }
    vm->traffic->SetServers(entries, BootClock::Now());
    this->vms.push_back(std::move(vm));
  }

  void OnReport(int aFrom, const VmReport& aReport)
  {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->vms[static_cast<std::size_t>(aFrom)]->report = aReport;
    }
    this->PublishViews();
  }

  // Hands each VM the view of the fleet that follows from the newest reports.
  void PublishViews()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& vm : this->vms) {
      const FleetView view = this->ViewOf(*vm);
      asio::post(vm->context, [traffic = vm->traffic.get(), view] { traffic->SetFleet(view); });
    }
  }

  FleetView ViewOf(const Vm& aVm) const
  {
    FleetView view;
    view.canAcquireTokens = true;
    for (int i = 0; i < static_cast<int>(this->vms.size()); ++i) {
      const auto& listen = this->vms[static_cast<std::size_t>(i)]->settings.listen();
      view.senders.push_back({ NameOf(i), "north" });
      view.entries.push_back({ NameOf(i), listen.callers(), "north", "north-a" });
    }
    view.members = view.senders;
    for (const auto& vm : this->vms) {
      const auto relay = RelayOf(vm->settings.vm().name(), vm->report);
      if (vm.get() != &aVm && relay) {
        view.relays.push_back(*relay);
      }
    }
    return view;
  }

  std::vector<std::unique_ptr<FakeServer>> servers;
  std::mutex mutex;
  std::atomic<int> requestCount{ 0 };
  std::vector<std::unique_ptr<Vm>> vms;
};

struct FormCase
{
  std::string name;
  CutForm form;
};

const std::vector<FormCase> kForms = { { "connections hang", CutForm::kSilent },
                                       { "connections are reset", CutForm::kReset },
                                       { "new connections are refused", CutForm::kRefused } };

// A VM took its own lost path for the loss of all servers and refused its callers.
TEST_CASE("A VM without a path to any backend server serves its callers")
{
  for (const FormCase& entry : kForms) {
    CAPTURE(entry.name);
    FleetWithPaths fleet(3);
    REQUIRE(ServedFraction(fleet.SendFor(0, milliseconds(500), 2)) == 1.0);
    fleet.Cut(0, entry.form);
    fleet.SendFor(0, kReactionTime, 8);
    const Statuses cut = fleet.SendFor(0, seconds(2), 8);
    const Statuses other = fleet.SendFor(1, seconds(1), 8);
    CAPTURE(cut, other);
    CHECK(ServedFraction(cut) >= 0.98 * ServedFraction(other));
    CHECK(ServedFraction(other) >= 0.98);
  }
}

TEST_CASE("A VM without a path serves its callers while most of the fleet is cut off")
{
  for (const FormCase& entry : kForms) {
    CAPTURE(entry.name);
    FleetWithPaths fleet(4);
    for (const int vm : { 0, 1, 2 }) {
      fleet.SendFor(vm, milliseconds(200), 2);
      fleet.Cut(vm, entry.form);
    }
    std::vector<std::thread> callers;
    for (const int vm : { 0, 1, 2 }) {
      callers.emplace_back([&fleet, vm] { fleet.SendFor(vm, kReactionTime, 3); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    for (const int vm : { 0, 1, 2 }) {
      CHECK(ServedFraction(fleet.SendFor(vm, milliseconds(500), 3)) >= 0.98);
    }
  }
}

TEST_CASE("No request is sent on when no VM has a path")
{
  FleetWithPaths fleet(3);
  for (const int vm : { 0, 1, 2 }) {
    fleet.Cut(vm, CutForm::kReset);
    fleet.SendFor(vm, kReactionTime, 2);
  }
  Statuses statuses = fleet.SendFor(0, milliseconds(500), 2);
  statuses.erase("503 no_server");
  statuses.erase("503 no_path");
  CHECK(statuses.empty());
}

// A repeat over another way ran requests twice that may not be repeated.
TEST_CASE("A request that isn't idempotent runs once while paths are cut and healed")
{
  FleetWithPaths fleet(3);
  std::atomic<bool> isDone{ false };
  std::thread cutter([&fleet, &isDone] {
    for (std::size_t i = 0; !isDone; ++i) {
      fleet.Cut(0, kForms[i % kForms.size()].form);
      std::this_thread::sleep_for(milliseconds(i % 2 == 0 ? 1500 : 150));
      fleet.Heal(0);
      std::this_thread::sleep_for(milliseconds(i % 2 == 0 ? 100 : 700));
    }
  });
  const Statuses statuses = fleet.SendFor(0, seconds(8), 6, "/book/x");
  isDone = true;
  cutter.join();
  CHECK(statuses.contains("200"));
  for (const auto& [id, count] : fleet.Arrivals()) {
    CAPTURE(id);
    REQUIRE(count == 1);
  }
}

TEST_CASE("A path that works again is used again")
{
  for (const FormCase& entry : kForms) {
    CAPTURE(entry.name);
    FleetWithPaths fleet(2);
    fleet.Cut(0, entry.form);
    fleet.SendFor(0, kReactionTime, 4);
    const char* const relays = "plantainhaven_relay_connects_total";
    const auto relayed = [&] {
      return fleet.Counter(0, relays, "result", "connected") +
             fleet.Counter(0, relays, "result", "reused");
    };
    CHECK(relayed() > 0);
    fleet.Heal(0);
    fleet.SendFor(0, kReactionTime, 4);
    const std::uint64_t before = relayed();
    CHECK(ServedFraction(fleet.SendFor(0, milliseconds(500), 4)) >= 0.98);
    CHECK(relayed() == before);
  }
}

TEST_CASE("A relayed response is forwarded whole or not at all")
{
  struct Case
  {
    std::string name;
    FakeHandler handler;
    std::string expected;
  };
  const Case cases[] = {
    { "without a length", MissingContentLength, "200" },
    { "truncated", Truncated, "502 broken" },
    { "no HTTP", MalformedResponse, "502 broken" },
    { "closed without a response", ClosedWithoutAnswer, "502 broken" },
    { "without a signature", Unsigned, "502 failed" },
    { "the server's failure", Failed, "500 failed" },
    { "not run", Shed, "503 shed" },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    FleetWithPaths fleet(2);
    fleet.Cut(0, CutForm::kReset);
    fleet.SendFor(0, kReactionTime, 4);
    fleet.SetHandler(entry.handler);
    CHECK(fleet.SendOne(0, "/book/x", 1) == entry.expected);
  }
}

// A relay that rejected a request for a leaving server wasn't used for any server for a while.
TEST_CASE("A server that only the relaying VM knows as draining costs no other request")
{
  FleetWithPaths fleet(2);
  fleet.Cut(0, CutForm::kReset);
  fleet.SendFor(0, kReactionTime, 4);
  fleet.SetDraining(1, 0);
  const Statuses statuses = fleet.SendFor(0, seconds(2), 4);
  CHECK(ServedFraction(statuses) >= 0.98);
}

TEST_CASE("VMs that stop at once and relay for one another answer all their requests")
{
  FleetWithPaths fleet(2);
  for (const int vm : { 0, 1 }) {
    fleet.CutDomain(vm, static_cast<std::size_t>(vm), CutForm::kReset);
    fleet.SendFor(vm, kReactionTime, 4);
  }
  std::vector<std::future<Statuses>> callers;
  for (const int vm : { 0, 1 }) {
    callers.push_back(std::async(
      std::launch::async, [&fleet, vm] { return fleet.SendFor(vm, seconds(1), 4, "/book/x"); }));
  }
  std::this_thread::sleep_for(milliseconds(200));
  for (const int vm : { 0, 1 }) {
    fleet.Stop(vm, seconds(4));
  }
  for (auto& caller : callers) {
    Statuses statuses = caller.get();
    CHECK(statuses["200"] > 0);
    for (const auto& [status, count] : statuses) {
      CAPTURE(status, count);
      CHECK((status == "200" || status.starts_with("503")));
    }
  }
}

TEST_CASE("A VM that stops completes what it relays, and others turn away from it at once")
{
  FleetWithPaths fleet(2);
  fleet.Cut(0, CutForm::kReset);
  fleet.SendFor(0, kReactionTime, 4);
  fleet.SetHandler([](const FakeRequest& aRequest) {
    std::this_thread::sleep_for(milliseconds(500));
    return Served(aRequest);
  });
  auto open = std::async(std::launch::async, [&fleet] { return fleet.SendOne(0, "/book/x", 1); });
  while (fleet.Counter(1, "plantainhaven_relay_connections_total", "", "") == 0) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  std::this_thread::sleep_for(milliseconds(100));
  fleet.Stop(1, seconds(4));
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(fleet.SendOne(0, "/book/x", 2).starts_with("503"));
  CHECK(open.get() == "200");
}

// With TCP_USER_TIMEOUT set, TCP ends a connection after that time without an answer to its
// keep-alive probes, whatever their number.
TEST_CASE("No connection has both a user timeout and keep-alive probes")
{
  FleetWithPaths fleet(2);
  fleet.Cut(0, CutForm::kRefused);
  fleet.SendFor(0, seconds(1), 2);
  ZmqPeerLink receiver;
  ZmqPeerLink sender;
  const std::uint16_t port = FreePort();
  REQUIRE(IsOk(receiver.Bind("127.0.0.1", port)));
  Envelope message;
  message.set_from("vm-1");
  for (int i = 0; i < 50 && !receiver.Receive(milliseconds(100)); ++i) {
    sender.Send("tcp://127.0.0.1:" + std::to_string(port), message);
  }
  int sockets = 0;
  for (int descriptor = 0; descriptor < 1024; ++descriptor) {
    unsigned timeout = 0;
    socklen_t size = sizeof(timeout);
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &size) != 0) {
      continue;
    }
    ++sockets;
    int hasProbes = 0;
    size = sizeof(hasProbes);
    ::getsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &hasProbes, &size);
    CHECK((timeout == 0 || hasProbes == 0));
  }
  CHECK(sockets > 4);
}

} // namespace
} // namespace plantainhaven::edge
